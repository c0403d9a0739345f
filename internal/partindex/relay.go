// Relaying the state of store boxes between boxes. A store box answers only a few clients at a
// time, and each request costs it time, so one box of a zone (the reader) polls it and the others
// (its followers) receive its state from the reader. The reader computes the age of an update,
// and the receiver adds the time since before it requested the update. The rules of this package
// therefore hold for followers as for readers.

package partindex

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Position is how far the state that a box has of a store box reaches.
type Position struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would be half of the message

	Epoch int64 `msgpack:"l"`
	Next  int64 `msgpack:"n"`
	// Lists is how many lists of the store box, as counted by the sender of the updates, the state
	// includes.
	Lists int `msgpack:"m,omitempty"`
}

// Part is a part in an update, with the number of tokens held; 0 when it was removed.
type Part struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would be half of the message

	Namespace string `msgpack:"n"`
	ID        string `msgpack:"i"`
	Tokens    int    `msgpack:"t,omitempty"`
}

// StoreUpdate is the state of a store box after a position.
type StoreUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would be half of the message

	Address  string   `msgpack:"a"`
	Position Position `msgpack:"p"`
	// Full reports that Parts holds everything that the store box holds.
	Full  bool   `msgpack:"w,omitempty"`
	Parts []Part `msgpack:"c,omitempty"`
	// Listed reports that Unfinished holds the unfinished parts, and that Parts includes the
	// corrections that lists of the store box made.
	Listed     bool   `msgpack:"d,omitempty"`
	Unfinished []Part `msgpack:"u,omitempty"`
	// Age is how long ago this state was current.
	Age time.Duration `msgpack:"g"`
	// SaveDelay is how much longer nothing may be saved in the store box, because some box may not
	// yet have observed its restart.
	SaveDelay time.Duration `msgpack:"q,omitempty"`
	// ClockMillis is the servers' clock when the update was sent; 0 if it is not known.
	ClockMillis int64 `msgpack:"k,omitempty"`
	// Unknown reports that the sender polls the store box and has no answer yet.
	Unknown bool `msgpack:"o,omitempty"`
}

const (
	// maxRecentAnswers is how many answers of a store box are kept for followers that are behind,
	// some seconds' worth. Followers that are further behind receive the full state.
	maxRecentAnswers = 64
	// relayTimeout is how long a follower waits for the next update before it polls a store box
	// itself.
	relayTimeout = 2500 * time.Millisecond
	// pollAfter is how old the state of a store box may be before a follower polls it itself, since
	// the reader alone may be cut off from the store box. It exceeds the duration of most restarts,
	// because all boxes of the zone poll at that point.
	pollAfter = 4 * time.Second
)

// relayState is what a box sends of a store box to its followers, and until when it waits for
// updates itself.
type relayState struct {
	// recent holds the latest answers with changes, the newest last.
	recent []answer
	// corrected holds the keys for which a list differed from the events, with the number of that
	// list.
	corrected map[Key]int
	lists     int
	// pauseUntil is until when this box does not poll, and timer wakes those that wait for that.
	pauseUntil time.Time
	timer      *time.Timer
}

// pausePolling stops this box from polling a store box before a given time, unless PollDirectly
// is called. The caller holds mu. Resetting a timer wakes no goroutine, whereas one loop for each
// of 47 store boxes would wake at each earlier deadline.
func (x *Index) pausePolling(s *store, until time.Time) {
	s.relay.pauseUntil = until
	if s.relay.timer == nil {
		s.relay.timer = time.AfterFunc(boottime.Until(until), x.resumePolling.Broadcast)
		return
	}
	s.relay.timer.Reset(boottime.Until(until))
}

// answer is an answer of a store box that starts at a position.
type answer struct {
	from    int64
	changes []Change
}

// record keeps an answer for followers.
func (r *relayState) record(from int64, report Report) {
	if len(report.Changes) == 0 {
		return
	}
	r.recent = append(r.recent, answer{from, report.Changes})
	if len(r.recent) > maxRecentAnswers {
		r.recent = append([]answer(nil), r.recent[len(r.recent)-maxRecentAnswers:]...)
	}
}

// recordCorrections records where a list differs from the events before it.
func (r *relayState) recordCorrections(before, after map[Key]int) {
	r.lists++
	if before == nil {
		return
	}
	if r.corrected == nil {
		r.corrected = map[Key]int{}
	}
	for key, tokens := range after {
		if before[key] != tokens {
			r.corrected[key] = r.lists
		}
	}
	for key := range before {
		if after[key] == 0 {
			r.corrected[key] = r.lists
		}
	}
}

// Positions returns the known position of each store box, by address.
func (x *Index) Positions() map[string]Position {
	x.mu.Lock()
	defer x.mu.Unlock()
	positions := make(map[string]Position, len(x.stores))
	for _, s := range x.stores {
		positions[s.config.Address] = Position{Epoch: s.epoch, Next: s.next}
	}
	return positions
}

// NeedsFull reports whether the update of a store box after a position would hold its full state.
func (x *Index) NeedsFull(address string, since Position) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	return s != nil && s.epoch != 0 && s.needsFull(since)
}

// needsFull reports whether the changes after a position are not known.
func (s *store) needsFull(since Position) bool {
	return since.Epoch != s.epoch || !s.relay.covers(since.Next, s.next)
}

// UpdateSince returns the state of a store box after a position, and whether it contains changes.
// known is false if the store box is not configured here. If its current epoch is not known, the
// update is marked Unknown.
func (x *Index) UpdateSince(address string, since Position) (update StoreUpdate, changed, known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil {
		return StoreUpdate{}, false, false
	}
	if s.epoch == 0 {
		return StoreUpdate{Address: address, Unknown: true}, false, true
	}
	update = StoreUpdate{Address: address, Position: Position{Epoch: s.epoch, Next: s.next, Lists: s.relay.lists}, Age: boottime.Since(s.asOf)}
	update.SaveDelay = max(boottime.Until(s.saveFrom), 0)
	if x.clock > 0 {
		update.ClockMillis = x.clock + boottime.Since(x.clockAt).Milliseconds()
	}
	if s.needsFull(since) {
		update.Full, update.Listed = true, true
		update.Parts, update.Unfinished = parts(s.held), parts(s.unfinished)
		return update, true, true
	}
	for _, answer := range s.relay.since(since.Next, s.next) {
		for _, change := range answer.changes {
			update.Parts = append(update.Parts, Part{Namespace: change.Namespace, ID: change.ID, Tokens: change.Tokens})
		}
	}
	if since.Lists < s.relay.lists {
		update.Listed, update.Unfinished = true, parts(s.unfinished)
		for key, list := range s.relay.corrected {
			if list > since.Lists {
				update.Parts = append(update.Parts, Part{Namespace: key.Namespace, ID: key.ID, Tokens: s.held[key]})
			}
		}
	}
	return update, len(update.Parts) > 0 || update.Listed, true
}

// covers reports whether the recent answers reach back to a position.
func (r *relayState) covers(from, next int64) bool {
	return from >= next || len(r.recent) > 0 && r.recent[0].from <= from
}

// since returns the answers with changes after a position. The first may start before it, which
// does no harm, since everything after that start is included too.
func (r *relayState) since(from, next int64) []answer {
	if from >= next {
		return nil // a list may have corrected the state since the last answer
	}
	at := len(r.recent)
	for at > 0 && r.recent[at-1].from >= from {
		at--
	}
	if at > 0 && (at == len(r.recent) || r.recent[at].from > from) {
		at--
	}
	return r.recent[at:]
}

func parts(held map[Key]int) []Part {
	list := make([]Part, 0, len(held))
	for key, tokens := range held {
		list = append(list, Part{Namespace: key.Namespace, ID: key.ID, Tokens: tokens})
	}
	return list
}

// ApplyUpdate applies the state of a store box that another box had at asOf or later. It returns
// false if the update has less than this box already knows.
func (x *Index) ApplyUpdate(update StoreUpdate, asOf time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(update.Address)
	x.polls, x.following = false, true
	if s != nil && update.Unknown {
		x.pausePolling(s, s.pollTime(boottime.Now()))
		return false
	}
	if s == nil || !update.Full && update.Position.Epoch != s.epoch {
		return false
	}
	stateAt := asOf.Add(-update.Age)
	if update.Position.Epoch != s.epoch && stateAt.Before(s.asOf) {
		return false // of an epoch that this box knows to be over
	}
	if stateAt.Before(s.asOf) {
		stateAt = s.asOf
	}
	report := Report{Epoch: update.Position.Epoch, Next: update.Position.Next, AsOf: stateAt, ClockMillis: x.laterClock(update.ClockMillis)}
	for _, part := range update.Parts {
		report.Changes = append(report.Changes, Change{Key{part.Namespace, part.ID}, part.Tokens})
	}
	newer := update.Position.Epoch != s.epoch || update.Position.Next >= s.next
	if newer {
		x.applyNewer(s, update, report)
	}
	// A box that has just started treats each store box as restarted; the sender may know better.
	s.saveFrom = earliest(s.saveFrom, boottime.Now().Add(update.SaveDelay))
	s.asOf = stateAt
	x.pausePolling(s, s.pollTime(boottime.Now()))
	return newer
}

// applyNewer applies an update that reaches further than the known state. The caller holds mu.
func (x *Index) applyNewer(s *store, update StoreUpdate, report Report) {
	x.beginEpoch(s, report)
	if update.Full {
		s.reset()
		s.relay.recent = nil
	} else {
		s.relay.record(s.next, report)
	}
	x.applyReport(s, report)
	if update.Listed {
		unfinished := make([]Change, len(update.Unfinished))
		for i, part := range update.Unfinished {
			unfinished[i] = Change{Key{part.Namespace, part.ID}, part.Tokens}
		}
		s.setUnfinished(unfinished)
		x.markListed(s, report.AsOf)
	}
}

// laterClock returns the servers' clock of an update that has just arrived if it is later than
// the known one, and 0 otherwise. Either lags by the time that its message was in transit.
func (x *Index) laterClock(clockMillis int64) int64 {
	if x.clock > 0 && x.clock+boottime.Since(x.clockAt).Milliseconds() >= clockMillis {
		return 0
	}
	return clockMillis
}

// pollTime returns when this box polls a store box itself if it receives no further update. It
// applies equally to an update marked Unknown: when all boxes of a zone polled a store box that
// had refused their reader, it refused even more requests.
func (s *store) pollTime(now time.Time) time.Time {
	stateAt := s.asOf
	if s.addedAt.After(stateAt) {
		stateAt = s.addedAt
	}
	return earliest(now.Add(relayTimeout), stateAt.Add(pollAfter))
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// PollDirectly makes this box poll all store boxes itself, until it next receives an update.
func (x *Index) PollDirectly() {
	x.mu.Lock()
	x.polls, x.following = true, false
	for _, s := range x.stores {
		s.relay.pauseUntil = time.Time{}
	}
	x.mu.Unlock()
	x.resumePolling.Broadcast()
}

// Follows reports whether another box sends this one the state of store boxes.
func (x *Index) Follows() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.following
}

// WaitToPoll waits until this box is to poll a store box, and reports whether it had to wait.
func (x *Index) WaitToPoll(ctx context.Context, address string) (waited bool) {
	for ctx.Err() == nil {
		wake := x.resumePolling.Chan()
		if !x.PollPaused(address) {
			return waited
		}
		waited = true
		select {
		case <-wake:
		case <-ctx.Done():
		}
	}
	return waited
}

// PollPaused reports whether this box does not poll a store box at present, because another box
// sends its state or is expected to.
func (x *Index) PollPaused(address string) bool { return boottime.Now().Before(x.pausedUntil(address)) }

func (x *Index) pausedUntil(address string) time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.find(address); s != nil {
		return s.relay.pauseUntil
	}
	return time.Time{}
}
