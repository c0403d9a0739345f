// Values that many entries of servers have in common: thousands of servers hold the same weights and
// have one of a few services and zones. Each decoded entry would have its own copies.

package registry

import (
	"maps"
	"unique"

	"github.com/cometlock/cometlock/internal/fleet"
)

// maxSharedWeights bounds the sets of weights that are shared: a fleet holds two versions of some
// models, and the search takes time in proportion.
const maxSharedWeights = 16

// sharedValues holds the sets of weights of the servers that were decoded last.
type sharedValues struct{ weights []map[string]int }

// share replaces values of a server by equal ones of other servers. No server's weights are modified
// after they were decoded.
func (v *sharedValues) share(server *fleet.Server) {
	server.Service, server.Zone = unique.Make(server.Service).Value(), unique.Make(server.Zone).Value()
	for _, known := range v.weights {
		if maps.Equal(known, server.Weights) {
			server.Weights = known
			return
		}
	}
	if len(v.weights) == maxSharedWeights {
		v.weights = append(v.weights[:0], v.weights[1:]...)
	}
	v.weights = append(v.weights, server.Weights)
}
