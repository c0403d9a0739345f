package registry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// step is an event of a history of the log.
type step struct {
	// key and value are a record that is written; restore means that the log comes back from the copy
	// that was taken at the step copyHere.
	key, value        string
	restore, copyHere bool
	// wait is the time after the event.
	wait time.Duration
}

const (
	soon = 500 * time.Millisecond
	// afterHold is when no box holds anything any more.
	afterHold = 75 * time.Second
)

// A log that came back from a copy took back what had been acknowledged, and a box that went by its old
// position never read what was written next.
func TestAcknowledgedRecordsHoldUntilTheyAreWrittenAgain(t *testing.T) {
	tests := []struct {
		name      string
		steps     []step
		version   int64
		evacuated []string
		serving   bool
	}{
		{"a lost configuration holds", []step{{key: "config", value: "v", copyHere: true}, {key: "config", value: "vvv"}, {restore: true}}, 3, nil, false},
		{"but not for ever", []step{{key: "config", value: "v", copyHere: true}, {key: "config", value: "vvv"}, {restore: true, wait: afterHold}}, 1, nil, false},
		{"versions that are written again in order take nothing back", []step{{key: "config", value: "v", copyHere: true}, {key: "config", value: "vv"}, {key: "config", value: "vvv"}, {restore: true}, {key: "config", value: "vv"}}, 3, nil, false},
		{"the next version is in force", []step{{key: "config", value: "v", copyHere: true}, {key: "config", value: "vv"}, {key: "config", value: "vvv"}, {restore: true}, {key: "config", value: "vvvv"}}, 4, nil, false},
		{"the next version, before anyone reads", []step{{key: "config", value: "v", copyHere: true}, {key: "config", value: "vv"}, {key: "config", value: "vvv"}, {restore: true, wait: 1}, {key: "config", value: "vvvv"}}, 4, nil, false},
		{"a lost evacuation holds", []step{{key: "config", value: "v", copyHere: true}, {key: "evacuate/a", value: "yes"}, {restore: true}}, 1, []string{"a"}, false},
		{"an evacuation that nobody writes again ends", []step{{key: "config", value: "v", copyHere: true}, {key: "evacuate/a", value: "yes"}, {restore: true, wait: afterHold}}, 1, nil, false},
		{"the end of an evacuation holds", []step{{key: "evacuate/a", value: "yes", copyHere: true}, {key: "evacuate/a"}, {restore: true}}, 0, nil, false},
		{"an evacuation that ends after the return", []step{{key: "evacuate/a", value: "yes"}, {key: "config", value: "v", copyHere: true}, {key: "config", value: "vv"}, {restore: true, wait: 1}, {key: "evacuate/a"}}, 2, nil, false},
		{"another evacuation, where offsets are given out again", []step{{key: "config", value: "v", copyHere: true}, {key: "config", value: "vv"}, {key: "evacuate/a", value: "yes"}, {restore: true, wait: 1}, {key: "config", value: "vvv"}, {key: "evacuate/b", value: "yes"}}, 3, []string{"a", "b"}, false},
		{"an offset that happens to be given to the same record again", []step{{key: "config", value: "v", copyHere: true}, {key: "evacuate/a", value: "yes"}, {key: "config", value: "vv"}, {restore: true, wait: 1}, {key: "m", value: "w", wait: 1}, {key: "config", value: "vv"}}, 2, []string{"a"}, false},
		{"two returns, the second before the first is read", []step{{key: "config", value: "v", copyHere: true}, {key: "config", value: "vv"}, {key: "config", value: "vvv"}, {restore: true, wait: 1}, {restore: true}, {key: "config", value: "vvvv"}}, 4, nil, false},
		{"two returns in a row", []step{{key: "config", value: "v", copyHere: true}, {key: "config", value: "vvv"}, {restore: true}, {key: "evacuate/a", value: "yes"}, {restore: true}}, 3, []string{"a"}, false},
		{"a server that came serves", []step{{key: "config", value: "v", copyHere: true}, {key: "server", value: "ready#1"}, {restore: true}}, 1, nil, true},
		{"a server that leaves gets no calls", []step{{key: "server", value: "ready#1", copyHere: true}, {key: "server", value: "leaving#2"}, {restore: true}}, 0, nil, false},
		{"a server that is gone stays so", []step{{key: "server", value: "ready#1", copyHere: true}, {key: "server"}, {restore: true}}, 0, nil, false},
		{"a server that is removed after the return, before anyone reads", []step{{key: "server", value: "ready#1"}, {key: "server of another service", value: "ready#1", copyHere: true}, {restore: true, wait: 1}, {key: "server"}}, 0, nil, false},
		{"a server that writes again after its entry was dropped", []step{{key: "server", value: "ready#1", copyHere: true}, {key: "server"}, {restore: true, wait: 2 * time.Second}, {key: "server", value: "ready#2", wait: time.Second}}, 0, nil, true},
		{"a server that never writes again is gone", []step{{key: "config", value: "v", copyHere: true}, {key: "server", value: "ready#1"}, {restore: true, wait: 6 * time.Second}}, 1, nil, false},
		{"a server that leaves and says so again", []step{{key: "server", value: "ready#1", copyHere: true}, {key: "server", value: "leaving#2"}, {restore: true, wait: time.Second}, {key: "server", value: "leaving#3", wait: afterHold}}, 0, nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(g *WithT, b *testBox) {
				var copied fakelog.Copy
				for _, next := range test.steps {
					b.play(next, copied)
					if next.copyHere {
						copied = b.log.Copy()
					}
				}
				time.Sleep(2 * soon)
				g.Expect(b.version()).To(Equal(test.version))
				g.Expect(b.fleet.EvacuatedZones()).To(Equal(test.evacuated))
				g.Expect(b.hasServer()).To(Equal(test.serving))
			})
		})
	}
}

// play carries out a step.
func (b *testBox) play(next step, copied fakelog.Copy) {
	stream := sharedlog.Operator
	if strings.HasPrefix(next.key, "server") {
		stream = sharedlog.Servers
	}
	if next.restore {
		b.log.Restore(copied)
	} else {
		b.log.Put(stream, next.key, []byte(next.value))
	}
	if next.wait == 0 {
		next.wait = soon + 500*time.Millisecond
	}
	time.Sleep(next.wait)
}

// heldReads is a log whose held reads do not notice that it came back from a copy.
type heldReads struct{ sharedlog.Log }

// Read implements sharedlog.Log.
func (l *heldReads) Read(ctx context.Context, stream sharedlog.Stream, from int64, wait time.Duration) (sharedlog.Page, error) {
	waiting.For(ctx, wait)
	if ctx.Err() != nil {
		return sharedlog.Page{}, ctx.Err()
	}
	return l.Log.Read(ctx, stream, from, 0)
}

// fullReads is a log that counts full reads.
type fullReads struct {
	sharedlog.Log
	count atomic.Int64
}

// NewestPage implements sharedlog.Log.
func (l *fullReads) NewestPage(ctx context.Context, stream sharedlog.Stream, after string) (sharedlog.Page, error) {
	l.count.Add(1)
	return l.Log.NewestPage(ctx, stream, after)
}

// A read of the list of boxes is held for 20 s, and a box that was missing in the copy stayed so.
func TestHeldReadsEndWhenAnotherStreamIsOfALaterEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		log := fakesharedlog.New()
		var missing atomic.Bool
		r := registry.New(registry.Config{
			Log: &heldReads{Log: log}, Decoder: decoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(),
			OnBoxes: func([]sharedlog.Record) {}, OnBoxesRestored: func(has func(string) bool) { missing.Store(!has("box")) },
		})
		go r.LoopOperator(ctx)
		go r.LoopBoxes(ctx)
		before := log.Copy()
		log.Put(sharedlog.Boxes, "box", []byte("entry"))
		time.Sleep(30 * time.Second)
		log.Restore(before)
		time.Sleep(2 * time.Second)
		g.Expect(missing.Load()).To(BeTrue())
	})
}

// All followers that read the log during an outage made full reads of three streams when it came back.
func TestFollowersWaitForTheirReaderInALaterEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		log := fakesharedlog.New()
		counted := &fullReads{Log: log}
		r := registry.New(registry.Config{
			Log: counted, Decoder: decoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(),
			HasReader: func() bool { return true },
		})
		log.Put(sharedlog.Operator, "config", []byte("v"))
		go r.LoopOperator(ctx)
		time.Sleep(10 * time.Second)
		g.Expect(counted.count.Load()).To(BeEquivalentTo(1))
		log.Restore(log.Copy())
		time.Sleep(480 * time.Millisecond)
		g.Expect(counted.count.Load()).To(BeEquivalentTo(1))
		time.Sleep(500 * time.Millisecond)
		g.Expect(counted.count.Load()).To(BeEquivalentTo(2), "the reader did not send its view")
		g.Expect(logposition.Era(r.Position(sharedlog.Operator))).To(BeEquivalentTo(1))
	})
}

// A reader tells its followers what has changed, and an entry that is written again as it was has not. The
// followers went on to hold it, and then took the server for gone.
func TestFollowersLearnThatAServerWroteAgain(t *testing.T) {
	inBubble(t, func(g *WithT, reader *testBox) {
		follower := registry.New(registry.Config{
			Log: reader.log, Decoder: decoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(), ServerHeartbeat: time.Second,
		})
		follow := func(length time.Duration) {
			for range length / (100 * time.Millisecond) {
				update, _ := reader.registry.UpdateSince(sharedlog.Servers, follower.ReaderPosition(sharedlog.Servers))
				follower.ApplyUpdate(update, time.Now())
				time.Sleep(100 * time.Millisecond)
			}
		}
		before := reader.log.Copy()
		for range 3 {
			reader.log.Put(sharedlog.Servers, "server", []byte("ready#1"))
		}
		follow(time.Second)
		reader.log.Restore(before)
		follow(time.Second)
		reader.log.Put(sharedlog.Servers, "server", []byte("ready#2"))
		follow(20 * time.Second)
		update, _ := follower.UpdateSince(sharedlog.Servers, sharedlog.FromNewest)
		g.Expect(update.Records).To(HaveLen(1))
		g.Expect(logposition.Era(update.Records[0].Offset)).To(BeEquivalentTo(1))
	})
}

// A box that started after the return got the view of another box, and put an older version in force when
// that was written again.
func TestABoxThatStartsHoldsWhatItsReaderHolds(t *testing.T) {
	inBubble(t, func(g *WithT, reader *testBox) {
		reader.log.Put(sharedlog.Operator, "config", []byte("v"))
		before := reader.log.Copy()
		reader.log.Put(sharedlog.Operator, "config", []byte("vvv"))
		time.Sleep(time.Second)
		reader.log.Restore(before)
		time.Sleep(time.Second)
		started := registry.New(registry.Config{Log: reader.log, Decoder: decoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop()})
		update, _ := reader.registry.UpdateSince(sharedlog.Operator, sharedlog.FromNewest)
		g.Expect(started.ApplyUpdate(update, time.Now())).To(BeTrue())
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		go started.LoopOperator(ctx)
		reader.log.Put(sharedlog.Operator, "config", []byte("vv"))
		time.Sleep(5 * time.Second)
		g.Expect(started.Catalog().Version()).To(BeEquivalentTo(3))
		time.Sleep(afterHold)
		g.Expect(started.Catalog().Version()).To(BeEquivalentTo(2))
	})
}

// Each server had written heartbeats since the copy. The reader held all of them, and told its followers of
// each one's next heartbeat.
func TestServersThatOnlyWroteHeartbeatsAreNotHeld(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		b.log.Put(sharedlog.Servers, "server", []byte("ready#1"))
		before := b.log.Copy()
		b.log.Put(sharedlog.Servers, "server", []byte("ready#2"))
		time.Sleep(time.Second)
		b.log.Restore(before)
		time.Sleep(time.Second)
		from := b.registry.Position(sharedlog.Servers)
		g.Expect(logposition.Era(from)).To(BeEquivalentTo(1))
		b.log.Put(sharedlog.Servers, "server", []byte("ready#3"))
		time.Sleep(time.Second)
		update, changed := b.registry.UpdateSince(sharedlog.Servers, from)
		g.Expect(changed).To(BeFalse())
		g.Expect(update.Next).To(BeNumerically(">", from))
		time.Sleep(time.Minute)
		g.Expect(b.hasServer()).To(BeTrue())
	})
}

// A reader that does not know yet that the log came back sends records that are lost. A box that knew took
// them for records of the log, and went back to an older version when it read the log in full.
func TestRecordsOfAnEarlierEraAreHeld(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		b.log.Put(sharedlog.Operator, "config", []byte("v"))
		before := b.log.Copy()
		b.log.Put(sharedlog.Operator, "config", []byte("vv"))
		time.Sleep(time.Second)
		b.log.Restore(before)
		time.Sleep(time.Second)
		b.registry.ApplyUpdate(registry.StreamUpdate{Stream: sharedlog.Operator, Records: []sharedlog.Record{{Key: "config", Value: []byte("vvvv"), Offset: 2}}, Next: 3}, time.Now())
		g.Expect(b.version()).To(BeEquivalentTo(4))
		b.log.Put(sharedlog.Operator, "config", []byte("vv"))
		b.registry.ReadDirectly()
		time.Sleep(5 * time.Second)
		g.Expect(b.version()).To(BeEquivalentTo(4))
		b.log.Put(sharedlog.Operator, "config", []byte("vvvvv"))
		time.Sleep(time.Second)
		g.Expect(b.version()).To(BeEquivalentTo(5))
	})
}

// Servers that could not write again, since the log was away again, lost all calls.
func TestServersAreHeldWhileTheLogIsAway(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		before := b.log.Copy()
		b.log.Put(sharedlog.Servers, "server", []byte("ready#1"))
		time.Sleep(time.Second)
		b.log.Restore(before)
		time.Sleep(time.Second)
		b.log.Underlying().SetFaults(fakelog.Faults{Down: true})
		time.Sleep(20 * time.Second)
		g.Expect(b.hasServer()).To(BeTrue())
		b.log.Put(sharedlog.Servers, "server", []byte("ready#2"))
		time.Sleep(20 * time.Second)
		g.Expect(b.hasServer()).To(BeTrue())
	})
}

// Whatever is lost and written again, in whatever order: two seconds after the last write a box goes by
// what was written last of each key, and no version is ever taken back.
func TestViewIsThatOfTheLastWritesAfterAnyReturns(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inBubble(t, func(g *WithT, b *testBox) {
				w := &writer{random: rand.New(rand.NewPCG(seed, 3)), box: b, newest: map[string]string{}}
				copies := []fakelog.Copy{b.log.Copy()}
				highest := int64(0)
				for range 30 {
					w.write()
					time.Sleep(time.Duration(w.random.IntN(1500)) * time.Millisecond)
					g.Expect(b.version()).To(BeNumerically(">=", highest), "a version was taken back")
					highest = b.version()
					if w.random.IntN(4) == 0 {
						b.log.Restore(copies[max(len(copies)-1-w.random.IntN(4), 0)])
						time.Sleep(time.Duration(w.random.IntN(900)) * time.Millisecond)
						g.Expect(b.version()).To(BeNumerically(">=", highest), "a version was taken back")
						w.writeAgain()
					}
					copies = append(copies, b.log.Copy())
				}
				time.Sleep(2 * time.Second)
				synctest.Wait()
				g.Expect(b.version()).To(BeEquivalentTo(len(w.newest["config"])))
				g.Expect(b.fleet.EvacuatedZones()).To(Equal(w.evacuated()))
				g.Expect(b.hasServer()).To(Equal(strings.HasPrefix(w.newest["server"], "ready")))
			})
		})
	}
}

// writer writes records and knows the newest of each key.
type writer struct {
	random   *rand.Rand
	box      *testBox
	newest   map[string]string
	sequence int
}

// write writes a record of a random key.
func (w *writer) write() {
	switch w.random.IntN(3) {
	case 0:
		w.put("config", strings.Repeat("v", len(w.newest["config"])+1+w.random.IntN(3)))
	case 1:
		w.put("evacuate/"+string(rune('a'+w.random.IntN(3))), []string{"", "yes"}[w.random.IntN(2)])
	default:
		w.putServer([]string{"ready", "leaving", ""}[w.random.IntN(3)])
	}
}

func (w *writer) putServer(state string) {
	if w.sequence++; state != "" {
		state = fmt.Sprint(state, "#", w.sequence)
	}
	w.put("server", state)
}

func (w *writer) put(key, value string) {
	w.newest[key] = value
	stream := sharedlog.Operator
	if key == "server" {
		stream = sharedlog.Servers
	}
	w.box.log.Put(stream, key, []byte(value))
}

// writeAgain writes the newest record of each key again.
func (w *writer) writeAgain() {
	keys := make([]string, 0, len(w.newest))
	for key := range w.newest {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if key == "server" {
			state, _, _ := strings.Cut(w.newest[key], "#")
			w.putServer(state)
			continue
		}
		w.put(key, w.newest[key])
	}
}

func (w *writer) evacuated() (zones []string) {
	for _, zone := range []string{"a", "b", "c"} {
		if w.newest["evacuate/"+zone] != "" {
			zones = append(zones, zone)
		}
	}
	return zones
}
