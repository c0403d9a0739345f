// What answers by older weights cost, and until when they may be given. The cost
// rises with the time since newer weights were named, so that calls go to runners
// that have them while there are some, and to others rather than nowhere.

package gateway

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

const (
	// outdatedPart is the part of a route's objective that a call waits longer for
	// the newest weights, at the end of the time in which older ones may answer, and
	// in proportion before. More would make calls late, which costs them more.
	outdatedPart = 0.3
	// outdatedMargin is kept from the end of the time in which older weights may
	// answer: a call may wait at its runner. outdatedEnd before that end the runner
	// gives it up.
	outdatedMargin = 2 * time.Second
	outdatedEnd    = 300 * time.Millisecond
	// outdatedAtStart is how long a box that found the version when it started lets
	// older weights answer: it cannot know when the version was named.
	outdatedAtStart = 2500 * time.Millisecond
)

// newest gives the version of a model's weights that should answer.
func (g *Gateway) newest(model string) int {
	if named := g.cfg.Weights.Weights(model); named.Version > 0 {
		return named.Version
	}
	return g.cfg.Fleet.NewestHeld(model)
}

// outdated gives what answering by a version costs now, in milliseconds of waiting,
// and whether it may answer at all.
func (g *Gateway) outdated(model string, version int, objective time.Duration) (cost float64, may bool) {
	newer, outdated := g.cfg.Weights.OutdatedSince(model, version)
	if !outdated {
		return 0, true
	}
	cost = outdatedPart * float64(objective) / float64(time.Millisecond)
	if newer.Undated() {
		return cost, boottime.Since(newer.LearnedAt) <= outdatedAtStart
	}
	age := boottime.Since(newer.DeclaredAfter)
	return cost * min(1, float64(age)/float64(g.cfg.OutdatedAfter)), age <= g.cfg.OutdatedAfter-outdatedMargin
}

// remaining gives the time that a call has at its server. Older weights must not
// begin to answer after their time, however long the call waits for them.
func (g *Gateway) remaining(x *exchange, chosen choice) time.Duration {
	remaining := boottime.Until(x.deadline)
	if chosen.namespace == "" {
		return remaining
	}
	newer, outdated := g.cfg.Weights.OutdatedSince(x.facts.Prompt.Model, chosen.hold.Weights())
	if !outdated || newer.Undated() {
		return remaining
	}
	return min(remaining, g.cfg.OutdatedAfter-outdatedEnd-boottime.Since(newer.DeclaredAfter))
}
