package zonereader

import (
	"bytes"
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

// BenchmarkRequest measures what one request of a follower costs its reader, without the sockets:
// it decodes the request, collects the changes of 18 store boxes and two streams, a few of them
// with new parts, and encodes the response. docs/CAPACITY.md has the figure.
func BenchmarkRequest(b *testing.B) {
	const storeBoxes, newParts = 18, 12
	changed := &waiting.Signal{}
	parts := partindex.New(partindex.Config{Changed: changed})
	var services []catalog.Service
	for i := range storeBoxes {
		services = append(services, catalog.Service{Name: fmt.Sprint("store-", i), Store: &catalog.Store{Address: fmt.Sprint("10.0.0.", i, ":1"), CapacityTokens: 1_000_000}})
	}
	parts.Configure(services)
	next := request{Stores: map[string]partindex.Position{}}
	for i, service := range services {
		parts.Replace(service.Store.Address, partindex.Report{Epoch: 1, AsOf: time.Now(), ClockMillis: 1})
		next.Stores[service.Store.Address] = partindex.Position{Epoch: 1, Lists: 1}
		if i < newParts {
			key := partindex.Key{Namespace: "model/1", ID: fmt.Sprint("part-", i)}
			parts.Apply(service.Store.Address, partindex.Report{Epoch: 1, Next: 1, AsOf: time.Now(), ClockMillis: 1, Changes: []partindex.Change{{Key: key, Tokens: 1000}}})
		}
	}
	streams := registry.New(registry.Config{Log: fakesharedlog.New(), Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(), StreamsChanged: changed})
	reader := New(Config{Registry: streams, Parts: parts, Logger: zerolog.Nop(), StreamsChanged: changed})
	raw, err := msgpack.Marshal(&next)
	if err != nil {
		b.Fatal(err)
	}
	size := 0
	for b.Loop() {
		var decoded request
		if err := safepack.Unmarshal(raw, &decoded); err != nil {
			b.Fatal(err)
		}
		parts, release, err := reader.respond(context.Background(), decoded)
		release()
		if err != nil {
			b.Fatal(err)
		}
		size = len(bytes.Join(parts, nil))
	}
	b.ReportMetric(float64(len(raw)), "B/question")
	b.ReportMetric(float64(size), "B/answer")
}
