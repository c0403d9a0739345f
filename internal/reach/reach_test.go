package reach

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

const testService = "s"

// linkState is what happens to connections to a server.
type linkState uint8

const (
	linkAccepts linkState = iota
	linkSilent
	linkRefuses
)

// links are fake links to the servers of one service.
type links struct {
	mu     sync.Mutex
	states []linkState
	// probes counts the connections attempted, and rounds has the times at which a sample was taken.
	probes int
	rounds []time.Time
}

func newLinks(states ...linkState) *links { return &links{states: states} }

func (l *links) set(states ...linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states = states
}

// sample returns the first servers, which makes the tests deterministic.
func (l *links) sample(_ string, count int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rounds = append(l.rounds, time.Now())
	addresses := make([]string, min(count, len(l.states)))
	for i := range addresses {
		addresses[i] = strconv.Itoa(i)
	}
	return addresses
}

func (l *links) probe(ctx context.Context, address string) error {
	l.mu.Lock()
	l.probes++
	at, err := strconv.Atoi(address)
	state := linkRefuses
	if err == nil && at < len(l.states) {
		state = l.states[at]
	}
	l.mu.Unlock()
	switch state {
	case linkSilent:
		<-ctx.Done()
		return ctx.Err()
	case linkRefuses:
		return errors.New("refused")
	default:
		return nil
	}
}

func (l *links) counts() (rounds, probes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.rounds), l.probes
}

func (l *links) monitor(t *testing.T) *Monitor {
	m := New(Config{Logger: zerolog.Nop(), Sample: l.sample, Probe: l.probe})
	t.Cleanup(m.Stop)
	return m
}

func allLinks(state linkState) []linkState {
	return []linkState{state, state, state, state, state, state}
}

// Probes are connections to servers, which cost them work: a service without calls must get none.
func TestAServiceWithoutCallsIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newLinks(allLinks(linkSilent)...)
		m := l.monitor(t)
		time.Sleep(time.Minute)
		m.NoteSent(testService)
		time.Sleep(doubtAfter / 2)
		m.NoteContact(testService)
		time.Sleep(time.Minute)
		rounds, _ := l.counts()
		g.Expect(rounds).To(BeZero())
		g.Expect(m.Unreachable(testService)).To(BeFalse())
		g.Expect(m.Unreachable("unknown")).To(BeFalse())
	})
}

// Many calls that take long must not cause more than one probe a second.
func TestASlowServiceIsProbedOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newLinks(allLinks(linkAccepts)...)
		m := l.monitor(t)
		const length = 10 * time.Second
		for range length / (10 * time.Millisecond) {
			m.NoteSent(testService)
			time.Sleep(10 * time.Millisecond)
		}
		_, probes := l.counts()
		g.Expect(probes).To(BeNumerically(">=", 5))
		g.Expect(probes).To(BeNumerically("<=", length/recheckAfter))
	})
}

// The callers of a partitioned box wait until the partition is detected.
func TestAPartitionIsDetectedLate(t *testing.T) {
	tests := []struct {
		name  string
		links []linkState
		// failures is the number of failed connections that calls see; with none, they get no response.
		failures    int
		unreachable bool
		within      time.Duration
	}{
		{"silent", allLinks(linkSilent), 0, true, 700 * time.Millisecond},
		{"refusing", allLinks(linkRefuses), minFailures, true, 200 * time.Millisecond},
		{"silent to new connections", allLinks(linkSilent), minFailures, true, 700 * time.Millisecond},
		{"refusing, few failures", allLinks(linkRefuses), minFailures - 1, true, 700 * time.Millisecond},
		{"one server silent", append([]linkState{linkSilent}, allLinks(linkAccepts)...), 0, false, time.Second},
		{"one server refusing", append([]linkState{linkRefuses}, allLinks(linkAccepts)...), minFailures, false, time.Second},
		{"all but one server refusing", []linkState{linkRefuses, linkRefuses, linkRefuses, linkRefuses, linkAccepts}, minFailures, false, time.Second},
		{"all but one server silent", []linkState{linkSilent, linkSilent, linkSilent, linkAccepts, linkSilent}, 0, false, time.Second},
		{"a single server, refusing", []linkState{linkRefuses}, minFailures, true, 200 * time.Millisecond},
		{"no servers", nil, minFailures, false, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				m := newLinks(test.links...).monitor(t)
				began := time.Now()
				m.NoteSent(testService)
				for range test.failures {
					m.NoteFailure(testService)
				}
				for !m.Unreachable(testService) && time.Since(began) < 10*time.Second {
					if !test.unreachable && time.Since(began) >= test.within {
						break
					}
					time.Sleep(time.Millisecond)
				}
				g.Expect(m.Unreachable(testService)).To(Equal(test.unreachable))
				g.Expect(time.Since(began)).To(BeNumerically("<=", test.within+time.Millisecond), "checked each millisecond")
			})
		})
	}
}

// Calls are forwarded for longer than necessary if the end of a partition is detected late.
func TestTheEndOfAPartitionIsDetectedLate(t *testing.T) {
	tests := []struct {
		name string
		end  func(l *links, m *Monitor)
		// reachable is false where the service stays unreachable.
		reachable bool
		within    time.Duration
	}{
		{"a server accepts a connection", func(l *links, _ *Monitor) { l.set(append(allLinks(linkRefuses)[:4], linkAccepts)...) }, true, 2 * retryInterval},
		{"all servers accept", func(l *links, _ *Monitor) { l.set(allLinks(linkAccepts)...) }, true, 2 * retryInterval},
		{"a response arrives", func(_ *links, m *Monitor) { m.NoteContact(testService) }, true, 0},
		{"the service has no servers left", func(l *links, _ *Monitor) { l.set() }, true, 2 * retryInterval},
		{"another service responds", func(_ *links, m *Monitor) { m.NoteContact("other") }, false, 10 * time.Second},
		{"calls go on", func(_ *links, m *Monitor) { m.NoteSent(testService) }, false, 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				l := newLinks(allLinks(linkRefuses)...)
				m := l.monitor(t)
				for range minFailures {
					m.NoteFailure(testService)
				}
				time.Sleep(retryInterval / 2)
				g.Expect(m.Unreachable(testService)).To(BeTrue())
				test.end(l, m)
				if test.within > 0 {
					time.Sleep(test.within)
				}
				g.Expect(m.Unreachable(testService)).To(Equal(!test.reachable))
			})
		})
	}
}

// The probes of an unreachable service must neither stop nor become more with the calls.
func TestCallsOfAnUnreachableServiceAddProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newLinks(allLinks(linkRefuses)...)
		m := l.monitor(t)
		const length = 5 * time.Second
		for range length / time.Millisecond {
			m.NoteSent(testService)
			m.NoteFailure(testService)
			time.Sleep(time.Millisecond)
		}
		rounds, probes := l.counts()
		g.Expect(rounds).To(BeNumerically("~", length/retryInterval, 2))
		g.Expect(probes).To(BeNumerically("<=", rounds*probedServers))
	})
}

// Calls that meet a partition at the same time must share one probe.
func TestManyCallsAtOnceStartManyProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newLinks(allLinks(linkSilent)...)
		m := l.monitor(t)
		var calls sync.WaitGroup
		for range 200 {
			calls.Go(func() {
				m.NoteSent(testService)
				m.NoteFailure(testService)
			})
		}
		calls.Wait()
		time.Sleep(probeTimeout / 2)
		rounds, probes := l.counts()
		g.Expect(rounds).To(Equal(1))
		g.Expect(probes).To(Equal(1))
		time.Sleep(probeTimeout)
		rounds, probes = l.counts()
		g.Expect(rounds).To(Equal(1))
		g.Expect(probes).To(Equal(probedServers))
	})
}

// A response that arrives while the probes fail shows that the service is reached, for example over
// connections that were open before new ones were refused. It must not be forgotten.
func TestAResponseDuringAProbeIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newLinks(allLinks(linkSilent)...).monitor(t)
		for range minFailures {
			m.NoteFailure(testService)
		}
		time.Sleep(probeTimeout)
		m.NoteContact(testService)
		time.Sleep(3 * probeTimeout)
		g.Expect(m.Unreachable(testService)).To(BeFalse())
	})
}

// Links that flap must neither leave the service in the wrong state nor cause more probes than an
// unreachable service gets.
func TestFlappingLinksLeaveTheWrongState(t *testing.T) {
	for _, state := range []linkState{linkSilent, linkRefuses} {
		for _, period := range []time.Duration{50 * time.Millisecond, 130 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(strconv.Itoa(int(state))+" "+period.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					l := newLinks(allLinks(linkAccepts)...)
					m := l.monitor(t)
					var down atomic.Bool
					stop := make(chan struct{})
					var calls sync.WaitGroup
					calls.Go(func() {
						for {
							select {
							case <-stop:
								return
							case <-time.After(10 * time.Millisecond):
							}
							m.NoteSent(testService)
							switch {
							case !down.Load():
								m.NoteContact(testService)
							case state == linkRefuses:
								m.NoteFailure(testService)
							}
						}
					})
					const flaps = 20
					for range flaps {
						down.Store(true)
						l.set(allLinks(state)...)
						time.Sleep(period)
						down.Store(false)
						l.set(allLinks(linkAccepts)...)
						time.Sleep(period)
					}
					time.Sleep(2 * retryInterval)
					g.Expect(m.Unreachable(testService)).To(BeFalse())
					rounds, _ := l.counts()
					g.Expect(rounds).To(BeNumerically("<=", 2*flaps*period/retryInterval+2))
					down.Store(true)
					l.set(allLinks(state)...)
					time.Sleep(recheckAfter + doubtAfter + 2*probeTimeout)
					g.Expect(m.Unreachable(testService)).To(BeTrue())
					close(stop)
					calls.Wait()
				})
			})
		}
	}
}

// A box that stops must not go on connecting to servers.
func TestProbesGoOnAfterStop(t *testing.T) {
	tests := []struct {
		name   string
		before func(m *Monitor)
	}{
		{"a probe is due", func(m *Monitor) { m.NoteSent(testService) }},
		{"a probe is running", func(m *Monitor) {
			for range minFailures {
				m.NoteFailure(testService)
			}
			time.Sleep(probeTimeout / 2)
		}},
		{"the service is unreachable", func(m *Monitor) {
			m.NoteSent(testService)
			time.Sleep(doubtAfter + 3*probeTimeout)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				l := newLinks(allLinks(linkSilent)...)
				m := l.monitor(t)
				test.before(m)
				began := time.Now()
				m.Stop()
				g.Expect(time.Since(began)).To(BeNumerically("<=", 2*probeTimeout))
				stoppedRounds, stoppedProbes := l.counts()
				m.NoteSent(testService)
				m.NoteFailure(testService)
				time.Sleep(time.Minute)
				rounds, probes := l.counts()
				g.Expect(rounds).To(Equal(stoppedRounds))
				g.Expect(probes).To(Equal(stoppedProbes))
			})
		})
	}
}
