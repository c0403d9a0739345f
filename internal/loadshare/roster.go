// Rosters: the boxes that a box reports for, each with its incarnation and the weight versions that
// it knows.
//
// Package retire counts boxes by name and needs more than half of them, so hubs forward the entry
// of each box and never a count. A box counts once, however many paths its entry takes. Sending 300
// entries ten times a second would be most of the traffic between boxes, although few of them
// change. A roster is therefore sent as the changes since the generation that the receiver has,
// with a single age: every box on the roster has sent its entry within that time. A box whose state
// is older than maxRosterAge is removed from the roster, so that it does not raise the age of the
// other entries.
//
// This file has no I/O and no clock; callers pass the time.

package loadshare

import (
	"maps"
	"time"
)

// maxRosterAge is the maximum age of a state that a hub forwards. Normally a hub has the states of
// its own boxes after at most 0.25 s and those of other boxes after 0.5 s; the last hop adds
// another 0.25 s, and package retire uses states of up to 1.5 s.
const maxRosterAge = 800 * time.Millisecond

// rosterEntry is the entry of one box.
type rosterEntry struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would be half of the message

	Box         string         `msgpack:"b"`
	Incarnation string         `msgpack:"l"`
	Weights     map[string]int `msgpack:"w"`
	// Removed means that the box is no longer on the roster.
	Removed bool `msgpack:"g,omitempty"`
}

func (e rosterEntry) equal(other rosterEntry) bool {
	return e.Incarnation == other.Incarnation && e.Removed == other.Removed && maps.Equal(e.Weights, other.Weights)
}

// rosterUpdate is a roster, or the changes of one, as it is sent.
type rosterUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would be half of the message

	// Full means that this is the full roster, for followers of the sender.
	Full bool `msgpack:"a,omitempty"`
	// Entries holds the changes after generation Since, up to Generation. Since is zero when
	// Entries holds the whole roster.
	Since      uint64        `msgpack:"s,omitempty"`
	Generation uint64        `msgpack:"n"`
	Entries    []rosterEntry `msgpack:"b,omitempty"`
	// MaxAge is the age of the oldest entry on the roster.
	MaxAge time.Duration `msgpack:"o"`
}

// localRoster is a roster that this box sends.
type localRoster struct {
	entries map[string]versionedEntry
	// firstGeneration is the earliest generation since which all changes are known.
	firstGeneration uint64
	// sentAfter is a time after which all boxes on the roster have sent their entry.
	sentAfter time.Time
}

// versionedEntry is an entry with the generation that last changed it. An entry that was removed is
// kept as removed.
type versionedEntry struct {
	rosterEntry
	generation uint64
}

func newLocalRoster() localRoster { return localRoster{entries: map[string]versionedEntry{}} }

// maxRemoved bounds the removed entries that are kept.
const maxRemoved = 1024

// update replaces the entries by the current ones, all of which were sent after sentAfter, and
// increments the generation for each change.
func (r *localRoster) update(current map[string]rosterEntry, sentAfter time.Time, generation *uint64) {
	r.sentAfter = sentAfter
	removed := 0
	for name, before := range r.entries {
		if _, present := current[name]; present {
			continue
		}
		removed++
		if !before.Removed {
			*generation++
			r.entries[name] = versionedEntry{rosterEntry{Box: name, Removed: true}, *generation}
		}
	}
	for name, entry := range current {
		if before, found := r.entries[name]; !found || !before.equal(entry) {
			*generation++
			r.entries[name] = versionedEntry{entry, *generation}
		}
	}
	if removed > maxRemoved {
		r.dropRemoved(generation)
	}
}

// dropRemoved deletes the removed entries. A receiver with an older generation gets the whole
// roster.
func (r *localRoster) dropRemoved(generation *uint64) {
	maps.DeleteFunc(r.entries, func(_ string, entry versionedEntry) bool { return entry.Removed })
	*generation++
	r.firstGeneration = *generation
}

// changesSince returns the changes since a generation that the receiver has, or the whole roster if
// since is zero.
func (r *localRoster) changesSince(since, generation uint64, full bool, now time.Time) *rosterUpdate {
	if len(r.entries) == 0 {
		return nil
	}
	if since < r.firstGeneration {
		since = 0
	}
	update := &rosterUpdate{Full: full, Since: since, Generation: generation, MaxAge: now.Sub(r.sentAfter)}
	for _, entry := range r.entries {
		if entry.generation > since && (since > 0 || !entry.Removed) {
			update.Entries = append(update.Entries, entry.rosterEntry)
		}
	}
	return update
}

// remoteRoster is the roster of another box.
type remoteRoster struct {
	// incarnation is that of the box that sent it.
	incarnation string
	full        bool
	generation  uint64
	entries     map[string]rosterEntry
	// sentAfter is a time after which all of its boxes have sent their entry; zero when unknown.
	sentAfter time.Time
	// changes counts the updates that may have changed the entries.
	changes uint64
}

// apply applies an update that an incarnation of a box sent after sentAfter, which is zero when
// unknown. An update that does not continue from the present generation is ignored, and the roster
// ages. It reports whether the entries may have changed.
func (r *remoteRoster) apply(update *rosterUpdate, incarnation string, sentAfter time.Time) (changed bool) {
	if update == nil {
		changed = len(r.entries) > 0
		*r = remoteRoster{changes: r.changes + 1}
		return changed
	}
	contiguous := r.incarnation == incarnation && r.full == update.Full && update.Since <= r.generation && update.Generation >= r.generation
	switch {
	case update.Since == 0:
		*r = remoteRoster{incarnation: incarnation, full: update.Full, entries: make(map[string]rosterEntry, len(update.Entries)), changes: r.changes}
		changed = true
	case !contiguous:
		return false
	}
	if changed = changed || len(update.Entries) > 0; changed {
		r.changes++
	}
	for _, entry := range update.Entries {
		if entry.Removed {
			delete(r.entries, entry.Box)
		} else {
			r.entries[entry.Box] = entry
		}
	}
	r.generation = update.Generation
	r.sentAfter = time.Time{}
	if !sentAfter.IsZero() {
		r.sentAfter = sentAfter.Add(-update.MaxAge)
	}
	return changed
}
