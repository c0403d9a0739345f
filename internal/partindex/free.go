// Parts that may be freed, and parts that were freed.

package partindex

import (
	"maps"
	"slices"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Freeable lists at most limit parts of a store box that may be freed, and its epoch. It includes
// unfinished parts, since nothing is written under weights whose parts may be freed. mayFree is called
// without the lock of the index: it takes locks under which others call the index.
func (x *Index) Freeable(address string, mayFree func(Key) bool, limit int) (parts []Key, epoch int64) {
	kept, epoch := x.kept(address)
	for _, key := range kept {
		if len(parts) == limit {
			break
		}
		if mayFree(key) {
			parts = append(parts, key)
		}
	}
	return parts, epoch
}

// kept returns all parts of a store box, the unfinished ones too, and its epoch. It returns none if the
// state of the store box is not recent.
func (x *Index) kept(address string) (parts []Key, epoch int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil || boottime.Since(s.asOf) > freshFor {
		return nil, 0
	}
	parts = make([]Key, 0, len(s.held)+len(s.unfinished))
	parts = slices.AppendSeq(parts, maps.Keys(s.held))
	return slices.AppendSeq(parts, maps.Keys(s.unfinished)), s.epoch
}

// NoteFreed records that parts were freed. The event of the store box may be lost, and unfinished
// parts have none.
func (x *Index) NoteFreed(address string, epoch int64, parts []Key) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil || s.epoch != epoch {
		return
	}
	for _, key := range parts {
		s.used -= s.held[key] + s.unfinished[key]
		delete(s.held, key)
		delete(s.unfinished, key)
	}
}
