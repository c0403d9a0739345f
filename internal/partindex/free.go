// Parts that may be let go of, and what was.

package partindex

import (
	"github.com/cometlock/cometlock/internal/boottime"
)

// Freeable lists parts of a store box that may be freed, those that broke off
// included: nobody writes under weights whose parts may be freed.
func (x *Index) Freeable(address string, mayFree func(Key) bool, most int) (parts []Key, life int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil || boottime.Since(s.heardAt) > freshFor {
		return nil, 0
	}
	for _, kept := range []map[Key]int{s.held, s.unfinished} {
		for key := range kept {
			if len(parts) < most && mayFree(key) {
				parts = append(parts, key)
			}
		}
	}
	return parts, s.life
}

// NoteFreed notes that parts were freed: the event that says so may be lost, and of parts
// that were not whole there is none.
func (x *Index) NoteFreed(address string, life int64, parts []Key) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil || s.life != life {
		return
	}
	for _, key := range parts {
		s.used -= s.held[key] + s.unfinished[key]
		delete(s.held, key)
		delete(s.unfinished, key)
	}
}
