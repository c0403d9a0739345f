package zonereader

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/safepack"
)

func TestPackedUpdateRoundTrip(t *testing.T) {
	updates := []partindex.StoreUpdate{
		{Address: "a"},
		{Address: "a", Position: partindex.Position{Epoch: 1, Next: 2, Lists: 3}, Full: true, Listed: true, Age: time.Second, Parts: []partindex.Part{
			{Namespace: "m/1", ID: "x", Tokens: 5}, {Namespace: "m/2", ID: "y"}, {Namespace: "m/1", ID: "z", Tokens: 7},
		}, Unfinished: []partindex.Part{{Namespace: "m/3", ID: "u", Tokens: 9}}},
	}
	for _, update := range updates {
		g := NewWithT(t)
		raw, err := msgpack.Marshal(pack(update))
		g.Expect(err).NotTo(HaveOccurred())
		var packed packedUpdate
		g.Expect(safepack.Unmarshal(raw, &packed)).To(Succeed())
		got, err := packed.unpack()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Parts).To(HaveLen(len(update.Parts)))
		for i, part := range update.Parts {
			g.Expect(got.Parts[i]).To(Equal(part))
		}
		got.Parts, update.Parts = nil, nil
		g.Expect(len(got.Unfinished)).To(Equal(len(update.Unfinished)))
		got.Unfinished, update.Unfinished = nil, nil
		g.Expect(got).To(Equal(update))
	}
}

func FuzzUnpack(f *testing.F) {
	raw, err := msgpack.Marshal(pack(partindex.StoreUpdate{Parts: []partindex.Part{{Namespace: "m/1", ID: "x", Tokens: 5}}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var packed packedUpdate
		if safepack.Unmarshal(raw, &packed) == nil {
			_, _ = packed.unpack() // must not panic
		}
	})
}

// After a power failure all boxes of a zone request all parts of the store boxes from their reader.
// When each of 50 boxes got them in one response of 400 KB, many did not receive it in time and
// left the reader, which used 105 MB of memory.
func TestAllPartsAreSentInSeveralResponses(t *testing.T) {
	g := NewWithT(t)
	const stores, partsEach = 40, 300
	parts, followerParts := partindex.New(partindex.Config{}), partindex.New(partindex.Config{})
	services := make([]catalog.Service, stores)
	for i := range services {
		services[i] = catalog.Service{Name: fmt.Sprint("store-", i), Store: &catalog.Store{Address: fmt.Sprint("10.0.0.", i, ":1"), CapacityTokens: 1 << 30}}
	}
	parts.Configure(services)
	followerParts.Configure(services)
	for _, service := range services {
		report := partindex.Report{Epoch: 1, ClockMillis: 1, AsOf: time.Now()}
		for part := range partsEach {
			report.Changes = append(report.Changes, partindex.Change{Key: partindex.Key{Namespace: "m/1", ID: fmt.Sprintf("%012x", part)}, Tokens: 5000})
		}
		parts.Replace(service.Store.Address, report)
	}
	streams := registry.New(registry.Config{Log: fakesharedlog.New(), Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop()})
	reader := New(Config{Registry: streams, Parts: parts, Logger: zerolog.Nop()})
	follower := New(Config{Registry: streams, Parts: followerParts, Logger: zerolog.Nop()})
	responses := 0
	for unknown := true; unknown; responses++ {
		next := follower.newRequest(newSession(nil, role{}))
		if unknown = next.hasUnknownStore(); !unknown {
			break
		}
		sent, _, changed := reader.collect(*next, true)
		g.Expect(changed).To(BeTrue())
		raw, err := msgpack.Marshal(&sent)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(raw)).To(BeNumerically("<", 60<<10))
		for _, packed := range sent.Stores {
			update, err := packed.unpack()
			g.Expect(err).NotTo(HaveOccurred())
			followerParts.ApplyUpdate(update, time.Now())
			g.Expect(followerParts.PollPaused(update.Address)).To(BeTrue(), "the follower waits for the rest")
		}
	}
	g.Expect(responses).To(BeNumerically("~", stores*partsEach/maxPartsPerResponse, 2))
	for _, state := range followerParts.State() {
		g.Expect(state.Parts).To(Equal(partsEach))
	}
}
