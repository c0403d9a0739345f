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

// follower is an index that is told what another one knows of a store box.
type follower struct {
	index  *partindex.Index
	mended int
}

// ask has a follower told by an index, some time after it asked. It reports whether there
// was a word.
func (f *follower) ask(teller *partindex.Index, address string, onItsWay time.Duration) bool {
	asked := time.Now()
	since := f.index.Positions()[address]
	since.Lists = f.mended
	word, _, known := teller.UpdateSince(address, since)
	time.Sleep(onItsWay)
	if known && f.index.ApplyUpdate(word, asked) {
		f.mended = word.Position.Lists
	}
	return known
}

// bareIndex knows that there are store boxes, and nothing of what they keep.
func bareIndex() *partindex.Index {
	x := partindex.New(partindex.Config{})
	x.Configure(services())
	return x
}

// fetches reports whether an index would have a part fetched.
func fetches(x *partindex.Index, id string) bool { return plan(x, id, 5000).Fetch[0] != "" }

// toldStep is something that happens to a store box, or a question of a box that follows.
type toldStep struct{ kind, part, follower int }

// Whatever a store box tells, by events or lists, with gaps and restarts, and whenever a
// box asks, it knows as much as the box that it asks. Time is paused: a word that the machine
// held up between two lines counts as older, and the follower is right not to take it.
func TestABoxThatIsToldKnowsWhatItsReaderKnows(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		steps := make([]toldStep, rapid.IntRange(1, 120).Draw(random, "steps"))
		for i := range steps {
			steps[i] = toldStep{rapid.IntRange(0, 9).Draw(random, "step"), rapid.IntRange(0, 5).Draw(random, "part"), rapid.IntRange(0, 2).Draw(random, "follower")}
		}
		fault := ""
		synctest.Test(t, func(*testing.T) { fault = playTold(steps) })
		if fault != "" {
			random.Fatal(fault)
		}
	})
}

// playTold plays a history and gives what a follower has got wrong; empty for nothing.
func playTold(steps []toldStep) string {
	teller, told := bareIndex(), []*follower{{index: bareIndex()}, {index: bareIndex()}, {index: bareIndex()}}
	life, next := int64(1), int64(0)
	kept := map[string]int{}
	report := func(changes []partindex.Change) partindex.Report {
		next += int64(len(changes))
		return partindex.Report{Epoch: life, Next: next, AsOf: time.Now(), ClockMillis: 1, Changes: changes}
	}
	list := func() {
		var changes []partindex.Change
		for id, tokens := range kept {
			changes = append(changes, held(id, tokens)...)
		}
		listed := report(nil)
		listed.Changes = changes
		teller.Replace(large, listed)
	}
	list()
	for _, step := range steps {
		id := fmt.Sprint("p", step.part)
		switch step.kind {
		case 0, 1, 2:
			kept[id] = 5000
			teller.Apply(large, report(held(id, 5000)))
		case 3, 4:
			delete(kept, id)
			teller.Apply(large, report(held(id, 0)))
		case 5: // the event is lost, and a list tells of it
			kept[id] = 5000
			list()
		case 6:
			life++
			clear(kept)
			list()
		default:
			told[step.follower].ask(teller, large, 0)
		}
	}
	// A word of a new life counts only if it is later than all that is known of the one
	// before, and these steps take no time.
	time.Sleep(time.Millisecond)
	teller.Apply(large, report(nil))
	for i, f := range told {
		f.ask(teller, large, 0)
		for part := range 6 {
			id := fmt.Sprint("p", part)
			if (kept[id] > 0) != fetches(f.index, id) {
				return fmt.Sprintf("part %s: the store box keeps %d tokens, follower %d fetches: %v", id, kept[id], i, fetches(f.index, id))
			}
		}
	}
	return ""
}

// Boxes start, read a store box's list, and are followed by those that know earlier and later
// events; these change whom they follow. What one knows of a store box is what it keeps,
// as far as its position says, whoever told it.
func TestABoxThatChangesItsReaderKnowsWhatTheStoreBoxKeeps(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		var events []partindex.Change
		kept := map[string]int{}
		boxes := []*follower{{index: bareIndex()}, {index: bareIndex()}, {index: bareIndex()}}
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
				boxes[box] = &follower{index: bareIndex()}
			default:
				teller := (box + rapid.IntRange(1, 2).Draw(random, "teller")) % 3
				boxes[box].mended = 0 // as on a new connection
				boxes[box].ask(boxes[teller].index, large, 0)
			}
		}
		for _, f := range boxes {
			read(f)
			for part := range 6 {
				id := fmt.Sprint("p", part)
				if (kept[id] > 0) != fetches(f.index, id) {
					random.Fatalf("part %s: the store box keeps %d tokens, the box fetches: %v", id, kept[id], fetches(f.index, id))
				}
			}
		}
	})
}

// A word that was long on its way, or that the teller had from long ago, is as old as what
// it says: a part may not be fetched by it for longer than by the store box's own word.
func TestAWordDoesNotMakeAStoreBoxFresh(t *testing.T) {
	tests := []struct {
		name     string
		before   time.Duration
		onItsWay time.Duration
		fetches  bool
	}{
		{"at once", 0, 0, true},
		{"a little later", 500 * time.Millisecond, 500 * time.Millisecond, true},
		{"the teller has it from long ago", 1300 * time.Millisecond, 0, false},
		{"it was long on its way", 0, 1300 * time.Millisecond, false},
		{"both together", 700 * time.Millisecond, 700 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				teller, f := settled(), &follower{index: bareIndex()}
				teller.Apply(large, partindex.Report{Epoch: 1, Next: 1, AsOf: time.Now(), ClockMillis: 1, Changes: held("p", 5000)})
				time.Sleep(test.before)
				g.Expect(f.ask(teller, large, test.onItsWay)).To(BeTrue())
				g.Expect(fetches(f.index, "p")).To(Equal(test.fetches))
			})
		})
	}
}

// A box that has just started cannot know how long a store box has lived, and would save
// nothing for 2.5 s: with boxes that are restarted one after the other, a quarter of the
// parts that were read again had not been saved for that reason.
func TestABoxThatHasJustStartedSavesAsSoonAsItsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &follower{index: bareIndex()}
		teller := settled()
		f.ask(teller, large, 0)
		g.Expect(plan(f.index, "p", 5000).Save[0]).NotTo(BeEmpty())
		teller.Replace(large, partindex.Report{Epoch: 2, AsOf: time.Now(), ClockMillis: 1})
		f.ask(teller, large, 0)
		g.Expect(plan(f.index, "p", 5000).Save[0]).NotTo(Equal(large), "it has restarted just now")
		time.Sleep(2500 * time.Millisecond)
		teller.Apply(large, partindex.Report{Epoch: 2, AsOf: time.Now(), ClockMillis: 1})
		f.ask(teller, large, 0)
		g.Expect(plan(f.index, "p", 5000).Save[0]).To(Equal(large))
	})
}

// A box waits for words instead of asking, until they stop or say nothing of late.
func TestABoxThatIsToldAsksNoStoreBox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		teller, f := settled(), &follower{index: bareIndex()}
		g.Expect(f.index.WaitToPoll(t.Context(), large)).To(BeFalse())
		f.ask(teller, large, 0)
		began := time.Now()
		g.Expect(f.index.WaitToPoll(t.Context(), large)).To(BeTrue())
		g.Expect(time.Since(began)).To(BeNumerically("~", 2500*time.Millisecond, 10*time.Millisecond))
		f.ask(teller, large, 0)
		go func() { time.Sleep(time.Second); f.index.PollDirectly() }()
		began = time.Now()
		g.Expect(f.index.WaitToPoll(t.Context(), large)).To(BeTrue())
		g.Expect(time.Since(began)).To(Equal(time.Second))
		time.Sleep(5 * time.Second)
		f.ask(teller, large, 0) // the reader cannot reach the store box either
		g.Expect(f.index.PollPaused(large)).To(BeFalse())
	})
}

// When all 295 boxes of a fleet that had just started asked the store boxes themselves, these
// turned most of them away, the readers too, and whoever followed a reader that had been
// turned away asked all the more: 22,752 questions within a second of the first call.
func TestAStoreBoxThatTheReaderCannotReachIsNotAskedByAll(t *testing.T) {
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
			word, _, known := reader.UpdateSince(address, partindex.Position{})
			g.Expect(known).To(BeTrue())
			follower.ApplyUpdate(word, time.Now())
			g.Expect(follower.PollPaused(address)).To(BeTrue())
		}
		time.Sleep(time.Second)
		g.Expect(follower.PollPaused(address)).To(BeFalse(), "the reader alone may be cut off from it")
		g.Expect(follower.Follows()).To(BeTrue(), "so it asks seldom")
		follower.PollDirectly()
		g.Expect(follower.Follows()).To(BeFalse())
	})
}
