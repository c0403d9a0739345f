// What the registry says became of a server, for those who must tell a crash from a planned
// end.

package fleet

// Fate is what became of a life of a server.
type Fate uint8

// Fates of a life.
const (
	// FateListed: it stands in the registry and is to stay.
	FateListed Fate = iota + 1
	// FateLeft: it said that it leaves, or its entry went and nothing says more.
	FateLeft
	// FateReplaced: without a word before, another life of the server is listed, or another
	// server at its address.
	FateReplaced
)

// Fate says what became of a life of a server.
func (f *Fleet) Fate(incarnation string) Fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.servers[incarnation]
	switch {
	case state == nil || state.Leaving:
		return FateLeft
	case f.replaced(state):
		return FateReplaced
	case !state.gone.IsZero():
		return FateLeft
	default:
		return FateListed
	}
}

// replaced reports whether another life stands where one is or was. The caller holds mu.
func (f *Fleet) replaced(state *State) bool {
	for _, other := range f.servers {
		if other != state && other.gone.IsZero() && other.Address == state.Address && other.offset >= state.offset {
			return true
		}
	}
	return false
}
