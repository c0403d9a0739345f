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

// longText returns a prompt of about 4,000 tokens.
func longText(name string) string { return name + strings.Repeat(" clause of the rulebook", 730) }

func fakeStores(fleet *testfleet.Fleet) []*fakestore.Store {
	return []*fakestore.Store{fleet.StandIns().Store("store-zone-a"), fleet.StandIns().Store("store-zone-b")}
}

// cacheCounts returns the cached tokens and wrong blocks of all engines.
func cacheCounts(fleet *testfleet.Fleet) (cached, wrong int) {
	for _, e := range engines(fleet) {
		cached += e.Ledger().CachedTokens
		wrong += e.Ledger().WrongBlocks
	}
	return cached, wrong
}

var _ = Describe("Stored context", func() {
	// The cache of an engine has room for one context, so that all others have to come from a store box.
	smallCaches := func(edit func(*config.File)) testfleet.Config {
		return testfleet.Config{
			Engine: fakeengine.Config{CacheBlocks: 20, PrefillTokensPerSecond: 100_000},
			EditConfig: func(file *config.File) {
				for i := range file.Models {
					file.Models[i].PrefillTokensPerSecond = 500
					file.Models[i].KVBytesPerToken = 1 << 10
				}
				if edit != nil {
					edit(file)
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
	storeContexts := func(fleet *testfleet.Fleet, contexts int) {
		GinkgoHelper()
		for i := range contexts {
			send(fleet, fmt.Sprint("context ", i))
			Eventually(func() int { return fleet.Box(0).State().Kept.Contexts }, "20s", "2ms").Should(Equal(i + 1))
		}
	}

	It("is fetched from a store box when the runners have evicted it", func() {
		fleet := start(smallCaches(nil))
		const contexts = 8
		storeContexts(fleet, contexts)
		before, _ := cacheCounts(fleet)
		for i := range contexts {
			send(fleet, fmt.Sprint("context ", i))
		}
		after, wrong := cacheCounts(fleet)
		// Some of it is computed again: cache events lag, so the box still treats a
		// context as cached for a moment after the runner has evicted it.
		Expect(after-before).To(BeNumerically(">=", contexts*4000/2), "most tokens are not computed again")
		Expect(fleet.Box(0).State().Kept.FetchedBlocks).To(BeNumerically(">", 0))
		Expect(wrong).To(BeZero())
	})

	It("that the store box lost, truncated or mixed up is a miss, and the response is correct", func() {
		for _, faults := range []fakestore.Faults{
			{Down: true}, {CorruptReads: true}, {TruncateWrites: true, SkipChecks: true}, {StaleNames: true, SkipChecks: true, CorruptReads: true},
		} {
			fleet := start(smallCaches(nil))
			if faults.TruncateWrites {
				for _, store := range fakeStores(fleet) {
					store.SetFaults(faults)
				}
			}
			storeContexts(fleet, 5)
			for _, store := range fakeStores(fleet) {
				store.SetFaults(faults)
			}
			for i := range 5 {
				send(fleet, fmt.Sprint("context ", i))
			}
			_, wrong := cacheCounts(fleet)
			Expect(wrong).To(BeZero(), "%+v", faults)
			fleet.Close()
		}
	})

	It("is not fetched over a link that is slower than prefill", func() {
		fleet := start(smallCaches(func(file *config.File) {
			for i := range file.Links {
				file.Links[i].BytesPerSecond = 400 << 20
			}
			for i := range file.Models {
				file.Models[i].PrefillTokensPerSecond = 1_000_000
				file.Models[i].KVBytesPerToken = 16 << 10
			}
		}))
		storeContexts(fleet, 4)
		for i := range 4 {
			send(fleet, fmt.Sprint("context ", i))
		}
		Expect(fleet.Box(0).State().Kept.Fetches).To(BeZero())
	})

	It("is evicted from a full store box in favour of newer context", func() {
		fleet := start(smallCaches(func(file *config.File) {
			for i := range file.BackendServers {
				if file.BackendServers[i].Role == config.RoleStoreBox {
					file.BackendServers[i].MemoryBytes = 40 * 128 // 40 blocks of the stand-in
				}
			}
		}))
		// The store boxes are already full of blocks that no entry box has recorded.
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
		for _, store := range fakeStores(fleet) {
			Expect(store.Blocks()).To(BeNumerically("<=", 41))
		}
		_, wrong := cacheCounts(fleet)
		Expect(wrong).To(BeZero())
	})
})
