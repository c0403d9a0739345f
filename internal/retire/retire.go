// Package retire says which kept parts of older weights may still be fetched, and
// when they may be freed to make room for parts of newer ones.
//
// A part that is freed while it is fetched gives a wrong answer, so all boxes must
// have stopped fetching it before any box frees it. Each part of older weights has
// its time of retirement, spread over some seconds after newer weights were named
// and known from its name alone. A box may learn of the newer weights only long after, and
// must have stopped fetching as well by then. So there are two rules:
//
//   - A box is in touch if it has lately read all that operators declared, or hears
//     more than half of the boxes and none of them knows of newer weights. It fetches
//     a part only if it was in touch within the time that such a part takes to
//     retire: were newer weights named since, the part has not yet retired. So a
//     zone that is cut off keeps the use of most parts that it reaches for a while.
//   - A box frees a part only if it has heard more than half of the boxes know of
//     the newer weights, since before the part's retirement and for longer than any
//     fetch lasts.
//
// Any two groups of more than half have a box in common. The box that frees has
// heard it know; the box that fetches has heard it not know, earlier, and its
// belief is by now too old to count.
//
// A box that has merely not read of the newer weights yet fetches a part for up to
// registry.ReadFresh after its retirement, and the freeing waits for that. A box that
// knows of them may do the same.
package retire

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
)

const (
	// heardFresh is how old the word of another box may be; boxes tell each other
	// several times a second, fewer when there are many.
	heardFresh = 1500 * time.Millisecond
	// confirmFor is how long more than half must have known of newer weights before
	// a part is freed: a belief from just before is out of date by then, and the
	// last fetch by it has ended.
	confirmFor = heardFresh + partindex.FetchTimeout + confirmMargin
	// freeMargin lies between a part's retirement and its freeing: a box may have
	// learnt of the newer weights later by ReadFresh, and then fetch once more.
	freeMargin = registry.ReadFresh + partindex.FetchTimeout + lateMargin
	// majorityFor is how long it counts since when more than half of the boxes have known
	// of a version: it is asked for each part that might be freed, of which there are some
	// thousands, and to look at 300 boxes each time would be most of a box's processor.
	majorityFor = 50 * time.Millisecond
	// confirmMargin and lateMargin are for boxes that run late.
	confirmMargin = 300 * time.Millisecond
	lateMargin    = 200 * time.Millisecond
	// Parts retire evenly from firstRetirement on, over spread. Until the first
	// runners have changed weights, older parts serve all calls; when the last have,
	// they serve none, and parts of newer weights have long wanted their room.
	firstRetirement = 500 * time.Millisecond
	spread          = 8 * time.Second
)

// Peer is what another box last told of what it knows.
type Peer struct {
	// Box names it. Each box counts once, however many ways its word came.
	Box string
	// SentAfter is a moment before which it did not say so. It is not when its word came:
	// that may have been on its way for long.
	SentAfter time.Time
	// Weights are the newest versions that it knows of, by model, and Since when it
	// was first heard to know of each.
	Weights    map[string]int
	KnownSince map[string]time.Time
}

// Config sets up a Policy.
type Config struct {
	Registry *registry.Registry
	// Peers gives the last word of each other box that was heard, and Boxes the
	// number of boxes there are, this one included; zero while it is not known.
	Peers func() []Peer
	Boxes func() int
}

// Policy decides.
type Policy struct {
	cfg Config

	mu sync.Mutex
	// inTouchAt is when this box was last in touch, by model.
	inTouchAt map[string]time.Time
	// majorities is since when more than half of the boxes have known of a version, by
	// model.
	majorities map[string]majority
}

// New makes a policy.
func New(cfg Config) *Policy {
	return &Policy{cfg: cfg, inTouchAt: map[string]time.Time{}, majorities: map[string]majority{}}
}

// MayFetch reports whether a part made by a version of a model's weights may be
// fetched.
func (p *Policy) MayFetch(model string, weights int, partID string) bool {
	return boottime.Since(p.lastInTouch(model)) <= retirement(partID) && !p.retired(model, weights, partID)
}

// lastInTouch gives the last moment at which the box was in touch, as far as a model
// goes; zero when another box knows of newer weights.
func (p *Policy) lastInTouch(model string) time.Time {
	inTouch, outdated := p.inTouch(model)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case inTouch:
		p.inTouchAt[model] = boottime.Now()
	case outdated:
		return time.Time{}
	}
	return p.inTouchAt[model]
}

// inTouch reports whether the box knows of all weights that were named until lately;
// outdated says that another box knows of newer ones.
func (p *Policy) inTouch(model string) (inTouch, outdated bool) {
	if boottime.Since(p.cfg.Registry.OperatorReadAt()) <= registry.ReadFresh {
		return true, false
	}
	newest := p.cfg.Registry.Weights(model).Version
	agreeing := 1
	for _, peer := range p.cfg.Peers() {
		if boottime.Since(peer.SentAfter) > heardFresh {
			continue
		}
		if peer.Weights[model] > newest {
			return false, true
		}
		agreeing++
	}
	boxes := p.cfg.Boxes()
	return boxes > 0 && 2*agreeing > boxes, false
}

// retired reports whether a part made by a version of a model's weights is not to
// be fetched any more, by what this box knows.
func (p *Policy) retired(model string, weights int, partID string) bool {
	since, outdated := p.cfg.Registry.OutdatedSince(model, weights)
	if !outdated {
		return false
	}
	return since.Found() || boottime.Since(since.NamedAfter) >= FetchWindow(partID)
}

// MayFree reports whether a part may be freed.
func (p *Policy) MayFree(model string, weights int, partID string) bool {
	since, outdated := p.cfg.Registry.OutdatedSince(model, weights)
	if !outdated {
		return false
	}
	return boottime.Since(since.LearntAt) > FreeDelay(partID) && p.confirmed(model, since.Version, retirement(partID)+confirmFor)
}

// confirmed reports whether more than half of the boxes have known of a version for
// a time.
func (p *Policy) confirmed(model string, version int, length time.Duration) bool {
	p.mu.Lock()
	known, found := p.majorities[model]
	p.mu.Unlock()
	if !found || known.version != version || boottime.Since(known.workedOutAt) > majorityFor {
		known = p.majority(model, version)
		p.mu.Lock()
		p.majorities[model] = known
		p.mu.Unlock()
	}
	return known.there && boottime.Since(known.since) >= length
}

// majority is since when more than half of the boxes have known of a version.
type majority struct {
	version     int
	workedOutAt time.Time
	there       bool
	since       time.Time
}

// majority works out since when more than half of the boxes have known of a version, by
// their recent word.
func (p *Policy) majority(model string, version int) majority {
	now := boottime.Now()
	found := majority{version: version, workedOutAt: now}
	var since []time.Time
	for _, peer := range p.cfg.Peers() {
		if now.Sub(peer.SentAfter) <= heardFresh-majorityFor && peer.Weights[model] >= version {
			since = append(since, peer.KnownSince[model])
		}
	}
	boxes := p.cfg.Boxes()
	needed := boxes / 2 // besides this one
	if boxes == 0 || len(since) < needed {
		return found
	}
	found.there = true
	if needed > 0 {
		slices.SortFunc(since, time.Time.Compare)
		found.since = since[needed-1]
	}
	return found
}

// FetchWindow is for how long after newer weights were named a box that knows of them
// fetches a part.
func FetchWindow(partID string) time.Duration { return retirement(partID) + registry.ReadFresh }

// FreeDelay is how long after a box learnt of newer weights it may free a part.
func FreeDelay(partID string) time.Duration { return retirement(partID) + freeMargin }

// retirement is how long after newer weights were named a part retires, by its name alone.
// It is still fetched for a while then; see FetchWindow.
func retirement(partID string) time.Duration {
	place := float64(xxhash.Sum64String(partID)>>11) / (1 << 53)
	return firstRetirement + time.Duration(float64(spread)*place)
}
