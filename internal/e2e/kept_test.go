package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/fakestore"
	"github.com/cometlock/cometlock/internal/prefix"
	"github.com/cometlock/cometlock/internal/storebox"
	"github.com/cometlock/cometlock/internal/testfleet"
)

// longText is a context of about 4,000 tokens.
func longText(name string) string { return name + strings.Repeat(" clause of the rulebook", 730) }

func storeBoxes(fleet *testfleet.Fleet) []*fakestore.Store {
	return []*fakestore.Store{fleet.StandIns().Store("store-zone-a"), fleet.StandIns().Store("store-zone-b")}
}

func ledgers(fleet *testfleet.Fleet) (cached, wrong int) {
	for _, e := range engines(fleet) {
		cached += e.Ledger().CachedTokens
		wrong += e.Ledger().WrongBlocks
	}
	return cached, wrong
}

var _ = Describe("Kept context", func() {
	// Engines hold one context each, so that every other must come from a store.
	smallCaches := func(change func(*config.File)) testfleet.Config {
		return testfleet.Config{
			Engine: fakeengine.Config{CacheBlocks: 20, PrefillTokensPerSecond: 100_000},
			EditConfig: func(file *config.File) {
				for i := range file.Models {
					file.Models[i].PrefillTokensPerSecond = 500
					file.Models[i].KVBytesPerToken = 1 << 10
				}
				if change != nil {
					change(file)
				}
			},
		}
	}
	send := func(fleet *testfleet.Fleet, name string) {
		GinkgoHelper()
		answer := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat(longText(name), 2, true)})
		Expect(answer.Status).To(Equal(http.StatusOK))
		Expect(streamText(answer.Body)).To(Equal(wantText(longText(name), 2)))
	}
	keep := func(fleet *testfleet.Fleet, contexts int) {
		GinkgoHelper()
		for i := range contexts {
			send(fleet, fmt.Sprint("context ", i))
			Eventually(func() int { return fleet.Box(0).State().Kept.Contexts }, "20s", "2ms").Should(Equal(i + 1))
		}
	}

	It("comes back from a store box when the runners have forgotten it", func() {
		fleet := start(smallCaches(nil))
		const contexts = 8
		keep(fleet, contexts)
		before, _ := ledgers(fleet)
		for i := range contexts {
			send(fleet, fmt.Sprint("context ", i))
		}
		after, wrong := ledgers(fleet)
		// Not all of it: cache events lag, so the box takes a context for warm for
		// a moment after the runner has dropped it.
		Expect(after-before).To(BeNumerically(">=", contexts*4000/2), "most of it is not computed again")
		Expect(fleet.Box(0).State().Kept.FetchedBlocks).To(BeNumerically(">", 0))
		Expect(wrong).To(BeZero())
	})

	It("that the store box lost, tore or mixed up is a miss, and the answer is right", func() {
		for _, faults := range []fakestore.Faults{
			{Down: true}, {CorruptReads: true}, {TruncateWrites: true, SkipChecks: true}, {StaleNames: true, SkipChecks: true, CorruptReads: true},
		} {
			fleet := start(smallCaches(nil))
			if faults.TruncateWrites {
				for _, store := range storeBoxes(fleet) {
					store.SetFaults(faults)
				}
			}
			keep(fleet, 5)
			for _, store := range storeBoxes(fleet) {
				store.SetFaults(faults)
			}
			for i := range 5 {
				send(fleet, fmt.Sprint("context ", i))
			}
			_, wrong := ledgers(fleet)
			Expect(wrong).To(BeZero(), "%+v", faults)
			fleet.Close()
		}
	})

	It("is not fetched over a link that is slower than computing", func() {
		fleet := start(smallCaches(func(file *config.File) {
			for i := range file.Links {
				file.Links[i].BytesPerSecond = 400 << 20
			}
			for i := range file.Models {
				file.Models[i].PrefillTokensPerSecond = 1_000_000
				file.Models[i].KVBytesPerToken = 16 << 10
			}
		}))
		keep(fleet, 4)
		for i := range 4 {
			send(fleet, fmt.Sprint("context ", i))
		}
		Expect(fleet.Box(0).State().Kept.Fetches).To(BeZero())
	})

	It("in a full store box makes room for newer", func() {
		fleet := start(smallCaches(func(file *config.File) {
			for i := range file.BackendServers {
				if file.BackendServers[i].Role == config.RoleStoreBox {
					file.BackendServers[i].MemoryBytes = 40 * 128 // blocks of the stand-in
				}
			}
		}))
		// Blocks that no entry box knows of fill the store boxes from the start.
		client := storebox.NewClient(storebox.ClientConfig{})
		for _, server := range fleet.StandIns().File().BackendServers {
			for i := 0; server.Role == config.RoleStoreBox && i < 40; i++ {
				key := prefix.NewChain(prefix.NewSalt("gone", "m", fmt.Sprint(i)), make([]byte, prefix.BlockBytes)).Keys()[0]
				Expect(client.Put(context.Background(), server.Address, key, make([]byte, 128))).To(Succeed())
			}
		}
		for i := range 20 {
			send(fleet, fmt.Sprint("context ", i))
		}
		Eventually(func() int { return fleet.Box(0).State().Kept.Contexts }, "20s").Should(BeNumerically(">", 0))
		Eventually(func() int64 { return fleet.Box(0).State().Kept.Exports }, "20s").Should(BeNumerically(">=", 15))
		for _, store := range storeBoxes(fleet) {
			Expect(store.Blocks()).To(BeNumerically("<=", 41))
		}
		_, wrong := ledgers(fleet)
		Expect(wrong).To(BeZero())
	})
})
