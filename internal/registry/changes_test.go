package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// randomBatch returns a batch of records of some servers, as a read returns them.
func randomBatch(random *rand.Rand, servers int, next int64) batch {
	b := batch{next: next, uncompacted: true}
	for range random.IntN(20) {
		record := sharedlog.Record{Key: fmt.Sprint("server-", random.IntN(servers)), Offset: b.next}
		decoded := decodedRecord{record: record}
		if random.IntN(5) > 0 {
			decoded.record.Value = []byte("up")
			decoded.server = &fleet.Server{Incarnation: record.Key, Leaving: random.IntN(4) == 0}
		}
		b.records = append(b.records, decoded)
		b.next++
	}
	return b
}

// The index must find what a look at all entries finds, and visit no more than the changes. With
// 174 followers and 10,000 servers, the look at all entries took a quarter of a core of a reader.
func TestTheChangesSinceAnOffsetAreFoundWithoutALookAtAllEntries(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	s := newStreamState()
	s.next = 0
	for range 400 {
		s.apply(randomBatch(random, 3000, s.next), nil)
		from := s.next - int64(random.IntN(60))
		var scanned, found []string
		for key, known := range s.entries {
			if known.changed >= from {
				scanned = append(scanned, key)
			}
		}
		for known := range s.changedSince(change{offset: from}) {
			found = append(found, known.record.Key)
		}
		slices.Sort(scanned)
		slices.Sort(found)
		g.Expect(found).To(Equal(scanned))
		g.Expect(len(s.changes.from(change{offset: from}))).To(BeNumerically("<=", 60))
	}
	g.Expect(len(s.changes.changes)).To(BeNumerically("<=", 2*len(s.entries)+minRebuildChanges))
}
