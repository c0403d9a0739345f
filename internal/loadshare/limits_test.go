// A server may name the rate of requests that it takes from all boxes together. Boxes share no counter,
// so these tests play random histories: boxes start again, links and zones are cut, and the limit
// changes, ends and is named again, while every box has calls for the server all the time.

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
)

const (
	limitLength = 40 * time.Second
	limitStep   = 20 * time.Millisecond
	// limitWindow is the span in which requests are counted, and limitKnown how long after its first
	// answer with a limit a box is counted.
	limitWindow = 4 * time.Second
	limitKnown  = 500 * time.Millisecond
	// limitGrace is how long after a server first named its limit nothing is counted.
	limitGrace = contactTime
	// limitExcused is how long a box is not counted after it started.
	limitExcused = limitWindow
	// wayThere is the time of a request, and of an answer, on its way at most.
	wayThere = 30 * time.Millisecond
)

// limitedServer names a limit and keeps a ledger of what it gets.
type limitedServer struct {
	perSecond float64
	// namedSince is since when it names a limit without a break.
	namedSince time.Time
	ledger     []limitedArrival
}

type limitedArrival struct {
	at  time.Time
	box string
	// counts says that the box must have known of the limit.
	counts bool
	// limit is the least that was named in the window before.
	limit float64
}

// limitedBox is a box that calls the server.
type limitedBox struct {
	*actor
	fleet *fleet.Fleet
	// answeredAt is when it first got an answer with the present limit.
	answeredAt, startedAt time.Time
}

// message is a request or an answer on its way.
type message struct {
	at     time.Time
	arrive func()
}

// limitHistory is one history.
type limitHistory struct {
	*history
	server limitedServer
	boxes  []*limitedBox
	// passing are requests and answers on their way.
	passing []message
	// calm says that nothing happens to the boxes, callers how many of them have calls.
	calm    bool
	callers int
	// alone plants a fault: each box takes the whole limit for its own.
	alone bool
}

func (h *limitHistory) start(ctx context.Context, b *limitedBox) {
	position := func(zone, server string) advisory.Position { return b.share.LimitPosition(zone, server) }
	if h.alone {
		position = nil
	}
	b.fleet = fleet.New(fleet.Config{Logger: zerolog.Nop(), LimitPosition: position})
	b.fleet.Apply([]fleet.Update{{Key: "s", Offset: 1, Server: &fleet.Server{Incarnation: "s", Service: "s", Zone: "zone-0", Slots: 4}}})
	b.answeredAt, b.startedAt = time.Time{}, time.Now()
	h.beginWith(ctx, b.actor, b.fleet)
}

// call has a box call the server, if it may.
func (h *limitHistory) call(b *limitedBox) {
	hold := b.fleet.Choose(fleet.Query{Service: "s", Zone: b.zone})
	if hold == nil {
		return
	}
	sent, at := time.Now(), b.fleet
	there, back := time.Duration(h.random.Int64N(int64(wayThere))), time.Duration(h.random.Int64N(int64(wayThere)))
	lost := h.random.IntN(20) == 0
	h.after(there, func() {
		now := time.Now()
		counts := !b.answeredAt.IsZero() && now.Sub(b.answeredAt) > limitKnown && now.Sub(b.startedAt) > limitExcused && h.server.perSecond > 0 && now.Sub(h.server.namedSince) > limitGrace
		h.server.ledger = append(h.server.ledger, limitedArrival{at: now, box: b.name, counts: counts, limit: h.server.perSecond})
		answer := advisory.Answer{Sent: sent, Genuine: true}
		if h.server.perSecond > 0 {
			answer.Limit, answer.PerSecond = advisory.LimitNamed, h.server.perSecond
		}
		h.after(back, func() {
			hold.Done(fleet.OutcomeServed)
			if lost {
				return
			}
			answer.Received = time.Now()
			at.ApplyAdvisory("s", answer)
			if at == b.fleet && b.answeredAt.IsZero() && answer.Limit == advisory.LimitNamed {
				b.answeredAt = time.Now()
			}
		})
	})
}

// setLimit has the server name another limit; zero for none.
func (h *limitHistory) setLimit(perSecond float64) {
	if perSecond > 0 && h.server.perSecond == 0 {
		h.server.namedSince = time.Now()
		for _, b := range h.boxes {
			b.answeredAt = time.Time{}
		}
	}
	h.server.perSecond = perSecond
}

// disturb has something happen to a box, to links, or to the limit.
func (h *limitHistory) disturb(ctx context.Context) {
	b := h.boxes[h.random.IntN(len(h.boxes))]
	switch h.random.IntN(8) {
	case 0:
		b.stop()
		b.stopped.Wait()
		h.start(ctx, b)
	case 1:
		for _, other := range h.boxes {
			if (other.zone == b.zone) != (h.random.IntN(2) == 0) {
				h.fabric.setCut(b.name, other.name, true)
				h.fabric.setCut(other.name, b.name, true)
			}
		}
	case 2:
		h.setLimit(0)
	case 3, 4:
		h.setLimit([]float64{0.3, 2, 2.1, 10}[h.random.IntN(4)])
	default:
		h.fabric.heal()
	}
}

// play plays the history.
func (h *limitHistory) play(ctx context.Context) {
	const disturbance = 0.02
	for end := time.Now().Add(limitLength); time.Now().Before(end); time.Sleep(limitStep) {
		if !h.calm && h.random.Float64() < disturbance {
			h.disturb(ctx)
		}
		for _, b := range h.boxes[:h.callers] {
			if h.random.IntN(4) == 0 {
				h.call(b)
			}
		}
		h.arrive()
	}
}

// after has a message arrive later.
func (h *limitHistory) after(length time.Duration, arrive func()) {
	h.passing = append(h.passing, message{time.Now().Add(length), arrive})
}

// arrive has the messages arrive whose time has come.
func (h *limitHistory) arrive() {
	now := time.Now()
	passing := h.passing
	h.passing = nil
	for _, m := range passing {
		if now.Before(m.at) {
			h.passing = append(h.passing, m)
		} else {
			m.arrive()
		}
	}
}

// excess gives the span in which the most requests came beyond what was allowed, and how many there
// were and might have been; false when there was none.
func (s *limitedServer) excess() (came int, allowed float64, found bool) {
	for i, last := range s.ledger {
		most, count := 0.0, 0
		for j := i; j >= 0 && last.at.Sub(s.ledger[j].at) < limitWindow; j-- {
			if s.ledger[j].counts {
				count++
			}
			most = max(most, s.ledger[j].limit)
		}
		limit := 1.5*most*limitWindow.Seconds() + 5
		if last.counts && float64(count) > limit && float64(count)-limit > float64(came)-allowed {
			came, allowed, found = count, limit, true
		}
	}
	return came, allowed, found
}

// counted is how many requests came from boxes that must have known of the limit.
func (s *limitedServer) counted() int {
	count := 0
	for _, arrival := range s.ledger {
		if arrival.counts {
			count++
		}
	}
	return count
}

func playLimits(t *testing.T, seed uint64, zones []int, plant func(h *limitHistory)) *limitHistory {
	t.Helper()
	h := &limitHistory{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h.history = &history{t: t, random: rand.New(rand.NewPCG(seed, 3)), fabric: newFabric(), named: 1}
		defer h.finish(cancel)
		h.place(zones)
		for _, a := range h.actors {
			h.boxes = append(h.boxes, &limitedBox{actor: a})
		}
		h.callers = len(h.boxes)
		h.server.perSecond, h.server.namedSince = 2, time.Now()
		plant(h)
		for _, b := range h.boxes {
			h.start(ctx, b)
		}
		h.play(ctx)
	})
	return h
}

func TestAllBoxesTogetherKeepTheRateLimitOfAServer(t *testing.T) {
	counted := 0
	for _, zones := range [][]int{{3, 2}, {9, 8, 8}} {
		for _, seed := range seedsOf(t, 2) {
			h := playLimits(t, seed, zones, func(*limitHistory) {})
			came, allowed, found := h.server.excess()
			counted += h.server.counted()
			if found {
				t.Errorf("seed %d, zones %v: %d requests in %v, %.1f allowed", seed, zones, came, limitWindow, allowed)
			}
		}
	}
	t.Log(counted, "requests counted")
	if counted == 0 {
		t.Error("no request was counted: nothing was tested")
	}
}

// The limit is not kept by sending nothing, whichever boxes have calls.
func TestALimitedServerIsUsed(t *testing.T) {
	tests := []struct {
		name    string
		callers int
		limit   float64
		least   float64
	}{
		{"all boxes call it", 25, 2, 0.8},
		{"all boxes call it rarely", 25, 0.3, 0.8},
		{"one box calls it", 1, 2, 0.1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			h := playLimits(t, 1, zonesOf25, func(h *limitHistory) {
				h.calm, h.callers = true, test.callers
				h.server.perSecond = test.limit
			})
			_, _, found := h.server.excess()
			g.Expect(found).To(BeFalse())
			late := 0
			for _, arrival := range h.server.ledger {
				if arrival.at.After(h.server.namedSince.Add(limitGrace)) {
					late++
				}
			}
			g.Expect(float64(late)).To(BeNumerically(">=", test.least*test.limit*(limitLength-limitGrace).Seconds()))
		})
	}
}

func TestTheHistoriesOfLimitsFindPlantedFaults(t *testing.T) {
	g := NewWithT(t)
	h := playLimits(t, 1, zonesOf25, func(h *limitHistory) { h.calm, h.alone = true, true })
	came, allowed, found := h.server.excess()
	g.Expect(found).To(BeTrue(), fmt.Sprint(came, " of ", allowed))
}
