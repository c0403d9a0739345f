package follow

import (
	"github.com/cometlock/cometlock/internal/configlog"
)

// maxHistory bounds the accepted changes that are kept for peers.
const maxHistory = 256

// Change is an accepted change in the form in which it is sent to peers.
type Change struct {
	Offset int64            `msgpack:"o"`
	Record configlog.Record `msgpack:"r"`
}

// history keeps the last accepted changes, so that a peer that is slightly behind gets a few
// hundred bytes instead of the whole configuration.
type history struct {
	changes []Change
}

func (h *history) add(event configlog.Event) {
	h.changes = append(h.changes, Change{Offset: event.Offset, Record: event.Record})
	if len(h.changes) > 2*maxHistory {
		h.changes = append([]Change(nil), h.changes[maxHistory:]...)
	}
}

// since returns the changes that lead from a version to the newest one, and whether all of them are
// kept. Each change names its base version, so the first one must build on exactly that version.
func (h *history) since(version int64) ([]Change, bool) {
	for i, change := range h.changes {
		if change.Record.BaseVersion == version {
			return append([]Change(nil), h.changes[i:]...), true
		}
	}
	return nil, false
}

// Since returns the accepted changes that lead from a version to the one in force.
func (f *Follower) Since(version int64) ([]Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes, ok := f.recentChanges.since(version)
	if !ok || changes[len(changes)-1].Offset != f.state.Version {
		return nil, false
	}
	return changes, true
}

// OfferChanges applies a peer's changes to the version in force and offers the result. It reports
// whether the changes could be applied.
func (f *Follower) OfferChanges(changes []Change) bool {
	state := f.State()
	for _, change := range changes {
		data, err := change.Record.Encode()
		if err != nil {
			return false
		}
		next, verdict := configlog.Fold(state, change.Offset, data)
		if verdict != configlog.Accepted {
			return false
		}
		state = next
	}
	f.Offer(state)
	return true
}
