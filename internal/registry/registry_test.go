package registry_test

import (
	"context"
	"errors"
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

// decoder takes the length of a value for a version; "bad" is not understood.
type decoder struct{}

func (decoder) Declaration(record sharedlog.Record) (*registry.Declaration, error) {
	switch {
	case string(record.Value) == "bad":
		return nil, errors.New("not understood")
	case strings.HasPrefix(record.Key, "evacuate/"):
		return nil, nil
	case record.Key == "config":
		made, err := catalog.New(catalog.Config{Version: int64(len(record.Value))})
		return &registry.Declaration{Catalog: made}, err
	default:
		return &registry.Declaration{Weights: &registry.WeightsDeclaration{Model: record.Key, Version: len(record.Value)}}, nil
	}
}

func (decoder) Evacuation(record sharedlog.Record) (evacuation.Change, bool) {
	zone, found := strings.CutPrefix(record.Key, "evacuate/")
	return evacuation.Change{Zone: zone, Active: len(record.Value) > 0, Offset: record.Offset}, found
}

func (decoder) Server(record sharedlog.Record) (fleet.Update, error) {
	update := fleet.Update{Key: record.Key, Offset: record.Offset}
	if len(record.Value) > 0 {
		update.Server = &fleet.Server{Incarnation: record.Key, Service: "s", Leaving: string(record.Value) == "leaving"}
	}
	return update, nil
}

type world struct {
	log      *fakesharedlog.Log
	fleet    *fleet.Fleet
	registry *registry.Registry
}

func start(ctx context.Context, prepare func(*fakesharedlog.Log)) *world {
	w := &world{log: fakesharedlog.New(), fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()})}
	w.registry = registry.New(registry.Config{Log: w.log, Decoder: decoder{}, Fleet: w.fleet, Logger: zerolog.Nop()})
	if prepare != nil {
		prepare(w.log)
	}
	go w.registry.LoopOperator(ctx)
	go w.registry.LoopServers(ctx)
	return w
}

// bubble runs a test on a started world with paused time.
func bubble(t *testing.T, test func(g *WithT, w *world)) {
	t.Helper()
	bubbleAfter(t, nil, test)
}

// bubbleAfter does so after the log has been prepared.
func bubbleAfter(t *testing.T, prepare func(*fakesharedlog.Log), test func(g *WithT, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		test(NewWithT(t), start(ctx, prepare))
	})
}

func (w *world) version() int64 {
	if c := w.registry.Catalog(); c != nil {
		return c.Version()
	}
	return 0
}

func (w *world) serves() bool { return w.fleet.Choose(fleet.Query{Service: "s"}) != nil }

func TestTheNewestConfigurationIsInForceAtOnceAndNeverGoesBack(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		g.Expect(w.version()).To(BeZero())
		steps := []struct {
			value string
			want  int64
		}{{"v", 1}, {"vvv", 3}, {"vv", 3}, {"bad", 3}, {"vvvv", 4}}
		for _, step := range steps {
			w.log.Put(sharedlog.Operator, "config", []byte(step.value))
			time.Sleep(10 * time.Millisecond)
			g.Expect(w.version()).To(Equal(step.want))
		}
	})
}

func TestAnOutageLeavesWhatIsKnownInForce(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		w.log.Put(sharedlog.Operator, "config", []byte("v"))
		w.log.Put(sharedlog.Servers, "server", []byte("ready"))
		time.Sleep(time.Second)
		w.log.Faults().SetFaults(fakelog.Faults{Down: true})
		time.Sleep(time.Minute)
		g.Expect(w.version()).To(BeEquivalentTo(1))
		g.Expect(w.serves()).To(BeTrue())
		w.log.Put(sharedlog.Operator, "config", []byte("vv")) // and the log is back
		time.Sleep(time.Second)
		g.Expect(w.version()).To(BeEquivalentTo(2))
	})
}

// Whether kept parts may be fetched depends on how lately the operators' stream was
// read, so the first read after an outage must not wait for a record.
func TestAfterAnOutageTheOperatorsStreamIsReadAtOnce(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		w.log.Put(sharedlog.Operator, "config", []byte("v"))
		time.Sleep(time.Second)
		w.log.Faults().SetFaults(fakelog.Faults{Down: true})
		time.Sleep(10 * time.Second)
		w.log.Faults().SetFaults(fakelog.Faults{})
		back := time.Now()
		time.Sleep(time.Second)
		g.Expect(w.registry.OperatorReadAt()).To(BeTemporally(">=", back))
	})
}

func TestALeavingServerGetsNothingNewWithinASecond(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		w.log.Put(sharedlog.Servers, "server", []byte("ready"))
		time.Sleep(5 * time.Second)
		g.Expect(w.serves()).To(BeTrue())
		w.log.Put(sharedlog.Servers, "server", []byte("leaving"))
		time.Sleep(time.Second)
		g.Expect(w.serves()).To(BeFalse())
	})
}

func TestExpiredRecordsAreReadAnew(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		w.log.Put(sharedlog.Servers, "one", []byte("ready"))
		time.Sleep(time.Second)
		w.log.Faults().SetFaults(fakelog.Faults{Down: true})
		time.Sleep(time.Second)
		w.log.Put(sharedlog.Servers, "one", nil)
		w.log.Put(sharedlog.Servers, "two", []byte("ready"))
		time.Sleep(10 * time.Second)
		g.Expect(w.fleet.Known()).To(Equal(1))
	})
}

// forgetfulLog keeps no record but the newest of each key, and counts its reads.
type forgetfulLog struct {
	sharedlog.Log
	reads *atomic.Int64
}

func (l forgetfulLog) Read(context.Context, sharedlog.Stream, int64, time.Duration) (sharedlog.Page, error) {
	l.reads.Add(1)
	return sharedlog.Page{}, &sharedlog.RecordsExpiredError{First: 1000}
}

func TestALogThatKeepsNothingIsNotAskedAllTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		log := fakesharedlog.New()
		var reads atomic.Int64
		r := registry.New(registry.Config{
			Log: forgetfulLog{log, &reads}, Decoder: decoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(),
		})
		go r.LoopOperator(ctx)
		time.Sleep(time.Second)
		log.Put(sharedlog.Operator, "config", []byte("v"))
		time.Sleep(9 * time.Second)
		g.Expect(r.Catalog()).NotTo(BeNil(), "the newest records are read")
		g.Expect(reads.Load()).To(BeNumerically("<=", 110))
	})
}

func TestWeightsKnowSinceWhenTheyAreOutdated(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		w.log.Put(sharedlog.Operator, "m", []byte("v"))
		time.Sleep(5 * time.Second)
		_, outdated := w.registry.OutdatedSince("m", 1)
		g.Expect(outdated).To(BeFalse())
		w.log.Put(sharedlog.Operator, "m", []byte("vv"))
		second := time.Now()
		time.Sleep(4 * time.Second)
		w.log.Put(sharedlog.Operator, "m", []byte("vvv"))
		time.Sleep(time.Second)
		since, outdated := w.registry.OutdatedSince("m", 1)
		g.Expect(outdated).To(BeTrue())
		g.Expect(since.LearnedAt).To(BeTemporally("~", second, 50*time.Millisecond), "since the first newer one, not the last")
		g.Expect(since.DeclaredAfter).To(And(BeTemporally("<=", second), BeTemporally(">", second.Add(-registry.MaxReadAge))))
		g.Expect(w.registry.Weights("m").Version).To(Equal(3))
	})
}

// However a box learns of weights, it does not take them for younger than they may be.
func TestWeightsAreAsOldAsTheyMayBe(t *testing.T) {
	tests := []struct {
		name string
		play func(w *world)
		// oldest is the longest time since the naming that the box must allow for, in
		// seconds.
		oldest float64
	}{
		{"in touch", func(w *world) {
			time.Sleep(5 * time.Second)
			w.log.Put(sharedlog.Operator, "m", []byte("vv"))
		}, 0},
		{"after an outage", func(w *world) {
			time.Sleep(5 * time.Second)
			w.log.Faults().SetFaults(fakelog.Faults{Down: true})
			time.Sleep(5 * time.Second)
			w.log.Put(sharedlog.Operator, "m", []byte("vv"))
		}, 5},
		{"from another box, just now", func(w *world) {
			time.Sleep(5 * time.Second)
			w.registry.MergeWeights(map[string][]registry.PeerWeights{"m": {{Version: 2}}}, time.Now())
		}, 0},
		{"from another box, after an outage", func(w *world) {
			time.Sleep(5 * time.Second)
			w.log.Faults().SetFaults(fakelog.Faults{Down: true})
			time.Sleep(5 * time.Second)
			w.registry.MergeWeights(map[string][]registry.PeerWeights{"m": {{Version: 2, Age: time.Second}}}, time.Now())
		}, 1},
		{"by a word that may be old, after an outage", func(w *world) {
			time.Sleep(5 * time.Second)
			w.log.Faults().SetFaults(fakelog.Faults{Down: true})
			time.Sleep(5 * time.Second)
			w.registry.MergeWeights(map[string][]registry.PeerWeights{"m": {{Version: 2, Age: time.Second}}}, time.Time{})
		}, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(g *WithT, w *world) {
				test.play(w)
				played := time.Now()
				time.Sleep(time.Second)
				since, outdated := w.registry.OutdatedSince("m", 1)
				g.Expect(outdated).To(BeTrue())
				g.Expect(since.Undated()).To(BeFalse())
				oldest := time.Duration(test.oldest * float64(time.Second))
				g.Expect(played.Sub(since.DeclaredAfter)).To(And(BeNumerically(">=", oldest), BeNumerically("<=", oldest+registry.MaxReadAge)))
			})
		})
	}
}

// A box that has just started learns from another when versions were named, also of
// one that it missed.
func TestFoundWeightsAreDatedByAnotherBox(t *testing.T) {
	named := func(log *fakesharedlog.Log) { log.Put(sharedlog.Operator, "m", []byte("vvv")) }
	bubbleAfter(t, named, func(g *WithT, w *world) {
		time.Sleep(time.Second)
		w.registry.MergeWeights(map[string][]registry.PeerWeights{"m": {{Version: 2, Age: 9 * time.Second}, {Version: 3, Age: 2 * time.Second}}}, time.Now())
		tests := []struct {
			version int
			age     time.Duration
		}{{1, 9 * time.Second}, {2, 2 * time.Second}}
		for _, test := range tests {
			since, outdated := w.registry.OutdatedSince("m", test.version)
			g.Expect(outdated).To(BeTrue())
			g.Expect(since.Undated()).To(BeFalse())
			g.Expect(time.Since(since.DeclaredAfter)).To(BeNumerically(">=", test.age))
			g.Expect(time.Since(since.DeclaredAfter)).To(BeNumerically("<", test.age+time.Second))
		}
		w.registry.MergeWeights(map[string][]registry.PeerWeights{"m": {{Version: 3, Age: time.Minute}}}, time.Now())
		since, _ := w.registry.OutdatedSince("m", 2)
		g.Expect(time.Since(since.DeclaredAfter)).To(BeNumerically("<", 4*time.Second), "what is dated stays")
	})
}

func TestABoxThatOnlyFoundAVersionDatesItForNobody(t *testing.T) {
	named := func(log *fakesharedlog.Log) { log.Put(sharedlog.Operator, "m", []byte("vv")) }
	bubbleAfter(t, named, func(g *WithT, w *world) {
		time.Sleep(time.Second)
		w.registry.MergeWeights(map[string][]registry.PeerWeights{"m": {{Version: 2, Age: time.Minute, Undated: true}}}, time.Now())
		since, _ := w.registry.OutdatedSince("m", 1)
		g.Expect(since.Undated()).To(BeTrue())
	})
}

// slowLog ends held reads early and is slow to bring the answer, as a log behind a
// cut link may be.
type slowLog struct {
	sharedlog.Log
}

func (l slowLog) Read(ctx context.Context, stream sharedlog.Stream, from int64, _ time.Duration) (sharedlog.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, 0)
	waiting.For(ctx, slowAnswer)
	return page, err
}

// slowAnswer is shorter than any read is held.
const slowAnswer = registry.DefaultLongPoll/2 - 200*time.Millisecond

// Only an answer that was held for its whole time proves that nothing was added
// meanwhile.
func TestAnAnswerThatWasNotHeldProvesNothingAfterTheQuestion(t *testing.T) {
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
		time.Sleep(slowAnswer + time.Millisecond)
		g.Expect(r.OperatorReadAt()).To(BeTemporally("==", began), "the reading of all is not held")
		time.Sleep(slowAnswer)
		g.Expect(r.OperatorReadAt()).To(BeTemporally("==", began.Add(slowAnswer)), "asked then, and not held")
	})
}

// A record ends the held reads of all boxes at once. Those that follow end apart, so that
// some box has read shortly before the next record, and tells the others.
func TestBoxesTogetherDateNewWeightsClosely(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		all := []*registry.Registry{w.registry}
		for range 7 {
			r := registry.New(registry.Config{Log: w.log, Decoder: decoder{}, Fleet: w.fleet, Logger: zerolog.Nop()})
			go r.LoopOperator(ctx)
			all = append(all, r)
		}
		time.Sleep(time.Second)
		w.log.Put(sharedlog.Operator, "m", []byte("v"))
		time.Sleep(2*registry.DefaultLongPoll - 100*time.Millisecond)
		w.log.Put(sharedlog.Operator, "m", []byte("vv"))
		named := time.Now()
		synctest.Wait()
		for _, from := range all {
			for _, to := range all {
				to.MergeWeights(from.WeightsForPeers(), time.Now())
			}
		}
		for _, r := range all {
			g.Expect(r.Weights("m").DeclaredAfter).To(BeTemporally("~", named, 1200*time.Millisecond))
		}
	})
}
