package zonereader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/safepack"
	"github.com/cometlock/cometlock/internal/waiting"
)

// BenchmarkQuestion is what one question of a follower costs its reader, without the
// sockets: it is decoded, 18 store boxes and two streams are looked at, a few parts are
// news, and the answer is encoded. docs/CAPACITY.md has the figure.
func BenchmarkQuestion(b *testing.B) {
	const storeBoxes, newParts = 18, 12
	news := &waiting.Signal{}
	parts := partindex.New(partindex.Config{News: news})
	var services []catalog.Service
	for i := range storeBoxes {
		services = append(services, catalog.Service{Name: fmt.Sprint("store-", i), Store: &catalog.Store{Address: fmt.Sprint("10.0.0.", i, ":1"), CapacityTokens: 1_000_000}})
	}
	parts.Configure(services)
	asked := question{Stores: map[string]partindex.Position{}}
	for i, service := range services {
		parts.Replace(service.Store.Address, partindex.Report{Epoch: 1, AsOf: time.Now(), ClockMillis: 1})
		asked.Stores[service.Store.Address] = partindex.Position{Epoch: 1, Lists: 1}
		if i < newParts {
			key := partindex.Key{Namespace: "model/1", ID: fmt.Sprint("part-", i)}
			parts.Apply(service.Store.Address, partindex.Report{Epoch: 1, Next: 1, AsOf: time.Now(), ClockMillis: 1, Changes: []partindex.Change{{Key: key, Tokens: 1000}}})
		}
	}
	known := registry.New(registry.Config{Log: fakesharedlog.New(), Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(), News: news})
	z := New(Config{Registry: known, Parts: parts, Logger: zerolog.Nop(), News: news})
	raw, err := msgpack.Marshal(&asked)
	if err != nil {
		b.Fatal(err)
	}
	size := 0
	for b.Loop() {
		var decoded question
		if err := safepack.Unmarshal(raw, &decoded); err != nil {
			b.Fatal(err)
		}
		told := z.answer(context.Background(), decoded)
		encoded, err := msgpack.Marshal(&told)
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(len(raw)), "B/question")
	b.ReportMetric(float64(size), "B/answer")
}
