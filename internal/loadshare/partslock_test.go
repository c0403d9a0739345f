package loadshare

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
)

// A box stopped for good when it composed a report while it looked for parts to free: the index of parts
// asks for the states of the other boxes while it holds its lock, and the report took samples from the index
// while it held theirs.
func TestAReportDuringTheChoiceOfPartsToFreeBlocksNeither(t *testing.T) {
	g := NewWithT(t)
	const address = "10.0.0.1:1"
	parts := partindex.New(partindex.Config{})
	parts.Configure([]catalog.Service{{Name: "store", Store: &catalog.Store{Address: address}}})
	parts.Replace(address, partindex.Report{Epoch: 1, AsOf: time.Now(), Changes: []partindex.Change{{Key: partindex.Key{Namespace: "m/1", ID: "p"}, Tokens: 1}}})
	s := New(Config{
		Box: "a", Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(), Parts: parts,
		NamedVersions: func() map[string][]registry.PeerWeights { return nil }, NeedsSnapshot: func() bool { return false },
	})
	s.links["b"] = &peerLink{}
	composed, chosen := make(chan struct{}), make(chan struct{})
	mayFree := func(partindex.Key) bool {
		go func() {
			defer close(composed)
			s.compose("b")
		}()
		for range 50 { // while the report waits for the index
			s.Peers()
			time.Sleep(5 * time.Millisecond)
		}
		return true
	}
	go func() {
		defer close(chosen)
		parts.Freeable(address, mayFree, 1)
	}()
	g.Eventually(chosen, "10s").Should(BeClosed())
	g.Eventually(composed, "10s").Should(BeClosed())
}
