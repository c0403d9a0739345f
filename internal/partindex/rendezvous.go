// Weighted rendezvous hashing: adding or removing a store box moves only the parts assigned to
// it.

package partindex

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// rendezvous returns the score of a store box for a part. The highest score wins, and store boxes
// win in proportion to their weights.
func rendezvous(name string, key Key, weight float64) float64 {
	h := xxhash.New()
	for _, text := range [...]string{name, "\x00", key.Namespace, "\x00", key.ID} {
		_, _ = h.WriteString(text) // a hash never returns an error
	}
	unit := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}
