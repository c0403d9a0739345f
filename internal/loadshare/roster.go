// Rosters: which boxes a box speaks for, each with its life and the weights that it knows.
//
// What more than half of the boxes must have said is decided by the words of boxes, each
// by its name; a hub passes them on and adds none up. So however many ways a word comes, its
// box counts once. To pass on 300 of them ten times a second would be most of what boxes
// send, and hardly any changes from one time to the next. So a roster is told as what
// changed since the one that the receiver has, and with it one age: all boxes on the roster
// have said what stands there within that time. A box whose word is older than rosterFresh
// leaves the roster, so that it does not make the others' words old.
//
// Plain data and arithmetic; the time is given.

package loadshare

import (
	"maps"
	"time"
)

// rosterFresh is how old the word of a box may be that a hub passes on. When all is well a hub
// knows its own boxes' words 0.25 s late and those of others 0.5 s late at most; the last step
// adds 0.25 s, and package retire takes 1.5 s for fresh.
const rosterFresh = 800 * time.Millisecond

// boxWord says what one box knows.
type boxWord struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	Box     string         `msgpack:"b"`
	Life    string         `msgpack:"l"`
	Weights map[string]int `msgpack:"w"`
	// Gone says that the box is no longer on the roster.
	Gone bool `msgpack:"g,omitempty"`
}

func (w boxWord) same(other boxWord) bool {
	return w.Life == other.Life && w.Gone == other.Gone && maps.Equal(w.Weights, other.Weights)
}

// rosterWord tells a roster.
type rosterWord struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	// All says that this is the roster for those who follow the sender.
	All bool `msgpack:"a,omitempty"`
	// Boxes holds what changed after Since, and leads to Next; Since is zero when it holds
	// the whole roster.
	Since uint64    `msgpack:"s,omitempty"`
	Next  uint64    `msgpack:"n"`
	Boxes []boxWord `msgpack:"b,omitempty"`
	// Oldest is the age of the oldest word on the roster.
	Oldest time.Duration `msgpack:"o"`
}

// board is a roster as it is told.
type board struct {
	posted map[string]posted
	// first is the generation from which on changes are known.
	first uint64
	// at is a moment after which all boxes on it have said so.
	at time.Time
}

// posted is a box on the board, since a generation; one that is gone stays as such.
type posted struct {
	boxWord
	since uint64
}

func newBoard() board { return board{posted: map[string]posted{}} }

// mostGone bounds the boxes that are remembered as gone.
const mostGone = 1024

// update takes over which boxes are on the board, all of which have said so after a moment,
// and counts the generations on.
func (b *board) update(words map[string]boxWord, at time.Time, generation *uint64) {
	b.at = at
	gone := 0
	for name, before := range b.posted {
		if _, there := words[name]; there {
			continue
		}
		gone++
		if !before.Gone {
			*generation++
			b.posted[name] = posted{boxWord{Box: name, Gone: true}, *generation}
		}
	}
	for name, next := range words {
		if before, found := b.posted[name]; !found || !before.same(next) {
			*generation++
			b.posted[name] = posted{next, *generation}
		}
	}
	if gone > mostGone {
		b.forgetGone(generation)
	}
}

// forgetGone forgets the boxes that are gone; whoever has an older roster is told all.
func (b *board) forgetGone(generation *uint64) {
	maps.DeleteFunc(b.posted, func(_ string, p posted) bool { return p.Gone })
	*generation++
	b.first = *generation
}

// tell writes down what changed since a generation that the receiver has, zero for none.
func (b *board) tell(since, generation uint64, all bool, now time.Time) *rosterWord {
	if len(b.posted) == 0 {
		return nil
	}
	if since < b.first {
		since = 0
	}
	told := &rosterWord{All: all, Since: since, Next: generation, Oldest: now.Sub(b.at)}
	for _, box := range b.posted {
		if box.since > since && (since > 0 || !box.Gone) {
			told.Boxes = append(told.Boxes, box.boxWord)
		}
	}
	return told
}

// roster is another box's roster as it was told.
type roster struct {
	// life is that of the box that told it.
	life  string
	all   bool
	next  uint64
	boxes map[string]boxWord
	// at is a moment after which all of its boxes have said what stands there; zero when
	// none is known.
	at time.Time
}

// take takes over a word of a box in a life, which was said after asOf; zero when that is
// not known. What does not follow what is known is left out, and the roster grows old.
func (r *roster) take(told *rosterWord, life string, asOf time.Time) {
	if told == nil {
		*r = roster{}
		return
	}
	follows := r.life == life && r.all == told.All && told.Since <= r.next && told.Next >= r.next
	switch {
	case told.Since == 0:
		*r = roster{life: life, all: told.All, boxes: make(map[string]boxWord, len(told.Boxes))}
	case !follows:
		return
	}
	for _, box := range told.Boxes {
		if box.Gone {
			delete(r.boxes, box.Box)
		} else {
			r.boxes[box.Box] = box
		}
	}
	r.next = told.Next
	r.at = time.Time{}
	if !asOf.IsZero() {
		r.at = asOf.Add(-told.Oldest)
	}
}
