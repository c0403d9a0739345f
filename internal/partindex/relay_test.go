package partindex_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Config{Checks: 300, Steps: 30}) }

// follower is an index that receives the state of a store box from another index.
type follower struct {
	index *partindex.Index
	lists int
}

// update has a follower apply an update from a source that arrives after a delay. It reports
// whether there was an update.
func (f *follower) update(source *partindex.Index, address string, delay time.Duration) bool {
	requestedAt := time.Now()
	since := f.index.Positions()[address]
	since.Lists = f.lists
	storeUpdate, _, known := source.UpdateSince(address, since)
	time.Sleep(delay)
	if known && f.index.ApplyUpdate(storeUpdate, requestedAt) {
		f.lists = storeUpdate.Position.Lists
	}
	return known
}

// emptyIndex returns an index with the store boxes configured, but without their state.
func emptyIndex() *partindex.Index {
	x := partindex.New(partindex.Config{})
	x.Configure(services())
	return x
}

// fetches reports whether an index would plan a fetch of a part.
func fetches(x *partindex.Index, id string) bool { return plan(x, id, 5000).Fetch[0] != "" }

// relayStep is an event of a store box or an update of a follower.
type relayStep struct{ kind, part, follower int }

// Whatever a store box reports in events and lists, with gaps and restarts, and whenever a
// follower updates, the follower has the same state as its reader. Time is paused, because
// otherwise a delay of the machine between two lines would make an update older, and the follower
// would rightly reject it.
func TestAFollowerHasTheStateOfItsReader(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		steps := make([]relayStep, rapid.IntRange(1, 120).Draw(random, "steps"))
		for i := range steps {
			steps[i] = relayStep{rapid.IntRange(0, 9).Draw(random, "step"), rapid.IntRange(0, 5).Draw(random, "part"), rapid.IntRange(0, 2).Draw(random, "follower")}
		}
		fault := ""
		synctest.Test(t, func(*testing.T) { fault = playRelay(steps) })
		if fault != "" {
			random.Fatal(fault)
		}
	})
}

// playRelay plays a history and returns what a follower got wrong, or the empty string.
func playRelay(steps []relayStep) string {
	source, followers := emptyIndex(), []*follower{{index: emptyIndex()}, {index: emptyIndex()}, {index: emptyIndex()}}
	epoch, next := int64(1), int64(0)
	kept := map[string]int{}
	report := func(changes []partindex.Change) partindex.Report {
		next += int64(len(changes))
		return partindex.Report{Epoch: epoch, Next: next, AsOf: time.Now(), ClockMillis: 1, Changes: changes}
	}
	list := func() {
		var changes []partindex.Change
		for id, tokens := range kept {
			changes = append(changes, held(id, tokens)...)
		}
		listed := report(nil)
		listed.Changes = changes
		source.Replace(large, listed)
	}
	list()
	for _, step := range steps {
		id := fmt.Sprint("p", step.part)
		switch step.kind {
		case 0, 1, 2:
			kept[id] = 5000
			source.Apply(large, report(held(id, 5000)))
		case 3, 4:
			delete(kept, id)
			source.Apply(large, report(held(id, 0)))
		case 5: // the event is lost, and a list includes the part
			kept[id] = 5000
			list()
		case 6:
			epoch++
			clear(kept)
			list()
		default:
			followers[step.follower].update(source, large, 0)
		}
	}
	// An update of a new epoch is accepted only if it is later than all known state of the previous
	// one, and these steps take no time.
	time.Sleep(time.Millisecond)
	source.Apply(large, report(nil))
	for i, f := range followers {
		f.update(source, large, 0)
		for part := range 6 {
			id := fmt.Sprint("p", part)
			if (kept[id] > 0) != fetches(f.index, id) {
				return fmt.Sprintf("part %s: the store box holds %d tokens, follower %d fetches: %v", id, kept[id], i, fetches(f.index, id))
			}
		}
	}
	return ""
}

// Boxes start, list a store box, and follow boxes that have earlier or later events; they also
// change the box that they follow. The state that a box has must match what the store box holds
// up to its position, whichever boxes it came through.
func TestAFollowerThatChangesItsReaderHasTheStoreBoxState(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		var events []partindex.Change
		kept := map[string]int{}
		boxes := []*follower{{index: emptyIndex()}, {index: emptyIndex()}, {index: emptyIndex()}}
		read := func(f *follower) {
			next, list := f.index.Position(large)
			report := partindex.Report{Epoch: 1, Next: int64(len(events)), AsOf: time.Now(), ClockMillis: 1}
			if !list {
				report.Changes = events[next:]
				f.index.Apply(large, report)
				return
			}
			for id, tokens := range kept {
				report.Changes = append(report.Changes, held(id, tokens)...)
			}
			f.index.Replace(large, report)
		}
		for range rapid.IntRange(1, 150).Draw(random, "steps") {
			box := rapid.IntRange(0, 2).Draw(random, "box")
			id := fmt.Sprint("p", rapid.IntRange(0, 5).Draw(random, "part"))
			switch rapid.IntRange(0, 9).Draw(random, "step") {
			case 0, 1, 2:
				kept[id] = 5000
				events = append(events, held(id, 5000)...)
			case 3, 4:
				delete(kept, id)
				events = append(events, held(id, 0)...)
			case 5, 6:
				read(boxes[box])
			case 7:
				boxes[box] = &follower{index: emptyIndex()}
			default:
				source := (box + rapid.IntRange(1, 2).Draw(random, "source")) % 3
				boxes[box].lists = 0 // as on a new connection
				boxes[box].update(boxes[source].index, large, 0)
			}
		}
		for _, f := range boxes {
			read(f)
			for part := range 6 {
				id := fmt.Sprint("p", part)
				if (kept[id] > 0) != fetches(f.index, id) {
					random.Fatalf("part %s: the store box holds %d tokens, the box fetches: %v", id, kept[id], fetches(f.index, id))
				}
			}
		}
	})
}

// An update that was long in transit, or that the sender received long ago, is as old as the
// state in it: it must not allow fetches for longer than an answer of the store box itself would.
func TestAnUpdateDoesNotMakeOldStateFresh(t *testing.T) {
	tests := []struct {
		name    string
		before  time.Duration
		delay   time.Duration
		fetches bool
	}{
		{"at once", 0, 0, true},
		{"a little later", 500 * time.Millisecond, 500 * time.Millisecond, true},
		{"the sender received it long ago", 1300 * time.Millisecond, 0, false},
		{"long in transit", 0, 1300 * time.Millisecond, false},
		{"both effects", 700 * time.Millisecond, 700 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				source, f := settled(), &follower{index: emptyIndex()}
				source.Apply(large, partindex.Report{Epoch: 1, Next: 1, AsOf: time.Now(), ClockMillis: 1, Changes: held("p", 5000)})
				time.Sleep(test.before)
				g.Expect(f.update(source, large, test.delay)).To(BeTrue())
				g.Expect(fetches(f.index, "p")).To(Equal(test.fetches))
			})
		})
	}
}

// A box that has just started cannot know how long ago a store box restarted, and would save
// nothing for 2.5 s. With boxes restarted one after another, that was why a quarter of the parts
// prefilled again had not been saved.
func TestANewFollowerSavesAsSoonAsItsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &follower{index: emptyIndex()}
		source := settled()
		f.update(source, large, 0)
		g.Expect(plan(f.index, "p", 5000).Save[0]).NotTo(BeEmpty())
		source.Replace(large, partindex.Report{Epoch: 2, AsOf: time.Now(), ClockMillis: 1})
		f.update(source, large, 0)
		g.Expect(plan(f.index, "p", 5000).Save[0]).NotTo(Equal(large), "it has just restarted")
		time.Sleep(2500 * time.Millisecond)
		source.Apply(large, partindex.Report{Epoch: 2, AsOf: time.Now(), ClockMillis: 1})
		f.update(source, large, 0)
		g.Expect(plan(f.index, "p", 5000).Save[0]).To(Equal(large))
	})
}

// A follower waits for updates instead of polling, until they stop or contain no recent state.
func TestAFollowerDoesNotPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source, f := settled(), &follower{index: emptyIndex()}
		g.Expect(f.index.WaitToPoll(t.Context(), large)).To(BeFalse())
		f.update(source, large, 0)
		began := time.Now()
		g.Expect(f.index.WaitToPoll(t.Context(), large)).To(BeTrue())
		g.Expect(time.Since(began)).To(BeNumerically("~", 2500*time.Millisecond, 10*time.Millisecond))
		f.update(source, large, 0)
		go func() { time.Sleep(time.Second); f.index.PollDirectly() }()
		began = time.Now()
		g.Expect(f.index.WaitToPoll(t.Context(), large)).To(BeTrue())
		g.Expect(time.Since(began)).To(Equal(time.Second))
		time.Sleep(5 * time.Second)
		f.update(source, large, 0) // the reader cannot reach the store box either
		g.Expect(f.index.PollPaused(large)).To(BeFalse())
	})
}

// When all 295 boxes of a newly started fleet polled the store boxes themselves, these refused
// most of them, including the readers. Followers of a reader that had been refused polled as
// well, which led to 22,752 requests within a second of the first call.
func TestFollowersDoNotAllPollAStoreBoxThatTheReaderCannotReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const address = "10.0.0.1:1"
		services := []catalog.Service{{Name: "store", Store: &catalog.Store{Address: address, CapacityTokens: 1000}}}
		reader, follower := partindex.New(partindex.Config{}), partindex.New(partindex.Config{PollDelay: 300 * time.Millisecond})
		reader.Configure(services)
		follower.Configure(services)
		g.Expect(follower.PollPaused(address)).To(BeTrue(), "it has just started")
		began := time.Now()
		for time.Since(began) < 3500*time.Millisecond {
			time.Sleep(100 * time.Millisecond)
			update, _, known := reader.UpdateSince(address, partindex.Position{})
			g.Expect(known).To(BeTrue())
			follower.ApplyUpdate(update, time.Now())
			g.Expect(follower.PollPaused(address)).To(BeTrue())
		}
		time.Sleep(time.Second)
		g.Expect(follower.PollPaused(address)).To(BeFalse(), "the reader alone may be cut off from it")
		g.Expect(follower.Follows()).To(BeTrue(), "so it polls less often")
		follower.PollDirectly()
		g.Expect(follower.Follows()).To(BeFalse())
	})
}
