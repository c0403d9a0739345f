// Placement of parts that no store box holds. Every box uses weighted rendezvous hashing over the
// store boxes with free space, so boxes that do not communicate save the same part in the same
// store box.

package partindex

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
)

const (
	// saveTimeout is how long a requested save is expected to take.
	saveTimeout = 4 * time.Second
	// maxPendingSaves is the number of pending saves above which old ones are dropped.
	maxPendingSaves = 4096
	// smallPart is the size in tokens up to which a part goes to the store boxes with the lowest
	// latency, since the transfer itself takes almost no time.
	smallPart = 1000
	// maxFill is the fraction of a store box that is filled on purpose. The rest is for parts saved
	// by other boxes that this one does not know of yet.
	maxFill = 0.97
	// maxLargePartFill is the fraction of the fast store boxes that large parts may fill. Tokens of
	// large and small parts are requested about equally often, so only a little is reserved for the
	// small ones.
	maxLargePartFill = 0.9
)

// place chooses the store box for a part that none holds. It returns the empty string if the part
// is already being saved or fits nowhere. All boxes make the same choice.
func (x *Index) place(key Key, tokens int, in func(zone string) bool, now time.Time) string {
	if pending, ok := x.pendingSaves[key]; ok && now.Sub(pending.at) < saveTimeout {
		return ""
	}
	best := x.choose(key, tokens, in, now, tokens <= smallPart)
	if best == nil {
		best = x.choose(key, tokens, in, now, tokens > smallPart)
	}
	if best == nil {
		return ""
	}
	return best.config.Address
}

// NoteDispatched records that a call with a plan was dispatched: the saves that it requested are
// pending, its fetches occupy links, and one from a slow store box counts as a probe.
func (x *Index) NoteDispatched(namespace string, parts []call.Part, plan Plan) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := boottime.Now()
	for i, address := range plan.Save {
		if address != "" {
			x.pendingSaves[Key{namespace, parts[i].ID}] = save{address, now}
		}
	}
	x.noteFetches(plan, now)
	switch {
	case len(x.pendingSaves) > maxPendingSaves:
		x.pruneSaves(now, saveTimeout)
	case now.Sub(x.prunedAt) > overdueWindow:
		x.pruneSaves(now, overdueWindow)
	}
}

// DropSaves records that a call with a plan was not served, so that the next call saves the same
// parts.
func (x *Index) DropSaves(namespace string, parts []call.Part, plan Plan) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, address := range plan.Save {
		if address != "" {
			delete(x.pendingSaves, Key{namespace, parts[i].ID})
		}
	}
}

// pruneSaves removes pending saves older than an age.
func (x *Index) pruneSaves(now time.Time, age time.Duration) {
	x.prunedAt = now
	for key, pending := range x.pendingSaves {
		if now.Sub(pending.at) >= age {
			delete(x.pendingSaves, key)
		}
	}
}

// choose picks a store box for the part by weighted rendezvous hashing, among the fast or the
// other store boxes with free space.
func (x *Index) choose(key Key, tokens int, in func(zone string) bool, now time.Time, fast bool) *store {
	var best *store
	var bestScore float64
	for _, s := range x.stores {
		if s.fast != fast || in != nil && !in(s.config.Zone) || !x.hasRoom(s, tokens, now) {
			continue
		}
		if score := rendezvous(s.name, key, float64(s.config.CapacityTokens)); best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

func (x *Index) hasRoom(s *store, tokens int, now time.Time) bool {
	limit := maxFill
	if s.fast && tokens > smallPart && slices.ContainsFunc(x.stores, func(o *store) bool { return !o.fast }) {
		limit = maxLargePartFill
	}
	return s.epoch != 0 && now.Sub(s.asOf) <= freshFor && !now.Before(s.saveFrom) &&
		float64(s.used+tokens) <= limit*float64(s.config.CapacityTokens)
}
