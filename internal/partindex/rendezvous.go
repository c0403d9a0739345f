// Weighted rendezvous hashing: a store box that comes or goes moves only the parts
// that are its own.

package partindex

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// rendezvous gives a store box's score for a part: the highest wins, and store
// boxes win in proportion to their weights.
func rendezvous(name string, key Key, weight float64) float64 {
	h := xxhash.New()
	for _, text := range [...]string{name, "\x00", key.Namespace, "\x00", key.ID} {
		_, _ = h.WriteString(text) // a hash takes everything
	}
	unit := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}
