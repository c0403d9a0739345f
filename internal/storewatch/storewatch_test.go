package storewatch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/storewatch"
)

// stores simulates one store box that holds one part and has no changes.
type stores struct {
	mu    sync.Mutex
	epoch int64
	down  bool
	lists int
	freed []partindex.Key
	early time.Duration // how much earlier than requested it answers
	// cut drops requests without an answer.
	cut bool
	// listWithoutClock omits the servers' clock from lists.
	listWithoutClock bool
}

var heldPart = partindex.Key{Namespace: "m/1", ID: "p"}

func (s *stores) set(change func(*stores)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *stores) state() (epoch int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, errors.New("down")
	}
	return s.epoch, nil
}

func (s *stores) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

func (s *stores) Changes(ctx context.Context, _ string, _ int64, wait time.Duration) (partindex.Report, error) {
	if s.isCut() {
		<-ctx.Done()
		return partindex.Report{}, ctx.Err()
	}
	time.Sleep(wait - s.early)
	epoch, err := s.state()
	return partindex.Report{Epoch: epoch, ClockMillis: 1}, err
}

func (s *stores) List(context.Context, string) (partindex.Report, error) {
	epoch, err := s.state()
	s.set(func(s *stores) { s.lists++ })
	report := partindex.Report{Epoch: epoch, ClockMillis: 1, Changes: []partindex.Change{{Key: heldPart, Tokens: 50}}}
	if s.listWithoutClock {
		report.ClockMillis = 0
	}
	return report, err
}

func (s *stores) Free(_ context.Context, _ string, parts []partindex.Key, _ int64) error {
	s.set(func(s *stores) { s.freed = append(s.freed, parts...) })
	return nil
}

// run runs a test with a watched store box and paused time.
func run(t *testing.T, s *stores, mayFree bool, test func(g *WithT, fetches func() bool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		index := partindex.New(partindex.Config{})
		index.Configure([]catalog.Service{{Name: "s", Store: &catalog.Store{Address: "10.0.0.1:1", CapacityTokens: 1000}}})
		watcher := storewatch.New(storewatch.Config{
			Stores: s, Index: index, Logger: zerolog.Nop(), MayFree: func(partindex.Key) bool { return mayFree },
		})
		watcher.Configure(ctx)
		go watcher.LoopFree(ctx)
		test(NewWithT(t), func() bool {
			plan := index.Plan(partindex.Query{
				Namespace: "m/1", Parts: []call.Part{{ID: "p", Tokens: 50}, {ID: "own"}}, MayFetch: func(string) bool { return true },
			})
			return plan.Fetch[0] != ""
		})
		cancel()
		watcher.Wait()
		synctest.Wait()
	})
}

// A store box without changes answers when the wait is over, or slightly earlier. Its state must
// not become stale in the meantime.
func TestTheStateOfAnIdleStoreBoxStaysFresh(t *testing.T) {
	for _, sooner := range []time.Duration{0, 10 * time.Millisecond} {
		run(t, &stores{epoch: 1, early: sooner}, false, func(g *WithT, fetches func() bool) {
			time.Sleep(time.Second)
			for range 1000 {
				time.Sleep(10 * time.Millisecond)
				g.Expect(fetches()).To(BeTrue())
			}
		})
	}
}

func TestAnUnreachableStoreBoxIsNotFetchedFrom(t *testing.T) {
	s := &stores{epoch: 1}
	run(t, s, false, func(g *WithT, fetches func() bool) {
		time.Sleep(time.Second)
		s.set(func(s *stores) { s.down = true })
		time.Sleep(1500 * time.Millisecond)
		g.Expect(fetches()).To(BeFalse())
		s.set(func(s *stores) { s.down = false })
		time.Sleep(1500 * time.Millisecond)
		g.Expect(fetches()).To(BeTrue())
	})
}

// A list does not contain the servers' clock. A box that has just started must not wait for a
// held answer to obtain it.
func TestABoxFetchesSoonAfterItsStart(t *testing.T) {
	run(t, &stores{epoch: 1, listWithoutClock: true}, false, func(g *WithT, fetches func() bool) {
		time.Sleep(50 * time.Millisecond)
		g.Expect(fetches()).To(BeTrue())
	})
}

// A network cut drops requests, so the poll in flight when the cut ends gets no answer.
func TestAStoreBoxIsUsedSoonAfterACut(t *testing.T) {
	for length := 5 * time.Second; length < 7*time.Second; length += 100 * time.Millisecond {
		s := &stores{epoch: 1}
		run(t, s, false, func(g *WithT, fetches func() bool) {
			time.Sleep(time.Second)
			s.set(func(s *stores) { s.cut = true })
			time.Sleep(length)
			g.Expect(fetches()).To(BeFalse())
			s.set(func(s *stores) { s.cut = false })
			time.Sleep(700 * time.Millisecond)
			g.Expect(fetches()).To(BeTrue(), "after a cut of %s", length)
		})
	}
}

func TestANewEpochIsListed(t *testing.T) {
	s := &stores{epoch: 1}
	run(t, s, false, func(g *WithT, _ func() bool) {
		time.Sleep(time.Second)
		s.set(func(s *stores) { s.epoch = 2 })
		time.Sleep(3 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		g.Expect(s.lists).To(Equal(2))
	})
}

// Events get lost, and there are none for parts whose write was aborted, so a store box that is
// always reachable is listed periodically as well.
func TestAStoreBoxIsListedPeriodically(t *testing.T) {
	s := &stores{epoch: 1}
	run(t, s, false, func(g *WithT, fetches func() bool) {
		for range 1000 {
			time.Sleep(time.Second)
			g.Expect(fetches()).To(BeTrue(), "fetches continue")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		g.Expect(s.lists).To(BeNumerically("~", 1+1000/60, 6))
	})
}

func TestOnlyWhatMayBeFreedIsFreed(t *testing.T) {
	for _, may := range []bool{true, false} {
		s := &stores{epoch: 1}
		run(t, s, may, func(g *WithT, _ func() bool) {
			time.Sleep(10 * time.Second)
			s.mu.Lock()
			defer s.mu.Unlock()
			if may {
				// The simulated store box sends no event for the freed part, as when events are
				// lost.
				g.Expect(s.freed).To(Equal([]partindex.Key{heldPart}), "once")
			} else {
				g.Expect(s.freed).To(BeEmpty())
			}
		})
	}
}
