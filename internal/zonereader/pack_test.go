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

func TestAWordIsTheSameAfterItWasPacked(t *testing.T) {
	words := []partindex.StoreUpdate{
		{Address: "a"},
		{Address: "a", Position: partindex.Position{Epoch: 1, Next: 2, Lists: 3}, Full: true, Listed: true, Age: time.Second, Parts: []partindex.Part{
			{Namespace: "m/1", ID: "x", Tokens: 5}, {Namespace: "m/2", ID: "y"}, {Namespace: "m/1", ID: "z", Tokens: 7},
		}, Unfinished: []partindex.Part{{Namespace: "m/3", ID: "u", Tokens: 9}}},
	}
	for _, word := range words {
		g := NewWithT(t)
		raw, err := msgpack.Marshal(pack(word))
		g.Expect(err).NotTo(HaveOccurred())
		var packed packedWord
		g.Expect(safepack.Unmarshal(raw, &packed)).To(Succeed())
		got, err := packed.unpack()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Parts).To(HaveLen(len(word.Parts)))
		for i, part := range word.Parts {
			g.Expect(got.Parts[i]).To(Equal(part))
		}
		got.Parts, word.Parts = nil, nil
		g.Expect(len(got.Unfinished)).To(Equal(len(word.Unfinished)))
		got.Unfinished, word.Unfinished = nil, nil
		g.Expect(got).To(Equal(word))
	}
}

func FuzzUnpack(f *testing.F) {
	raw, err := msgpack.Marshal(pack(partindex.StoreUpdate{Parts: []partindex.Part{{Namespace: "m/1", ID: "x", Tokens: 5}}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var packed packedWord
		if safepack.Unmarshal(raw, &packed) == nil {
			_, _ = packed.unpack() // it must not panic
		}
	})
}

// After a power failure all boxes of a zone ask their reader for all that the store boxes
// keep. When that came in one answer of 400 KB to each of 50 boxes, many of them did not get
// it in time and left the reader, and it used 105 MB of memory.
func TestAllThatIsKeptComesInSeveralAnswers(t *testing.T) {
	g := NewWithT(t)
	const stores, partsEach = 40, 300
	parts, follower := partindex.New(partindex.Config{}), partindex.New(partindex.Config{})
	services := make([]catalog.Service, stores)
	for i := range services {
		services[i] = catalog.Service{Name: fmt.Sprint("store-", i), Store: &catalog.Store{Address: fmt.Sprint("10.0.0.", i, ":1"), CapacityTokens: 1 << 30}}
	}
	parts.Configure(services)
	follower.Configure(services)
	for _, service := range services {
		report := partindex.Report{Epoch: 1, ClockMillis: 1, AsOf: time.Now()}
		for part := range partsEach {
			report.Changes = append(report.Changes, partindex.Change{Key: partindex.Key{Namespace: "m/1", ID: fmt.Sprintf("%012x", part)}, Tokens: 5000})
		}
		parts.Replace(service.Store.Address, report)
	}
	known := registry.New(registry.Config{Log: fakesharedlog.New(), Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop()})
	teller := New(Config{Registry: known, Parts: parts, Logger: zerolog.Nop()})
	asker := New(Config{Registry: known, Parts: follower, Logger: zerolog.Nop()})
	answers := 0
	for lacks := true; lacks; answers++ {
		asked := asker.question(map[string]int{})
		if lacks = asked.lacksStores(); !lacks {
			break
		}
		told, _, news := teller.look(*asked)
		g.Expect(news).To(BeTrue())
		raw, err := msgpack.Marshal(&told)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(raw)).To(BeNumerically("<", 60<<10))
		for _, packed := range told.Stores {
			word, err := packed.unpack()
			g.Expect(err).NotTo(HaveOccurred())
			follower.ApplyUpdate(word, time.Now())
			g.Expect(follower.PollPaused(word.Address)).To(BeTrue(), "whatever comes later is waited for")
		}
	}
	g.Expect(answers).To(BeNumerically("~", stores*partsEach/mostParts, 2))
	for _, state := range follower.State() {
		g.Expect(state.Parts).To(Equal(partsEach))
	}
}
