// Which era of the log a box has seen. Streams are read one by one, and some boxes read none of them, so
// one part of a box may know a later era than the others.

package sharedlog

import (
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Eras holds the highest era that this box has seen. The zero value has seen era 0.
type Eras struct {
	mu      sync.Mutex
	newest  int64
	seenAt  time.Time
	changed waiting.Signal
}

// Note records the era of a position, which the log or another box named.
func (e *Eras) Note(position int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era := logposition.Era(position); era > e.newest {
		e.newest, e.seenAt = era, boottime.Now()
		e.changed.Broadcast()
	}
}

// Newest returns the highest era, and when this box first saw it. The log had come back by then.
func (e *Eras) Newest() (era int64, seenAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest, e.seenAt
}

// Changed returns a channel that is closed when the box sees a later era.
func (e *Eras) Changed() <-chan struct{} { return e.changed.Chan() }
