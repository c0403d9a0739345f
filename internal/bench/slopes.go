package bench

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/capacity"
	"github.com/cometlock/cometlock/internal/claim"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/decide"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/peer"
	"github.com/cometlock/cometlock/internal/prefix"
	"github.com/cometlock/cometlock/internal/review"
	"github.com/cometlock/cometlock/internal/zone"
)

// Sizes at which the slopes are taken.
const (
	manyOrganisations = 10_000
	zoneRunners       = 82
	zoneContexts      = 65_000
	contextBlocks     = 40
	sharedBlocks      = 12
	manyKeys          = 20_000
	slopesFile        = "internal/capacity/slopes.json"
)

// slope is one measured figure on its way into capacity.Slopes.
type slope struct {
	name  string
	unit  string
	value float64
	field *float64
}

// printSlopes measures all slopes, prints them, and keeps them for
// `cometlock capacity` when run in the repository.
func printSlopes(out io.Writer) error {
	var slopes capacity.Slopes
	var rows []slope
	rows = append(rows, configSlopes(&slopes)...)
	rows = append(rows, zoneSlopes(&slopes)...)
	rows = append(rows, recordSlopes(&slopes)...)
	for _, row := range rows {
		if row.field != nil {
			*row.field = row.value
		}
		fmt.Fprintf(out, "  %-62s %12.1f %s\n", row.name, row.value, row.unit)
	}
	if checkRepository() != nil {
		return nil
	}
	data, err := json.MarshalIndent(slopes, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(slopesFile, append(data, '\n'), 0o644)
}

// nanosOf times a function.
func nanosPerCall(work func()) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			work()
		}
	})
	return float64(result.NsPerOp())
}

// heapOf gives the heap that what a function makes takes.
func heapBytes(build func() any) float64 {
	before := settledMemory()
	kept := build()
	after := settledMemory()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// bigFile is a configuration with many organisations.
func largeConfig(organisations, runners int) *config.File {
	file := &config.File{
		Deployment: "bench", Objectives: config.Objectives{FirstTokenWeight: 1, RecomputeWeight: 1},
		Models: []config.Model{{Name: "m", Weights: "v1", PrefillTokensPerSecond: 8000}},
	}
	for i := range organisations {
		file.Organisations = append(file.Organisations, config.Organisation{
			Name: fmt.Sprintf("organisation-%05d", i), KeyHashes: []string{keyHash(i)},
			Share: 1, MaxInFlight: 128, Priority: config.PriorityNormal,
		})
	}
	for i := range runners {
		file.BackendServers = append(file.BackendServers, config.BackendServer{
			Name: fmt.Sprintf("runner-%03d", i), Zone: "a", Role: config.RoleRunner, Models: []string{"m"}, Slots: 16, Address: fmt.Sprintf("10.0.0.1:%d", i),
		})
	}
	return file
}

// keyHash is the hash of a made-up key; real ones do not pack either.
func keyHash(i int) string {
	sum := sha256.Sum256(fmt.Append(nil, "key ", i))
	return hex.EncodeToString(sum[:])
}

func mustEntries(file *config.File) config.Entries {
	entries, err := file.Entries()
	if err != nil {
		panic(err) // the bench's own file
	}
	return entries
}

func mustSnapshot(entries config.Entries) *config.Snapshot {
	snapshot, err := config.NewSnapshot(0, entries)
	if err != nil {
		panic(err) // the bench's own file
	}
	return snapshot
}

func encodedSize(record configlog.Record) float64 {
	data, err := record.Encode()
	if err != nil {
		return 0
	}
	return float64(len(data))
}

func configSlopes(s *capacity.Slopes) []slope {
	entries := mustEntries(largeConfig(manyOrganisations, 0))
	state := configlog.State{Version: 0, ReadTo: 0, Digest: entries.Digest(), Entries: entries}
	memory := heapBytes(func() any {
		own := mustEntries(largeConfig(manyOrganisations, 0))
		return []any{own, mustSnapshot(own)}
	})
	changed := config.Change{Set: []config.Entry{{Name: entries[500].Name, Value: bytes.Replace(entries[500].Value, []byte(`"share":1`), []byte(`"share":2`), 1)}}}
	record := configlog.Record{Kind: configlog.KindChange, ApplyID: uuid.NewString(), BaseVersion: 0, Change: changed, Digest: entries.Apply(changed).Digest()}
	data, err := record.Encode()
	if err != nil {
		return nil
	}
	fold := nanosPerCall(func() {
		next, _ := configlog.Fold(state, 1, data)
		mustSnapshot(next.Entries)
	})
	return []slope{
		{"memory of an organisation, entries and index", "bytes", memory / manyOrganisations, &s.OrganisationBytes},
		{"an organisation in a packed checkpoint", "bytes", encodedSize(state.Checkpoint()) / manyOrganisations, &s.OrganisationLogBytes},
		{"a change of one organisation in the log", "bytes", float64(len(data)), &s.ChangeBytes},
		{"fold and index of a change at 10,000 organisations", "ns", fold, &s.ChangeNanos},
		{"the same, an entry", "ns", fold / manyOrganisations, &s.ChangeNanosPerEntry},
	}
}

// knowledge knows a zone with many contexts.
func populatedView(runners, contexts int) *zone.View {
	k := zone.New(zone.Config{Zone: "a"})
	k.Configure(mustSnapshot(mustEntries(largeConfig(1, runners))))
	for i := range contexts {
		name := fmt.Sprintf("runner-%03d", i%runners)
		chain := benchChain(i)
		events := engine.CacheEvents{Incarnation: "i", Last: k.EventCursor(name)}
		for depth, key := range chain.Keys() {
			events.Last++
			events.Events = append(events.Events, engine.CacheEvent{Sequence: events.Last, Kind: engine.BlockStored, Key: key, Depth: depth + 1})
		}
		k.ApplyCacheEvents(name, events)
	}
	return k
}

// benchChain is a context whose beginning an organisation's contexts share.
func benchChain(i int) prefix.Chain {
	prompt := make([]byte, contextBlocks*prefix.BlockBytes)
	copy(prompt, fmt.Sprint("organisation ", i%100))
	copy(prompt[sharedBlocks*prefix.BlockBytes:], fmt.Sprint("context ", i))
	return prefix.NewChain(prefix.NewSalt("o", "m", "v1"), prompt)
}

func decisionNanos(k *zone.View) float64 {
	policy := decide.TwoHomes{IdleWait: decide.DefaultIdleWait, RecomputeFactor: decide.DefaultRecomputeFactor}
	chain := benchChain(7)
	return nanosPerCall(func() {
		if choice, ok := zone.Choose(k, policy, zone.Query{Model: "m", Weights: "v1", Chain: chain}); ok {
			choice.Handle.Done(true)
		}
	})
}

func zoneSlopes(s *capacity.Slopes) []slope {
	var big *zone.View
	memory := heapBytes(func() any {
		big = populatedView(zoneRunners, zoneContexts)
		return big
	})
	few, some := decisionNanos(populatedView(10, 1000)), decisionNanos(populatedView(100, 1000))
	chain := benchChain(zoneContexts + 1)
	index := zone.NewIndex()
	fold := nanosPerCall(func() {
		for depth, key := range chain.Keys() {
			index.ApplyEvent(3, engine.CacheEvent{Kind: engine.BlockStored, Key: key, Depth: depth + 1})
			index.ApplyEvent(3, engine.CacheEvent{Kind: engine.BlockRemoved, Key: key, Depth: depth + 1})
		}
	}) / float64(2*len(chain.Keys()))
	report, event := wireSizes()
	status := engine.Status{Incarnation: uuid.NewString(), Weights: []engine.LoadedWeights{{Model: "m", Version: "v1"}}}
	data, err := json.Marshal(status)
	if err != nil {
		return nil
	}
	reportNanos := nanosPerCall(func() {
		var read engine.Status
		if json.Unmarshal(data, &read) == nil {
			big.ApplyStatus("runner-001", read)
		}
	})
	return []slope{
		{"decision at 10 runners and 1,000 contexts", "ns", few, nil},
		{"decision at 100 runners and 1,000 contexts", "ns", some, nil},
		{"decision at 82 runners and 65,000 contexts", "ns", decisionNanos(big), &s.DecisionNanos},
		{"decision, one more runner", "ns", (some - few) / 90, &s.DecisionNanosPerRunner},
		{"memory of a known context of 40 blocks, 12 of them shared", "bytes", memory / zoneContexts, &s.ContextBytes},
		{"fold of a cache event", "ns", fold, &s.EventNanos},
		{"events folded a second on one core", "million", 1e3 / fold, nil},
		{"reading and folding a load report", "ns", reportNanos, &s.ReportNanos},
		{"a load report on the wire, with HTTP", "bytes", report, &s.ReportBytes},
		{"a cache event on the wire", "bytes", event, &s.EventBytes},
	}
}

// httpOverhead is the rough length of the headers of a small call, both ways.
const httpOverhead = 350

func wireSizes() (report, event float64) {
	status, err := json.Marshal(engine.Status{Incarnation: uuid.NewString(), Sequence: 1_000_000, Running: 16, QueuedTokens: 100_000, Weights: []engine.LoadedWeights{{Model: "scene-review", Version: "v1"}}})
	if err != nil {
		return 0, 0
	}
	one, err := json.Marshal(engine.CacheEvent{Sequence: 1_000_000, Kind: engine.BlockRemoved, Depth: 40})
	if err != nil {
		return 0, 0
	}
	return float64(len(status)) + httpOverhead, float64(len(one)) + 1
}

func recordSlopes(s *capacity.Slopes) []slope {
	message := peer.Message{Status: peer.Status{Box: "entry-box-123", Zone: "oslo-a", Incarnation: uuid.NewString(), Version: 123_456}}
	data, err := msgpack.Marshal(&message)
	if err != nil {
		return nil
	}
	exchange := nanosPerCall(func() {
		var read peer.Message
		if packed, err := msgpack.Marshal(&message); err == nil {
			_ = msgpack.Unmarshal(packed, &read)
		}
	})
	return []slope{
		{"a status between boxes on the wire", "bytes", float64(len(data)) + 4, &s.StatusBytes},
		{"writing and reading it", "ns", exchange, &s.StatusNanos},
		{"memory of an open claim", "bytes", claim.MemoryPerKey(manyKeys, time.Now()), &s.ClaimBytes},
		{"a claim in the log, in a batch of 50", "bytes", claim.LogBytesPerClaim(50), &s.ClaimLogBytes},
		{"memory of a waiting review", "bytes", review.MemoryPerReview(manyKeys), &s.ReviewBytes},
	}
}
