// Copies of a log, to restore it from one as after the loss of the log's machines.

package fakelog

import (
	"slices"

	"github.com/cometlock/cometlock/internal/logservice"
)

// Copy is what a log held at some moment.
type Copy struct{ streams map[string]copiedStream }

type copiedStream struct {
	earliest int64
	records  []logservice.Record
}

// Copy returns a copy of the log.
func (l *Log) Copy() Copy {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := Copy{streams: make(map[string]copiedStream, len(l.streams))}
	for name, s := range l.streams {
		copied.streams[name] = copiedStream{s.earliest, slices.Clone(s.records)}
	}
	return copied
}

// Restore replaces what the log holds by a copy. Offsets after the copy are given out again, and reads
// that wait fail. From then on a read from an offset after the end fails as one of expired records does.
func (l *Log) Restore(from Copy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restores++
	for _, s := range l.streams {
		s.earliest, s.records = 0, nil
	}
	for name, copied := range from.streams {
		s := l.stream(name)
		s.earliest, s.records = copied.earliest, slices.Clone(copied.records)
	}
	for _, s := range l.streams {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Restores returns how often the log was restored.
func (l *Log) Restores() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restores
}
