package loadshare

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/sharedlog"
)

// A box that asked for candidates between two records of the list, the first of which removed a box,
// crashed and cut all of its calls.
func TestABoxThatHasLeftTheListIsACandidate(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{Box: "a", Zone: "z"})
	entry, err := msgpack.Marshal(announcement{Address: "127.0.0.1:1", Zone: "z"})
	g.Expect(err).NotTo(HaveOccurred())
	s.ApplyBoxRecords([]sharedlog.Record{{Key: "b", Value: entry}})
	g.Expect(s.Candidates()).To(HaveLen(1))
	s.applyRecord(sharedlog.Record{Key: "b"})
	g.Expect(s.Candidates()).To(BeEmpty())
}
