// Words between boxes: what one box has heard of a store box, for those that follow it. A
// store box answers few askers at a time, and each of their questions has a price, so in a
// zone one box asks and the others are told. The age of a word is counted by the box that
// asked, and by the receiver from before it asked in turn, so the rules of this package
// hold for a box that is told as for one that asks.

package partindex

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Position says how far a box knows what a store box told.
type Position struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	Epoch int64 `msgpack:"l"`
	Next  int64 `msgpack:"n"`
	// Lists counts the lists of the store box that the teller's word has taken in.
	Lists int `msgpack:"m,omitempty"`
}

// Part is a part in a word, with the tokens that are kept of it; 0 when it is gone.
type Part struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	Namespace string `msgpack:"n"`
	ID        string `msgpack:"i"`
	Tokens    int    `msgpack:"t,omitempty"`
}

// StoreUpdate is what a box knows of a store box past a position.
type StoreUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	Address  string   `msgpack:"a"`
	Position Position `msgpack:"p"`
	// Full says that Parts holds all that the store box keeps.
	Full  bool   `msgpack:"w,omitempty"`
	Parts []Part `msgpack:"c,omitempty"`
	// Listed says that Unfinished holds the parts that are not whole, and what lists of
	// the store box have mended stands in Parts.
	Listed     bool   `msgpack:"d,omitempty"`
	Unfinished []Part `msgpack:"u,omitempty"`
	// Age is how long ago the store box had told all of this.
	Age time.Duration `msgpack:"g"`
	// SaveDelay is how much longer nothing may be saved in the store box, since some box may not
	// know yet that it has restarted.
	SaveDelay time.Duration `msgpack:"q,omitempty"`
	// ClockMillis is the servers' clock when the word was given; 0 when it is not known.
	ClockMillis int64 `msgpack:"k,omitempty"`
	// Unknown says that the teller asks the store box and has had no answer so far.
	Unknown bool `msgpack:"o,omitempty"`
}

const (
	// tailLength is how many answers of a store box are remembered for boxes that follow
	// later: some seconds' worth. Those that come later still are told all.
	tailLength = 64
	// toldFor is how long a box waits for the next word of the box that it follows before
	// it asks a store box itself.
	toldFor = 2500 * time.Millisecond
	// deafAfter is how old what a store box told may be until a box that is told asks it
	// itself: the box that it follows may be cut off from that store box alone. More than
	// most restarts take, since all boxes of the zone then ask.
	deafAfter = 4 * time.Second
)

// told is what other boxes are told of a store box, and what this one was told.
type told struct {
	// tail holds the last answers with changes, the newest last.
	tail []answered
	// mended holds the keys of which lists told otherwise than events, by the list.
	mended map[Key]int
	lists  int
	// until is until when this box need not ask; lapse wakes those who wait for that.
	until time.Time
	lapse *time.Timer
}

// waitUntil has this box not ask before a moment unless it is told that it must. The caller
// holds mu. A timer that is set anew wakes nobody, where a loop for each of 47 store boxes
// would look again whenever its last time was over.
func (x *Index) waitUntil(s *store, until time.Time) {
	s.told.until = until
	if s.told.lapse == nil {
		s.told.lapse = time.AfterFunc(boottime.Until(until), x.askItself.Send)
		return
	}
	s.told.lapse.Reset(boottime.Until(until))
}

// answered is an answer that began after a position.
type answered struct {
	from    int64
	changes []Change
}

// note remembers an answer for other boxes.
func (t *told) note(from int64, report Report) {
	if len(report.Changes) == 0 {
		return
	}
	t.tail = append(t.tail, answered{from, report.Changes})
	if len(t.tail) > tailLength {
		t.tail = append([]answered(nil), t.tail[len(t.tail)-tailLength:]...)
	}
}

// mend remembers what a list told otherwise than the events before it.
func (t *told) mend(before, after map[Key]int) {
	t.lists++
	if before == nil {
		return
	}
	if t.mended == nil {
		t.mended = map[Key]int{}
	}
	for key, tokens := range after {
		if before[key] != tokens {
			t.mended[key] = t.lists
		}
	}
	for key := range before {
		if after[key] == 0 {
			t.mended[key] = t.lists
		}
	}
}

// Positions gives how far this box knows each store box, by address.
func (x *Index) Positions() map[string]Position {
	x.mu.Lock()
	defer x.mu.Unlock()
	positions := make(map[string]Position, len(x.stores))
	for _, s := range x.stores {
		positions[s.config.Address] = Position{Epoch: s.life, Next: s.next}
	}
	return positions
}

// UpdateSince gives what this box knows of a store box past a position, and whether that is
// anything new. It gives no word where this box does not know the store box in its present
// life.
func (x *Index) UpdateSince(address string, since Position) (word StoreUpdate, news, known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil {
		return StoreUpdate{}, false, false
	}
	if s.life == 0 {
		return StoreUpdate{Address: address, Unknown: true}, false, true
	}
	word = StoreUpdate{Address: address, Position: Position{Epoch: s.life, Next: s.next, Lists: s.told.lists}, Age: boottime.Since(s.heardAt)}
	word.SaveDelay = max(boottime.Until(s.saveFrom), 0)
	if x.clock > 0 {
		word.ClockMillis = x.clock + boottime.Since(x.clockAt).Milliseconds()
	}
	if since.Epoch != s.life || !s.told.reaches(since.Next, s.next) {
		word.Full, word.Listed = true, true
		word.Parts, word.Unfinished = parts(s.held), parts(s.unfinished)
		return word, true, true
	}
	for _, answer := range s.told.since(since.Next, s.next) {
		for _, change := range answer.changes {
			word.Parts = append(word.Parts, Part{Namespace: change.Namespace, ID: change.ID, Tokens: change.Tokens})
		}
	}
	if since.Lists < s.told.lists {
		word.Listed, word.Unfinished = true, parts(s.unfinished)
		for key, list := range s.told.mended {
			if list > since.Lists {
				word.Parts = append(word.Parts, Part{Namespace: key.Namespace, ID: key.ID, Tokens: s.held[key]})
			}
		}
	}
	return word, len(word.Parts) > 0 || word.Listed, true
}

// reaches reports whether what is remembered goes back to a position.
func (t *told) reaches(from, next int64) bool {
	return from >= next || len(t.tail) > 0 && t.tail[0].from <= from
}

// since gives the answers that hold changes past a position; the first of them may begin
// before it, which does no harm, since all that follows is there too.
func (t *told) since(from, next int64) []answered {
	if from >= next {
		return nil // a list may have said otherwise since the last answer
	}
	at := len(t.tail)
	for at > 0 && t.tail[at-1].from >= from {
		at--
	}
	if at > 0 && (at == len(t.tail) || t.tail[at].from > from) {
		at--
	}
	return t.tail[at:]
}

func parts(kept map[Key]int) []Part {
	list := make([]Part, 0, len(kept))
	for key, tokens := range kept {
		list = append(list, Part{Namespace: key.Namespace, ID: key.ID, Tokens: tokens})
	}
	return list
}

// ApplyUpdate takes over what another box knew of a store box at asOf, or later. It reports
// false where that says less than this box knows.
func (x *Index) ApplyUpdate(word StoreUpdate, asOf time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(word.Address)
	x.asks, x.follows = false, true
	if s != nil && word.Unknown {
		x.waitUntil(s, s.askedFrom(boottime.Now()))
		return false
	}
	if s == nil || !word.Full && word.Position.Epoch != s.life {
		return false
	}
	heardAt := asOf.Add(-word.Age)
	if word.Position.Epoch != s.life && heardAt.Before(s.heardAt) {
		return false // of a life that this box knows to be over
	}
	if heardAt.Before(s.heardAt) {
		heardAt = s.heardAt
	}
	report := Report{Epoch: word.Position.Epoch, Next: word.Position.Next, AsOf: heardAt, ClockMillis: x.laterClock(word.ClockMillis)}
	for _, part := range word.Parts {
		report.Changes = append(report.Changes, Change{Key{part.Namespace, part.ID}, part.Tokens})
	}
	further := word.Position.Epoch != s.life || word.Position.Next >= s.next
	if further {
		x.takeReport(s, word, report)
	}
	// A box that has just started takes each store box for restarted; others know better.
	s.saveFrom = earliest(s.saveFrom, boottime.Now().Add(word.SaveDelay))
	s.heardAt = heardAt
	x.waitUntil(s, s.askedFrom(boottime.Now()))
	return further
}

// takeReport takes over a word that goes further than what is known. The caller holds mu.
func (x *Index) takeReport(s *store, word StoreUpdate, report Report) {
	x.begin(s, report)
	if word.Full {
		s.forget()
		s.told.tail = nil
	} else {
		s.told.note(s.next, report)
	}
	x.take(s, report)
	if word.Listed {
		unfinished := make([]Change, len(word.Unfinished))
		for i, part := range word.Unfinished {
			unfinished[i] = Change{Key{part.Namespace, part.ID}, part.Tokens}
		}
		s.takeUnfinished(unfinished)
		x.noteListed(s, report.AsOf)
	}
}

// laterClock gives the servers' clock by a word that has just come if that is later than
// what is known, and nothing otherwise: either lags by the time that it was on its way.
func (x *Index) laterClock(clockMillis int64) int64 {
	if x.clock > 0 && x.clock+boottime.Since(x.clockAt).Milliseconds() >= clockMillis {
		return 0
	}
	return clockMillis
}

// askedFrom gives from when on this box asks a store box itself if it is told nothing more.
// A box that follows one which has no answer of it waits as well: when all boxes of a zone
// asked a store box that had turned their reader away, it turned away all the more.
func (s *store) askedFrom(now time.Time) time.Time {
	deafSince := s.heardAt
	if s.knownAt.After(deafSince) {
		deafSince = s.knownAt
	}
	return earliest(now.Add(toldFor), deafSince.Add(deafAfter))
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// PollDirectly has this box ask all store boxes itself from now on, until it is told anew.
func (x *Index) PollDirectly() {
	x.mu.Lock()
	x.asks, x.follows = true, false
	for _, s := range x.stores {
		s.told.until = time.Time{}
	}
	x.mu.Unlock()
	x.askItself.Send()
}

// Follows reports whether another box tells this one of store boxes.
func (x *Index) Follows() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.follows
}

// WaitToPoll waits while another box tells of a store box, and reports whether it had to.
func (x *Index) WaitToPoll(ctx context.Context, address string) (waited bool) {
	for ctx.Err() == nil {
		wake := x.askItself.Wait()
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

// PollPaused reports whether another box tells of a store box.
func (x *Index) PollPaused(address string) bool { return boottime.Now().Before(x.toldUntil(address)) }

func (x *Index) toldUntil(address string) time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.find(address); s != nil {
		return s.told.until
	}
	return time.Time{}
}
