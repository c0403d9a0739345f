// What boxes divide among each other: rate limits, the room of brittle servers, cold servers and
// connections. Each box has a part of them by itself, whatever calls come to it.

package fleet

import "github.com/cometlock/cometlock/internal/boottime"

// LacksShare reports whether a call finds no server only because this box has used up its parts of what boxes
// divide: another box may have some left.
func (f *Fleet) LacksShare(query Query) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	lacking := false
	for _, state := range f.sample(&query, 0) {
		if !f.isOpen(state, &query, now) || f.isSuspect(state, now) {
			continue
		}
		if f.hasShare(state, &query, now) {
			return false
		}
		lacking = true
	}
	return lacking
}
