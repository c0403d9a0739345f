// What the platform's list of boxes says of backend servers. The list lags and may be
// read at a place that is behind, so a life of a server that another has followed is not
// believed in again, and what is known of a server that the list leaves out, its leaving
// included, stays as it was last told.

package routed

import (
	"cmp"
	"slices"
	"strings"
)

// ListEntry is the list's word on one backend server.
type ListEntry struct {
	Name string
	// Incarnation names the life that is there now, and Address where it serves; empty
	// where the list does not say.
	Incarnation string
	Address     string
	// Leaving servers get nothing new.
	Leaving bool
}

// belief is what the list has told of a server so far.
type belief struct {
	incarnation string
	address     string
	leaving     bool
	// earlier are lives before this one, the newest last.
	earlier []string
}

// earlierKept bounds the lives of a server that are remembered: a list that is behind by
// more lives than that is behind by hours.
const earlierKept = 16

// take takes over a word of the list. A word on an earlier life is behind and says nothing;
// one that names no life, or no address, leaves those that are known.
func (b *belief) take(listed ListEntry) {
	if slices.Contains(b.earlier, listed.Incarnation) {
		return
	}
	if listed.Incarnation != "" && listed.Incarnation != b.incarnation {
		if b.incarnation != "" {
			b.earlier = append(b.earlier[max(len(b.earlier)-earlierKept+1, 0):], b.incarnation)
		}
		b.incarnation, b.address = listed.Incarnation, ""
	}
	b.address = cmp.Or(listed.Address, b.address)
	b.leaving = listed.Leaving
}

// ApplyBoxList takes over the platform's list, as far as it names backend servers.
func (r *Router) ApplyBoxList(all []ListEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, listed := range all {
		known := r.beliefs[listed.Name]
		if known == nil {
			known = &belief{}
			r.beliefs[listed.Name] = known
		}
		known.take(listed)
	}
	r.tellFleet()
}

// identity names a server as the fleet sees it: one that serves two services is two
// there, and one at another address or in another life another one.
func identity(service, name, address, incarnation string) string {
	return service + "/" + name + "@" + address + "#" + incarnation
}

// incarnationIn gives the life that an identity names, or nothing.
func incarnationIn(identity string) string {
	_, incarnation, _ := strings.Cut(identity, "#")
	return incarnation
}
