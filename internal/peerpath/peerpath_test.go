package peerpath

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const testService = "s"

// testFleet is a fleet of boxes, the first ones of which do not reach the service.
type testFleet struct {
	boxes       []Box
	partitioned int
	// cut has the names of the partitioned boxes.
	cut   map[string]bool
	paths []*Paths
	// received counts the forwarded calls that each box got, and served those that it served.
	received, served map[string]int
}

func newTestFleet(boxes, partitioned int) *testFleet {
	f := &testFleet{partitioned: partitioned, cut: map[string]bool{}, received: map[string]int{}, served: map[string]int{}}
	for i := range boxes {
		f.boxes = append(f.boxes, Box{Name: fmt.Sprint("box-", i), Address: fmt.Sprint("address-", i)})
	}
	for i := range partitioned {
		f.cut[f.boxes[i].Name] = true
		others := make([]Box, 0, boxes-1)
		others = append(append(others, f.boxes[:i]...), f.boxes[i+1:]...)
		f.paths = append(f.paths, New(Config{Self: f.boxes[i].Name, Others: func() []Box { return others }}))
	}
	return f
}

// pathsPerCall is the number of boxes that a call may be forwarded to, as in package gateway.
const pathsPerCall = 3

// forward forwards a call of a box until one serves it, and returns the number of boxes tried. done ends
// the call where it is served.
func (f *testFleet) forward(from int, done func(box string)) (tries int, served bool) {
	var tried []string
	for range pathsPerCall {
		box, ok := f.paths[from].Choose(testService, tried)
		if !ok {
			return len(tried), false
		}
		tried = append(tried, box.Name)
		f.received[box.Name]++
		if !f.cut[box.Name] {
			f.served[box.Name]++
			done(box.Name)
			return len(tried), true
		}
		f.paths[from].Done(box.Name, testService, Unreachable)
	}
	return len(tried), false
}

// expectNoLeaks expects that no call is in flight, and that boxes are avoided for a limited time.
func expectNoLeaks(g *WithT, p *Paths) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g.ExpectWithOffset(1, p.inFlight).To(BeEmpty())
	p.avoid(avoidKey{box: "last"}, time.Now().Add(avoidDuration+time.Nanosecond), 0)
	g.ExpectWithOffset(1, p.avoided).To(HaveLen(1))
}

// Connections are reused only if a box forwards to few boxes, and none of these may get most of the calls.
func TestTheCallsOfABoxUseManyBoxes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTestFleet(80, 1)
		const calls, concurrent = 4000, 40
		var inFlight []string
		for range calls {
			_, served := f.forward(0, func(box string) { inFlight = append(inFlight, box) })
			g.Expect(served).To(BeTrue())
			if len(inFlight) == concurrent {
				at := rand.IntN(len(inFlight))
				f.paths[0].Done(inFlight[at], testService, Served)
				inFlight = append(inFlight[:at], inFlight[at+1:]...)
			}
			time.Sleep(time.Millisecond)
		}
		g.Expect(f.received).To(HaveLen(spread))
		for box, count := range f.received {
			g.Expect(count).To(BeNumerically("~", calls/spread, calls/spread/5), box)
		}
		for _, box := range inFlight {
			f.paths[0].Done(box, testService, Served)
		}
		expectNoLeaks(g, f.paths[0])
	})
}

// The calls of a partitioned zone must spread over all other boxes, so that no box's own callers suffer:
// a box takes three forwarded calls for each of its own, and the most loaded one must stay well below that.
func TestAPartitionedZoneOverloadsABox(t *testing.T) {
	const (
		// maxPerOwn bounds the calls forwarded to one box, for each of its own, where all boxes get
		// as many calls from their callers. Above three it refuses them.
		maxPerOwn = 2.5
		// maxMeanTries bounds the boxes tried for a call once the refusing ones are known.
		maxMeanTries = 1.5
	)
	for _, boxes := range []int{80, 300, 986} {
		for _, part := range []int{6, 3} {
			t.Run(fmt.Sprintf("%d boxes, one in %d partitioned", boxes, part), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newTestFleet(boxes, boxes/part)
					tries, calls, refused := 0, 0, 0
					const rounds, settled = 60, 20
					for round := range rounds {
						if round == settled {
							clear(f.served)
						}
						for from := range f.partitioned {
							count, served := f.forward(from, func(box string) {
								time.AfterFunc(30*time.Millisecond, func() { f.paths[from].Done(box, testService, Served) })
							})
							if round >= settled {
								tries, calls = tries+count, calls+1
								if !served {
									refused++
								}
							}
						}
						time.Sleep(50 * time.Millisecond)
					}
					most, total := 0, 0
					for _, count := range f.served {
						most, total = max(most, count), total+count
					}
					mean := float64(total) / float64(boxes-f.partitioned)
					t.Logf("most %d, mean %.1f, tries %.2f, refused %d of %d", most, mean, float64(tries)/float64(calls), refused, calls)
					g.Expect(float64(most)).To(BeNumerically("<=", maxPerOwn*(rounds-settled)))
					g.Expect(float64(tries) / float64(calls)).To(BeNumerically("<=", maxMeanTries))
					g.Expect(refused).To(BeNumerically("<=", calls/100))
					time.Sleep(2 * avoidDuration)
					for _, p := range f.paths {
						expectNoLeaks(g, p)
					}
				})
			})
		}
	}
}

// The boxes of the partitioned zone refuse in a millisecond, the others respond after the time of a call.
// Calls that arrive together meet many refusals before the first response, which must not be taken for a
// failure of the servers.
func TestRefusalsBeforeTheFirstResponsePauseForwarding(t *testing.T) {
	for _, boxes := range []int{80, 300, 986} {
		t.Run(fmt.Sprintf("%d boxes", boxes), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newTestFleet(boxes, boxes/3)
				calls, refused := 0, 0
				for range 20 { // 0.2 s, with responses after 0.3 s
					for from := range f.partitioned {
						for range 2 {
							_, served := f.forward(from, func(box string) {
								time.AfterFunc(300*time.Millisecond, func() { f.paths[from].Done(box, testService, Served) })
							})
							calls++
							if !served {
								refused++
							}
						}
					}
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("refused %d of %d", refused, calls)
				g.Expect(refused).To(BeNumerically("<=", calls/20))
				time.Sleep(time.Second)
			})
		})
	}
}

// A box that refuses, fails or is at its limit must get nothing for a while, and be used again after that.
func TestABoxThatRefusesGetsMoreCalls(t *testing.T) {
	tests := []struct {
		name    string
		outcome Outcome
		// avoided is for how long the box gets no calls for the service, and otherAvoided for how
		// long it gets none for other services.
		avoided, otherAvoided time.Duration
	}{
		{"served", Served, 0, 0},
		{"abandoned", Abandoned, 0, 0},
		{"unreachable", Unreachable, avoidDuration, 0},
		{"failed", Failed, avoidDuration, avoidDuration},
		{"limited", Limited, limitedDuration, limitedDuration},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := New(Config{Self: "self", Others: func() []Box { return []Box{{Name: "only"}} }})
				usable := func(service string) bool {
					box, ok := p.Choose(service, nil)
					if ok {
						p.Done(box.Name, service, Abandoned)
					}
					return ok
				}
				_, ok := p.Choose(testService, nil)
				g.Expect(ok).To(BeTrue())
				p.Done("only", testService, test.outcome)
				for _, check := range []struct {
					service string
					avoided time.Duration
				}{{"other", test.otherAvoided}, {testService, test.avoided}} {
					g.Expect(usable(check.service)).To(Equal(check.avoided == 0))
				}
				time.Sleep(test.avoided - time.Millisecond)
				g.Expect(usable(testService)).To(Equal(test.avoided == 0))
				time.Sleep(2 * time.Millisecond)
				g.Expect(usable(testService)).To(BeTrue())
				expectNoLeaks(g, p)
			})
		})
	}
}

// A call must not be forwarded to the same box again.
func TestACallTriesABoxTwice(t *testing.T) {
	g := NewWithT(t)
	p := New(Config{Self: "self", Others: func() []Box { return []Box{{Name: "a"}, {Name: "b"}} }})
	for range 20 {
		box, ok := p.Choose(testService, []string{"a"})
		g.Expect(ok).To(BeTrue())
		g.Expect(box.Name).To(Equal("b"))
		_, ok = p.Choose(testService, []string{"a", "b"})
		g.Expect(ok).To(BeFalse())
		p.Done("b", testService, Abandoned)
	}
	expectNoLeaks(g, p)
}

// A fleet whose servers have failed must not be busy with forwarding: the calls that a box forwards
// in a second must not grow with those that it gets.
func TestFailedServersKeepAFleetBusyWithForwarding(t *testing.T) {
	for _, boxes := range []int{6, 80, 300} {
		t.Run(fmt.Sprintf("%d boxes", boxes), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newTestFleet(boxes, boxes)
				const length = 4 * time.Second
				for range length / (5 * time.Millisecond) {
					for from := range boxes {
						_, served := f.forward(from, func(string) {})
						g.Expect(served).To(BeFalse())
					}
					time.Sleep(5 * time.Millisecond)
				}
				hops := 0
				for _, count := range f.received {
					hops += count
				}
				perBox := float64(hops) / float64(boxes) / length.Seconds()
				t.Logf("%.1f forwarded calls per box and second", perBox)
				const calls = 200
				g.Expect(perBox).To(BeNumerically("<=", calls/5))
			})
		})
	}
}

// A box that is partitioned from the other boxes too must refuse at once, and not after the time to
// connect to several of them.
func TestABoxWithoutLinksToBoxesTriesThemAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTestFleet(80, 1)
		const length, dialTimeout = 10 * time.Second, 150 * time.Millisecond
		calls := 0
		var late atomic.Int64
		for range length / (10 * time.Millisecond) {
			calls++
			go func() {
				var tried []string
				for range pathsPerCall {
					box, ok := f.paths[0].Choose(testService, tried)
					if !ok {
						break
					}
					tried = append(tried, box.Name)
					time.Sleep(dialTimeout)
					f.paths[0].Done(box.Name, testService, Failed)
				}
				if len(tried) > 0 {
					late.Add(1)
				}
			}()
			synctest.Wait()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		t.Logf("%d of %d calls were refused late", late.Load(), calls)
		g.Expect(late.Load()).To(BeNumerically("<", calls/2))
	})
}

// A box that lacked CPU served calls on kept connections while a new one took too long. It was avoided all the
// same, and where it was the only other box, calls were refused for a second.
func TestABoxThatServesIsAvoidedForOneSlowConnection(t *testing.T) {
	for _, test := range []struct {
		name    string
		after   time.Duration
		outcome Outcome
		avoided bool
	}{
		{"served just before", 0, Unconnected, false},
		{"served long ago", aliveFor, Unconnected, true},
		{"stopping", 0, Failed, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := New(Config{Self: "a", Others: func() []Box { return []Box{{Name: "b"}} }})
				for _, outcome := range []Outcome{Served, test.outcome} {
					box, ok := p.Choose(testService, nil)
					g.Expect(ok).To(BeTrue())
					if outcome == test.outcome {
						time.Sleep(test.after)
					}
					p.Done(box.Name, testService, outcome)
				}
				_, ok := p.Choose(testService, nil)
				g.Expect(ok).NotTo(Equal(test.avoided))
			})
		})
	}
}
