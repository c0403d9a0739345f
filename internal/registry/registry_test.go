package registry_test

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/evacuation"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// decoder decodes the length of a value as a version, and rejects "bad".
type decoder struct{}

func (decoder) Declaration(record sharedlog.Record) (*registry.Declaration, error) {
	switch {
	case string(record.Value) == "bad":
		return nil, errors.New("cannot be decoded")
	case strings.HasPrefix(record.Key, "evacuate/"):
		return nil, nil
	case record.Key == "config":
		c, err := catalog.New(catalog.Config{Version: int64(len(record.Value))})
		return &registry.Declaration{Catalog: c}, err
	default:
		return &registry.Declaration{Weights: &registry.WeightsDeclaration{Model: record.Key, Version: len(record.Value)}}, nil
	}
}

// Rank returns the version of a declaration, and of a server what follows "#" in its value.
func (decoder) Rank(stream sharedlog.Stream, record sharedlog.Record) (registry.Rank, bool) {
	if stream == sharedlog.Operator {
		return registry.Rank{Major: int64(len(record.Value))}, !strings.HasPrefix(record.Key, "evacuate/") && len(record.Value) > 0
	}
	_, sequence, found := strings.Cut(string(record.Value), "#")
	minor, err := strconv.ParseInt(sequence, 10, 64)
	return registry.Rank{Minor: minor}, found && err == nil
}

func (decoder) Evacuation(record sharedlog.Record) (evacuation.Change, bool) {
	zone, found := strings.CutPrefix(record.Key, "evacuate/")
	return evacuation.Change{Zone: zone, Evacuate: len(record.Value) > 0, Offset: record.Offset}, found
}

func (decoder) Server(record sharedlog.Record) (fleet.Update, error) {
	update := fleet.Update{Key: record.Key, Offset: record.Offset}
	if len(record.Value) > 0 {
		update.Server = &fleet.Server{Incarnation: record.Key, Service: serviceOf(record.Key), Leaving: strings.HasPrefix(string(record.Value), "leaving")}
	}
	return update, nil
}

// serviceOf returns the service of a server.
func serviceOf(key string) string {
	if key == "server of another service" {
		return "other"
	}
	return "s"
}

type testBox struct {
	log      *fakesharedlog.Log
	fleet    *fleet.Fleet
	registry *registry.Registry
}

func start(ctx context.Context, prepare func(*fakesharedlog.Log)) *testBox {
	b := &testBox{log: fakesharedlog.New(), fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()})}
	b.registry = registry.New(registry.Config{Log: b.log, Decoder: decoder{}, Fleet: b.fleet, Logger: zerolog.Nop(), ServerHeartbeat: time.Second})
	if prepare != nil {
		prepare(b.log)
	}
	go b.registry.LoopOperator(ctx)
	go b.registry.LoopServers(ctx)
	return b
}

// inBubble runs a test with fake time on a started box.
func inBubble(t *testing.T, test func(g *WithT, b *testBox)) {
	t.Helper()
	inBubbleAfter(t, nil, test)
}

// inBubbleAfter does the same after preparing the log.
func inBubbleAfter(t *testing.T, prepare func(*fakesharedlog.Log), test func(g *WithT, b *testBox)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		test(NewWithT(t), start(ctx, prepare))
	})
}

func (b *testBox) version() int64 {
	if c := b.registry.Catalog(); c != nil {
		return c.Version()
	}
	return 0
}

func (b *testBox) hasServer() bool { return b.fleet.Choose(fleet.Query{Service: "s"}) != nil }

func TestNewestConfigurationTakesEffectAtOnceAndNeverReverts(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		g.Expect(b.version()).To(BeZero())
		steps := []struct {
			value string
			want  int64
		}{{"v", 1}, {"vvv", 3}, {"vv", 3}, {"bad", 3}, {"vvvv", 4}}
		for _, step := range steps {
			b.log.Put(sharedlog.Operator, "config", []byte(step.value))
			time.Sleep(10 * time.Millisecond)
			g.Expect(b.version()).To(Equal(step.want))
		}
	})
}

func TestOutageKeepsConfigurationAndServers(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		b.log.Put(sharedlog.Operator, "config", []byte("v"))
		b.log.Put(sharedlog.Servers, "server", []byte("ready"))
		time.Sleep(time.Second)
		b.log.Underlying().SetFaults(fakelog.Faults{Down: true})
		time.Sleep(time.Minute)
		g.Expect(b.version()).To(BeEquivalentTo(1))
		g.Expect(b.hasServer()).To(BeTrue())
		b.log.Put(sharedlog.Operator, "config", []byte("vv")) // the write also ends the outage
		time.Sleep(time.Second)
		g.Expect(b.version()).To(BeEquivalentTo(2))
	})
}

// Whether kept parts may be fetched depends on how recently the operators' stream was read, so the
// first read after an outage must not be a long poll.
func TestAfterAnOutageTheOperatorsStreamIsReadAtOnce(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		b.log.Put(sharedlog.Operator, "config", []byte("v"))
		time.Sleep(time.Second)
		b.log.Underlying().SetFaults(fakelog.Faults{Down: true})
		time.Sleep(10 * time.Second)
		b.log.Underlying().SetFaults(fakelog.Faults{})
		back := time.Now()
		time.Sleep(time.Second)
		g.Expect(b.registry.OperatorReadAt()).To(BeTemporally(">=", back))
	})
}

func TestLeavingServerGetsNoCallsAfterASecond(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		b.log.Put(sharedlog.Servers, "server", []byte("ready"))
		time.Sleep(5 * time.Second)
		g.Expect(b.hasServer()).To(BeTrue())
		b.log.Put(sharedlog.Servers, "server", []byte("leaving"))
		time.Sleep(time.Second)
		g.Expect(b.hasServer()).To(BeFalse())
	})
}

func TestExpiredRecordsCauseFullRead(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		b.log.Put(sharedlog.Servers, "one", []byte("ready"))
		time.Sleep(time.Second)
		b.log.Underlying().SetFaults(fakelog.Faults{Down: true})
		time.Sleep(time.Second)
		b.log.Put(sharedlog.Servers, "one", nil)
		b.log.Put(sharedlog.Servers, "two", []byte("ready"))
		time.Sleep(10 * time.Second)
		g.Expect(b.fleet.CountListed()).To(Equal(1))
	})
}

// expiringLog retains no record but the newest of each key, and counts its reads.
type expiringLog struct {
	sharedlog.Log
	reads *atomic.Int64
}

func (l expiringLog) Read(context.Context, sharedlog.Stream, int64, time.Duration) (sharedlog.Page, error) {
	l.reads.Add(1)
	return sharedlog.Page{}, &sharedlog.RecordsExpiredError{First: 1000}
}

func TestCallRateToALogThatRetainsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		log := fakesharedlog.New()
		var reads atomic.Int64
		r := registry.New(registry.Config{
			Log: expiringLog{log, &reads}, Decoder: decoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(),
		})
		go r.LoopOperator(ctx)
		time.Sleep(time.Second)
		log.Put(sharedlog.Operator, "config", []byte("v"))
		time.Sleep(9 * time.Second)
		g.Expect(r.Catalog()).NotTo(BeNil(), "the newest records are read")
		g.Expect(reads.Load()).To(BeNumerically("<=", 110))
	})
}

func TestOutdatedSinceIsTheFirstNewerVersion(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		b.log.Put(sharedlog.Operator, "m", []byte("v"))
		time.Sleep(5 * time.Second)
		_, outdated := b.registry.OutdatedSince("m", 1)
		g.Expect(outdated).To(BeFalse())
		b.log.Put(sharedlog.Operator, "m", []byte("vv"))
		second := time.Now()
		time.Sleep(4 * time.Second)
		b.log.Put(sharedlog.Operator, "m", []byte("vvv"))
		time.Sleep(time.Second)
		since, outdated := b.registry.OutdatedSince("m", 1)
		g.Expect(outdated).To(BeTrue())
		g.Expect(since.LearnedAt).To(BeTemporally("~", second, 50*time.Millisecond), "since the first newer one, not the last")
		g.Expect(since.DeclaredAfter).To(And(BeTemporally("<=", second), BeTemporally(">", second.Add(-registry.MaxReadAge))))
		g.Expect(b.registry.Weights("m").Version).To(Equal(3))
	})
}

// However a box learns of a weight version, it must not assume a shorter age than is possible.
func TestWeightsAgeIsAnUpperBound(t *testing.T) {
	tests := []struct {
		name    string
		declare func(b *testBox)
		// oldest is the longest time since the declaration that the box must allow for, in seconds.
		oldest float64
	}{
		{"connected to the log", func(b *testBox) {
			time.Sleep(5 * time.Second)
			b.log.Put(sharedlog.Operator, "m", []byte("vv"))
		}, 0},
		{"after an outage", func(b *testBox) {
			time.Sleep(5 * time.Second)
			b.log.Underlying().SetFaults(fakelog.Faults{Down: true})
			time.Sleep(5 * time.Second)
			b.log.Put(sharedlog.Operator, "m", []byte("vv"))
		}, 5},
		{"from another box, just now", func(b *testBox) {
			time.Sleep(5 * time.Second)
			b.registry.MergeWeights(map[string][]registry.PeerWeights{"m": {{Version: 2}}}, time.Now())
		}, 0},
		{"from another box, after an outage", func(b *testBox) {
			time.Sleep(5 * time.Second)
			b.log.Underlying().SetFaults(fakelog.Faults{Down: true})
			time.Sleep(5 * time.Second)
			b.registry.MergeWeights(map[string][]registry.PeerWeights{"m": {{Version: 2, Age: time.Second}}}, time.Now())
		}, 1},
		{"by a message that may be old, after an outage", func(b *testBox) {
			time.Sleep(5 * time.Second)
			b.log.Underlying().SetFaults(fakelog.Faults{Down: true})
			time.Sleep(5 * time.Second)
			b.registry.MergeWeights(map[string][]registry.PeerWeights{"m": {{Version: 2, Age: time.Second}}}, time.Time{})
		}, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(g *WithT, b *testBox) {
				test.declare(b)
				declared := time.Now()
				time.Sleep(time.Second)
				since, outdated := b.registry.OutdatedSince("m", 1)
				g.Expect(outdated).To(BeTrue())
				g.Expect(since.Undated()).To(BeFalse())
				oldest := time.Duration(test.oldest * float64(time.Second))
				g.Expect(declared.Sub(since.DeclaredAfter)).To(And(BeNumerically(">=", oldest), BeNumerically("<=", oldest+registry.MaxReadAge)))
			})
		})
	}
}

// A box that has just started learns from another one when versions were declared, including a
// version that it missed.
func TestPeerDatesUndatedWeights(t *testing.T) {
	declare := func(log *fakesharedlog.Log) { log.Put(sharedlog.Operator, "m", []byte("vvv")) }
	inBubbleAfter(t, declare, func(g *WithT, b *testBox) {
		time.Sleep(time.Second)
		b.registry.MergeWeights(map[string][]registry.PeerWeights{"m": {{Version: 2, Age: 9 * time.Second}, {Version: 3, Age: 2 * time.Second}}}, time.Now())
		tests := []struct {
			version int
			age     time.Duration
		}{{1, 9 * time.Second}, {2, 2 * time.Second}}
		for _, test := range tests {
			since, outdated := b.registry.OutdatedSince("m", test.version)
			g.Expect(outdated).To(BeTrue())
			g.Expect(since.Undated()).To(BeFalse())
			g.Expect(time.Since(since.DeclaredAfter)).To(BeNumerically(">=", test.age))
			g.Expect(time.Since(since.DeclaredAfter)).To(BeNumerically("<", test.age+time.Second))
		}
		b.registry.MergeWeights(map[string][]registry.PeerWeights{"m": {{Version: 3, Age: time.Minute}}}, time.Now())
		since, _ := b.registry.OutdatedSince("m", 2)
		g.Expect(time.Since(since.DeclaredAfter)).To(BeNumerically("<", 4*time.Second), "a later bound is not replaced by an earlier one")
	})
}

func TestUndatedPeerWeightsStayUndated(t *testing.T) {
	declare := func(log *fakesharedlog.Log) { log.Put(sharedlog.Operator, "m", []byte("vv")) }
	inBubbleAfter(t, declare, func(g *WithT, b *testBox) {
		time.Sleep(time.Second)
		b.registry.MergeWeights(map[string][]registry.PeerWeights{"m": {{Version: 2, Age: time.Minute, Undated: true}}}, time.Now())
		since, _ := b.registry.OutdatedSince("m", 1)
		g.Expect(since.Undated()).To(BeTrue())
	})
}

// slowLog ends long polls early and delays their response, as a log behind a broken link may.
type slowLog struct {
	sharedlog.Log
}

func (l slowLog) Read(ctx context.Context, stream sharedlog.Stream, from int64, _ time.Duration) (sharedlog.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, 0)
	waiting.For(ctx, slowResponse)
	return page, err
}

// slowResponse is shorter than any long poll.
const slowResponse = registry.DefaultLongPoll/2 - 200*time.Millisecond

// Only the response of a completed long poll proves that nothing was added meanwhile.
func TestEarlyResponseProvesNothingAfterTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		r := registry.New(registry.Config{
			Log: slowLog{fakesharedlog.New()}, Decoder: decoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(),
		})
		began := time.Now()
		go r.LoopOperator(ctx)
		time.Sleep(slowResponse + time.Millisecond)
		g.Expect(r.OperatorReadAt()).To(BeTemporally("==", began), "a full read is no long poll")
		time.Sleep(slowResponse)
		g.Expect(r.OperatorReadAt()).To(BeTemporally("==", began.Add(slowResponse)), "sent then, and not held for the whole long poll")
	})
}

// A record ends the long polls of all boxes at once. The next ones end at different times, so that
// some box has read shortly before the next record and can date it for the others.
func TestBoxesTogetherDateWeightsPrecisely(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		all := []*registry.Registry{b.registry}
		for range 7 {
			r := registry.New(registry.Config{Log: b.log, Decoder: decoder{}, Fleet: b.fleet, Logger: zerolog.Nop()})
			go r.LoopOperator(ctx)
			all = append(all, r)
		}
		time.Sleep(time.Second)
		b.log.Put(sharedlog.Operator, "m", []byte("v"))
		time.Sleep(2*registry.DefaultLongPoll - 100*time.Millisecond)
		b.log.Put(sharedlog.Operator, "m", []byte("vv"))
		declaredAt := time.Now()
		synctest.Wait()
		for _, from := range all {
			for _, to := range all {
				to.MergeWeights(from.WeightsForPeers(), time.Now())
			}
		}
		for _, r := range all {
			g.Expect(r.Weights("m").DeclaredAfter).To(BeTemporally("~", declaredAt, 1200*time.Millisecond))
		}
	})
}
