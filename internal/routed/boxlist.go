// Backend servers in the platform's box list. The list lags, and may be read from a source that is
// behind. An incarnation that another one has replaced is therefore ignored from then on. A server
// that the list leaves out keeps its last state, including whether it is leaving.

package routed

import (
	"cmp"
	"slices"
	"strings"
)

// ListEntry is the list's entry of one backend server.
type ListEntry struct {
	Name string
	// Incarnation identifies the server's current incarnation, and Address is where it serves. Each
	// is empty where the list does not include it.
	Incarnation string
	Address     string
	// Leaving servers get no new calls.
	Leaving bool
}

// listState is the merged state of a server from all lists applied so far.
type listState struct {
	incarnation string
	address     string
	leaving     bool
	// previous holds the incarnations before this one, the newest last.
	previous []string
}

// maxPrevious bounds the previous incarnations remembered for a server. A list that is behind by
// more of them is hours old.
const maxPrevious = 16

// apply merges an entry of the list. An entry with a previous incarnation is outdated and is
// ignored. An entry without an incarnation or an address leaves the current ones.
func (s *listState) apply(listed ListEntry) {
	if slices.Contains(s.previous, listed.Incarnation) {
		return
	}
	if listed.Incarnation != "" && listed.Incarnation != s.incarnation {
		if s.incarnation != "" {
			s.previous = append(s.previous[max(len(s.previous)-maxPrevious+1, 0):], s.incarnation)
		}
		s.incarnation, s.address = listed.Incarnation, ""
	}
	s.address = cmp.Or(listed.Address, s.address)
	s.leaving = listed.Leaving
}

// ApplyBoxList applies the entries of backend servers in the platform's list.
func (r *Router) ApplyBoxList(entries []ListEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range entries {
		state := r.listStates[entry.Name]
		if state == nil {
			state = &listState{}
			r.listStates[entry.Name] = state
		}
		state.apply(entry)
	}
	r.updateFleet()
}

// identity returns the name of a server in the fleet. A server of two services counts as two there,
// and one with another address or incarnation is another server.
func identity(service, name, address, incarnation string) string {
	return service + "/" + name + "@" + address + "#" + incarnation
}

// incarnationIn returns the incarnation that an identity contains, or "".
func incarnationIn(identity string) string {
	_, incarnation, _ := strings.Cut(identity, "#")
	return incarnation
}
