// Parts that may be freed, and parts that were freed.

package partindex

import (
	"github.com/cometlock/cometlock/internal/boottime"
)

// Freeable lists at most limit parts of a store box that may be freed, and its epoch. It includes
// unfinished parts, since nothing is written under weights whose parts may be freed.
func (x *Index) Freeable(address string, mayFree func(Key) bool, limit int) (parts []Key, epoch int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil || boottime.Since(s.asOf) > freshFor {
		return nil, 0
	}
	for _, kept := range []map[Key]int{s.held, s.unfinished} {
		for key := range kept {
			if len(parts) < limit && mayFree(key) {
				parts = append(parts, key)
			}
		}
	}
	return parts, s.epoch
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
