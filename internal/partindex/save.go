// Where a part is saved that no store box keeps. All boxes choose alike, by weighted
// rendezvous hashing over the store boxes with room, so that boxes that know nothing
// of each other save the same part in the same store box.

package partindex

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
)

const (
	// savingFor is how long a save that was planned is expected to come true.
	savingFor = 4 * time.Second
	// maxSaving bounds the saves that are remembered before old ones are dropped.
	maxSaving = 4096
	// smallPart is the size in tokens up to which a part goes to the store boxes
	// that answer first: the move itself takes no time.
	smallPart = 1000
	// fillLimit is the part of a store box that is filled on purpose; the rest is
	// for parts of other boxes that this one does not know of yet.
	fillLimit = 0.97
	// sparePart is the part of the quick store boxes that large parts may fill. A
	// token of either kind of part is asked for about equally often, so only a
	// little is kept free for the small ones.
	sparePart = 0.9
)

// place chooses the store box for a part that none keeps, or nothing when it is
// being saved already or has no room anywhere. All boxes choose alike.
func (x *Index) place(key Key, tokens int, in func(zone string) bool, now time.Time) string {
	if asked, ok := x.saving[key]; ok && now.Sub(asked.at) < savingFor {
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

// NoteDispatched notes that a call with a plan was handed over: the saves that it asked for
// are under way, and so is its fetch, the try of a slow store box.
func (x *Index) NoteDispatched(name string, parts []call.Part, plan Plan) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := boottime.Now()
	for i, address := range plan.Save {
		if address != "" {
			x.saving[Key{name, parts[i].ID}] = save{address, now}
		}
	}
	for _, s := range x.stores {
		if s.pace.slow && slices.Contains(plan.Fetch, s.config.Address) {
			s.pace.triedAt = now
		}
	}
	switch {
	case len(x.saving) > maxSaving:
		x.forgetSaving(now, savingFor)
	case now.Sub(x.forgotAt) > doubtFor:
		x.forgetSaving(now, doubtFor)
	}
}

// DropSaves notes that a call with a plan was not served: what it was to save is
// worth saving by the next one.
func (x *Index) DropSaves(name string, parts []call.Part, plan Plan) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, address := range plan.Save {
		if address != "" {
			delete(x.saving, Key{name, parts[i].ID})
		}
	}
}

// forgetSaving forgets the saves that are older than an age.
func (x *Index) forgetSaving(now time.Time, age time.Duration) {
	x.forgotAt = now
	for key, asked := range x.saving {
		if now.Sub(asked.at) >= age {
			delete(x.saving, key)
		}
	}
}

// choose takes, among the quick or the other store boxes with room, the one that
// weighted rendezvous hashing gives the part.
func (x *Index) choose(key Key, tokens int, in func(zone string) bool, now time.Time, quick bool) *store {
	var best *store
	var bestScore float64
	for _, s := range x.stores {
		if s.quick != quick || in != nil && !in(s.config.Zone) || !x.hasRoom(s, tokens, now) {
			continue
		}
		if score := rendezvous(s.name, key, float64(s.config.CapacityTokens)); best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

func (x *Index) hasRoom(s *store, tokens int, now time.Time) bool {
	limit := fillLimit
	if s.quick && tokens > smallPart && slices.ContainsFunc(x.stores, func(o *store) bool { return !o.quick }) {
		limit = sparePart
	}
	return s.life != 0 && now.Sub(s.heardAt) <= freshFor && !now.Before(s.saveFrom) &&
		float64(s.used+tokens) <= limit*float64(s.config.CapacityTokens)
}
