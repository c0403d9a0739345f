// A server may name the rate of requests that it accepts from all boxes together. Boxes share no
// counter, so these tests run random histories: boxes restart, links and zones are cut, and the
// limit changes, ends and is named again, while every box has calls for the server all the time.

package loadshare_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/simulated"
)

const (
	limitLength = 40 * time.Second
	limitStep   = 20 * time.Millisecond
	// limitWindow is the window in which requests are counted. countedAfterAnswer is how long after
	// its first answer with a limit the requests of a box are counted.
	limitWindow        = 4 * time.Second
	countedAfterAnswer = 500 * time.Millisecond
	// countedAfterNamed is the time after which requests are counted when a server starts to name a
	// limit.
	countedAfterNamed = maxPropagation
	// countedAfterStart is how long after its start the requests of a box are not counted.
	countedAfterStart = limitWindow
	// maxTransit is the maximum transit time of a request or an answer.
	maxTransit = 30 * time.Millisecond
)

// limitedServer names a limit and records the requests that it receives.
type limitedServer struct {
	perSecond float64
	// namedSince is when it last started to name a limit.
	namedSince time.Time
	arrivals   []limitedArrival
}

type limitedArrival struct {
	at  time.Time
	box string
	// counts is whether the box must have known of the limit.
	counts bool
	// limit is the limit that the server named when the request arrived.
	limit float64
}

// limitedBox is a box that calls the server.
type limitedBox struct {
	*simulated.Box
	fleet *fleet.Fleet
	// answeredAt is when the box received its first answer with the current limit.
	answeredAt, startedAt time.Time
}

// limitHistory is one random history.
type limitHistory struct {
	*history
	server limitedServer
	boxes  []*limitedBox
	simulated.Transit
	// noEvents disables the random events. callers is the number of boxes that have calls.
	noEvents bool
	callers  int
	// noSharing injects a fault: each box uses the whole limit itself.
	noSharing bool
	// answerTime is how long the server takes to answer.
	answerTime time.Duration
}

func (h *limitHistory) startBox(ctx context.Context, b *limitedBox) {
	position := func(zone, server string) advisory.Position { return b.Share.LimitPosition(zone, server) }
	if h.noSharing {
		position = nil
	}
	b.fleet = fleet.New(fleet.Config{Logger: zerolog.Nop(), LimitPosition: position})
	b.fleet.Apply([]fleet.Update{{Key: "s", Offset: 1, Server: &fleet.Server{Incarnation: "s", Service: "s", Zone: "zone-0", Slots: 4}}})
	b.answeredAt, b.startedAt = time.Time{}, time.Now()
	h.Start(ctx, b.Box, b.fleet, 1)
}

// limitQuery is the query for a call of a box.
func limitQuery(b *limitedBox) fleet.Query { return fleet.Query{Service: "s", Zone: b.Zone} }

// call makes a box call the server, and reports whether it may.
func (h *limitHistory) call(b *limitedBox) bool {
	hold := b.fleet.Choose(limitQuery(b))
	if hold == nil {
		return false
	}
	sent, sender := time.Now(), b.fleet
	requestTime, answerTime := time.Duration(h.random.Int64N(int64(maxTransit))), time.Duration(h.random.Int64N(int64(maxTransit)))
	lost := h.random.IntN(20) == 0
	h.DeliverAfter(requestTime, func() {
		now := time.Now()
		counts := !b.answeredAt.IsZero() && now.Sub(b.answeredAt) > countedAfterAnswer && now.Sub(b.startedAt) > countedAfterStart && h.server.perSecond > 0 && now.Sub(h.server.namedSince) > countedAfterNamed
		h.server.arrivals = append(h.server.arrivals, limitedArrival{at: now, box: b.Name, counts: counts, limit: h.server.perSecond})
		answer := advisory.Answer{Sent: sent, Genuine: true}
		if h.server.perSecond > 0 {
			answer.Limit, answer.PerSecond = advisory.LimitNamed, h.server.perSecond
		}
		h.DeliverAfter(h.answerTime+answerTime, func() {
			hold.Done(fleet.OutcomeServed)
			if lost {
				return
			}
			answer.Received = time.Now()
			sender.ApplyAdvisory("s", answer)
			if sender == b.fleet && b.answeredAt.IsZero() && answer.Limit == advisory.LimitNamed {
				b.answeredAt = time.Now()
			}
		})
	})
	return true
}

// setLimit makes the server name another limit; zero for none.
func (h *limitHistory) setLimit(perSecond float64) {
	if perSecond > 0 && h.server.perSecond == 0 {
		h.server.namedSince = time.Now()
		for _, b := range h.boxes {
			b.answeredAt = time.Time{}
		}
	}
	h.server.perSecond = perSecond
}

// injectEvent causes a random event at a box, at links or at the limit.
func (h *limitHistory) injectEvent(ctx context.Context) {
	b := h.boxes[h.random.IntN(len(h.boxes))]
	switch h.random.IntN(8) {
	case 0:
		b.Stop()
		b.Stopped.Wait()
		h.startBox(ctx, b)
	case 1:
		for _, other := range h.boxes {
			if (other.Zone == b.Zone) != (h.random.IntN(2) == 0) {
				h.Network.SetCut(b.Name, other.Name, true)
				h.Network.SetCut(other.Name, b.Name, true)
			}
		}
	case 2:
		h.setLimit(0)
	case 3, 4:
		h.setLimit([]float64{0.3, 2, 2.1, 10}[h.random.IntN(4)])
	default:
		h.Network.Heal()
	}
}

// play runs the history.
func (h *limitHistory) play(ctx context.Context) {
	const eventProbability = 0.02
	for end := time.Now().Add(limitLength); time.Now().Before(end); time.Sleep(limitStep) {
		if !h.noEvents && h.random.Float64() < eventProbability {
			h.injectEvent(ctx)
		}
		for _, b := range h.boxes[:h.callers] {
			if h.random.IntN(4) == 0 {
				h.call(b)
			}
		}
		h.DeliverDue()
	}
}

// excess finds the window with the most requests above what was allowed, and returns how many
// arrived and how many were allowed; false if there is none.
func (s *limitedServer) excess() (received int, allowed float64, found bool) {
	for i, last := range s.arrivals {
		maxLimit, count := 0.0, 0
		for j := i; j >= 0 && last.at.Sub(s.arrivals[j].at) < limitWindow; j-- {
			if s.arrivals[j].counts {
				count++
			}
			maxLimit = max(maxLimit, s.arrivals[j].limit)
		}
		limit := 1.5*maxLimit*limitWindow.Seconds() + 5
		if last.counts && float64(count) > limit && float64(count)-limit > float64(received)-allowed {
			received, allowed, found = count, limit, true
		}
	}
	return received, allowed, found
}

// counted returns the number of requests from boxes that must have known of the limit.
func (s *limitedServer) counted() int {
	count := 0
	for _, arrival := range s.arrivals {
		if arrival.counts {
			count++
		}
	}
	return count
}

func playLimits(t *testing.T, seed uint64, zones []int, prepare func(h *limitHistory)) *limitHistory {
	t.Helper()
	h := &limitHistory{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h.history = newHistory(t, rand.NewPCG(seed, 3), zones)
		defer h.Stop(cancel)
		for _, a := range h.Boxes {
			h.boxes = append(h.boxes, &limitedBox{Box: a})
		}
		h.callers = len(h.boxes)
		h.server.perSecond, h.server.namedSince = 2, time.Now()
		prepare(h)
		for _, b := range h.boxes {
			h.startBox(ctx, b)
		}
		h.play(ctx)
	})
	return h
}

func TestAllBoxesTogetherRespectTheRateLimitOfAServer(t *testing.T) {
	t.Parallel()
	counted := 0
	for _, zones := range [][]int{{3, 2}, {9, 8, 8}} {
		for _, seed := range seedsOf(t, 2) {
			h := playLimits(t, seed, zones, func(*limitHistory) {})
			received, allowed, found := h.server.excess()
			counted += h.server.counted()
			if found {
				t.Errorf("seed %d, zones %v: %d requests in %v, %.1f allowed", seed, zones, received, limitWindow, allowed)
			}
		}
	}
	t.Log(counted, "requests counted")
	if counted == 0 {
		t.Error("no request was counted, so nothing was tested")
	}
}

// The limit must not be kept by sending nothing, whichever boxes have calls.
func TestALimitedServerIsUsed(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		callers int
		limit   float64
		least   float64
	}{
		{"all boxes call it", 25, 2, 0.8},
		{"all boxes call it at a low limit", 25, 0.3, 0.8},
		{"one box calls it", 1, 2, 0.1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			h := playLimits(t, 1, zonesOf25, func(h *limitHistory) {
				h.noEvents, h.callers = true, test.callers
				h.server.perSecond = test.limit
			})
			_, _, found := h.server.excess()
			g.Expect(found).To(BeFalse())
			late := 0
			for _, arrival := range h.server.arrivals {
				if arrival.at.After(h.server.namedSince.Add(countedAfterNamed)) {
					late++
				}
			}
			g.Expect(float64(late)).To(BeNumerically(">=", test.least*test.limit*(limitLength-countedAfterNamed).Seconds()))
		})
	}
}

func TestLimitHistoriesDetectInjectedFaults(t *testing.T) {
	g := NewWithT(t)
	h := playLimits(t, 1, zonesOf25, func(h *limitHistory) { h.noEvents, h.noSharing = true, true })
	received, allowed, found := h.server.excess()
	g.Expect(found).To(BeTrue(), fmt.Sprint(received, " of ", allowed))
}
