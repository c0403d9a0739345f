package registry_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// history is a servers' stream that remembers what it said at each offset, and forgets its
// records at times.
type history struct {
	mu sync.Mutex
	// records holds all records ever, by offset; those before first are no longer kept.
	records []sharedlog.Record
	first   int64
}

func (h *history) put(server, value string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, sharedlog.Record{Key: server, Value: []byte(value), Offset: int64(len(h.records))})
}

func (h *history) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.first = int64(len(h.records))
}

// at gives what the stream said of a server before an offset.
func (h *history) at(server string, offset int64) string {
	for i := min(offset, int64(len(h.records))) - 1; i >= 0; i-- {
		if h.records[i].Key == server {
			return string(h.records[i].Value)
		}
	}
	return ""
}

func (h *history) end() int64 { return int64(len(h.records)) }

// lateLog is how one box reads the history: it answers late, so that words of other boxes
// pass its answers.
type lateLog struct {
	sharedlog.Log
	history *history
	random  *rand.Rand
}

// slowestAnswer is so long that some readings fail: one that finds its records forgotten waits
// five times for an answer, and has a second or less.
const slowestAnswer = 400 * time.Millisecond

func (l *lateLog) wait(ctx context.Context) { waiting.For(ctx, upTo(l.random, slowestAnswer)) }

// upTo gives a random time below a limit. Nothing happens twice at one moment, so that a
// seed gives the same history each time.
func upTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// Newest implements sharedlog.Log: two pages, which are no snapshot.
func (l *lateLog) Newest(ctx context.Context, _ sharedlog.Stream) (sharedlog.Page, error) {
	l.wait(ctx)
	end, records := l.history.newest(0, modelServers/2)
	page := sharedlog.Page{Records: records, Next: end, End: end}
	l.wait(ctx)
	_, records = l.history.newest(modelServers/2, modelServers)
	page.Records = append(page.Records, records...)
	l.wait(ctx)
	return page, ctx.Err()
}

// Read implements sharedlog.Log.
func (l *lateLog) Read(ctx context.Context, _ sharedlog.Stream, from int64, _ time.Duration) (sharedlog.Page, error) {
	l.wait(ctx)
	page, err := l.history.read(from)
	l.wait(ctx)
	return page, cmp.Or(err, ctx.Err())
}

// read gives the records from an offset on.
func (h *history) read(from int64) (sharedlog.Page, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if from < h.first {
		return sharedlog.Page{}, &sharedlog.RecordsExpiredError{First: h.first}
	}
	return sharedlog.Page{Records: slices.Clone(h.records[from:]), Next: h.end(), End: h.end()}, nil
}

// newest gives the end of the stream and the newest records of some servers.
func (h *history) newest(from, to int) (end int64, records []sharedlog.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := from; i < to; i++ {
		for offset := h.end() - 1; offset >= 0; offset-- {
			record := h.records[offset]
			if record.Key != modelServer(i) {
				continue
			}
			if len(record.Value) > 0 {
				records = append(records, record)
			}
			break
		}
	}
	return h.end(), records
}

const (
	modelServers = 6
	modelBoxes   = 4
	modelLength  = 30 * time.Second
)

func modelServer(i int) string { return fmt.Sprint("server-", i) }

// modelBox is a box that reads the stream or is told of it by another one.
type modelBox struct {
	stop     context.CancelFunc
	fleet    *fleet.Fleet
	registry *registry.Registry
}

// fleetModel is some boxes that read one stream and tell each other of it.
type fleetModel struct {
	log    *history
	seed   uint64
	random *rand.Rand
	lives  uint64
	mu     sync.Mutex
	boxes  []*modelBox
	wait   sync.WaitGroup
}

// newRandom gives each part of a life its own numbers, whatever the others do meanwhile.
func (m *fleetModel) newRandom() *rand.Rand {
	m.lives++
	return rand.New(rand.NewPCG(m.seed, m.lives))
}

// restart puts a box that knows nothing in the place of one.
func (m *fleetModel) restart(ctx context.Context, at int) {
	ctx, stop := context.WithCancel(ctx)
	b := &modelBox{stop: stop, fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()})}
	log := &lateLog{history: m.log, random: m.newRandom()}
	b.registry = registry.New(registry.Config{Log: log, Decoder: decoder{}, Fleet: b.fleet, Logger: zerolog.Nop()})
	m.mu.Lock()
	if m.boxes[at] != nil {
		m.boxes[at].stop()
	}
	m.boxes[at] = b
	m.mu.Unlock()
	random := m.newRandom()
	m.wait.Go(func() { b.registry.LoopServers(ctx) })
	m.wait.Go(func() { m.loopFollow(ctx, b, random) })
}

func (m *fleetModel) box(at int) *modelBox {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.boxes[at]
}

// loopFollow has a box follow one after another, and read itself at times.
func (m *fleetModel) loopFollow(ctx context.Context, b *modelBox, random *rand.Rand) {
	teller := b
	for ctx.Err() == nil {
		if other := m.box(random.IntN(modelBoxes)); other != nil && random.IntN(8) == 0 {
			teller = other // nil before it has started
		}
		if teller == b {
			b.registry.ReadDirectly()
			waiting.For(ctx, upTo(random, 900*time.Millisecond))
			continue
		}
		asked, from := time.Now(), b.registry.Position(sharedlog.Servers)
		waiting.For(ctx, upTo(random, 100*time.Millisecond))
		word, _ := teller.registry.UpdateSince(sharedlog.Servers, from)
		waiting.For(ctx, upTo(random, 300*time.Millisecond))
		if ctx.Err() == nil {
			b.registry.ApplyUpdate(word, asked)
		}
	}
}

// step changes something: a server, a box, or what the log keeps.
func (m *fleetModel) step(ctx context.Context) {
	server := modelServer(m.random.IntN(modelServers))
	switch m.random.IntN(12) {
	case 0:
		m.restart(ctx, m.random.IntN(modelBoxes))
	case 1:
		m.log.forget()
	case 2, 3, 4:
		m.log.put(server, "")
	case 5:
		m.log.put(server, "leaving")
	default:
		m.log.put(server, "ready")
	}
}

// uses reports whether a box hands calls to a server.
func (b *modelBox) uses(server string) bool {
	var others []string
	for i := range modelServers {
		if name := modelServer(i); name != server {
			others = append(others, name)
		}
	}
	hold := b.fleet.Choose(fleet.Query{Service: "s", Exclude: others})
	if hold == nil {
		return false
	}
	hold.Done(fleet.EndServed)
	return true
}

// check gives what a box believes otherwise than the stream has ever said since the offset
// up to which the box knows it; empty when there is nothing.
func (m *fleetModel) check(b *modelBox) string {
	next := b.registry.Position(sharedlog.Servers)
	if next < 0 {
		return ""
	}
	for i := range modelServers {
		server := modelServer(i)
		uses, said := b.uses(server), map[bool]bool{}
		for offset := next; offset <= m.log.end(); offset++ {
			said[m.log.at(server, offset) == "ready"] = true
		}
		if !said[uses] {
			return fmt.Sprintf("a box knows the stream up to %d of %d and uses %s: %v", next, m.log.end(), server, uses)
		}
	}
	return ""
}

// play runs a random history and gives the first wrong belief.
func playHistory(t *testing.T, seed uint64) (wrong string) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m := &fleetModel{log: &history{}, seed: seed, boxes: make([]*modelBox, modelBoxes)}
		m.random = m.newRandom()
		for i := range modelBoxes {
			m.restart(ctx, i)
		}
		for end := time.Now().Add(modelLength); time.Now().Before(end) && wrong == ""; {
			time.Sleep(upTo(m.random, 400*time.Millisecond))
			synctest.Wait()
			for i := range modelBoxes {
				if found := m.check(m.box(i)); found != "" && wrong == "" {
					wrong = fmt.Sprintf("%s, after %v", found, modelLength-time.Until(end))
				}
			}
			m.step(ctx)
		}
		cancel()
		m.wait.Wait()
	})
	return wrong
}

// Boxes that read the servers' stream themselves, are told of it by one another, start, and
// change whom they follow, at random and with late answers, once came to believe in servers
// that had gone: a box that has just started reads the newest record of each server, which
// does not name those that are gone, and told others that nothing but its own records had
// been added since what they knew. Whatever happens, a box that knows the stream up to an
// offset uses the servers that the stream said to be ready there or later, and no others.
func TestABoxBelievesWhatTheStreamSaid(t *testing.T) {
	for seed := range uint64(60) {
		if wrong := playHistory(t, seed); wrong != "" {
			t.Errorf("seed %d: %s", seed, wrong)
		}
	}
}
