package replay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/simulated"
)

// playBrittle replays calls of some boxes to as many servers in proportion as in a fleet of 8 boxes and
// 6 servers, at a multiple of what the servers can serve.
func playBrittle(t *testing.T, boxes int, load float64, prepare func(h *brittleHistory)) *brittleHistory {
	t.Helper()
	h := &brittleHistory{brittle: true, stopped: 1, waiting: map[*fleet.Fleet][]brittleCall{}, listening: map[string]*brittleServer{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h.Fleet, h.random = simulated.NewFleet(t, []int{boxes / 2, boxes - boxes/2}), rand.New(rand.NewPCG(uint64(boxes), 3))
		defer h.Stop(cancel)
		for i := range boxes * 6 / 8 {
			server := &brittleServer{key: fmt.Sprint("server-", i)}
			h.servers, h.listening[server.name()] = append(h.servers, server), server
		}
		h.perSecond = load * float64(len(h.servers)*brittleAtWork) / brittleWorkTime.Seconds()
		prepare(h)
		for _, b := range h.Boxes {
			h.startBox(ctx, b)
		}
		time.Sleep(2 * time.Second) // until the boxes get reports of each other
		h.play()
	})
	return h
}

func TestBrittleServersKeepServingInAReplay(t *testing.T) {
	t.Parallel()
	for _, boxes := range []int{8, 80} {
		for _, load := range []float64{1.15, 2.2} {
			t.Run(fmt.Sprint(boxes, " boxes, load ", load), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				played := playInParallel(t, func(t *testing.T, brittle bool) *brittleHistory {
					return playBrittle(t, boxes, load, func(h *brittleHistory) { h.brittle = brittle })
				})
				usual, h := played[false], played[true]
				_, room, _ := h.fleets[0].CountBrittle()
				share := 0
				for _, boxFleet := range h.fleets {
					_, _, own := boxFleet.CountBrittle()
					share += own
				}
				t.Logf("%d calls: %d served, %d refused by servers and %d falls of %d servers; %d served by servers that aren't brittle; room %.1f, %d in shares", h.sent, h.served, h.refused, h.falls(), len(h.servers), usual.served, room, share)
				g.Expect(h.falls()).To(BeNumerically("<=", 1+len(h.servers)/20))
				g.Expect(float64(h.served)).To(BeNumerically(">=", 0.9*float64(usual.served)))
			})
		}
	}
}

// playInParallel plays two replays at the same time, and returns them by their argument.
func playInParallel(t *testing.T, play func(t *testing.T, which bool) *brittleHistory) map[bool]*brittleHistory {
	t.Helper()
	var mu sync.Mutex
	played := map[bool]*brittleHistory{}
	t.Run("replays", func(t *testing.T) { // it ends when both have ended
		for _, which := range []bool{false, true} {
			t.Run(strconv.FormatBool(which), func(t *testing.T) {
				t.Parallel()
				h := play(t, which)
				mu.Lock()
				defer mu.Unlock()
				played[which] = h
			})
		}
	})
	return played
}

// The replay must show when the bound is missing, or the slow return of servers.
func TestBrittleReplaysDetectInjectedFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		prepare func(h *brittleHistory)
	}{
		{"each box has its own bound", func(h *brittleHistory) { h.ownBound = true }},
		{"servers that come back are filled at once", func(h *brittleHistory) { h.noSlowReturn = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			played := playInParallel(t, func(t *testing.T, faulty bool) *brittleHistory {
				return playBrittle(t, 8, 1.15, func(h *brittleHistory) {
					h.stopped = 3
					if faulty {
						test.prepare(h)
					}
				})
			})
			sound, h := played[false], played[true]
			t.Logf("%d calls: %d served and %d falls; %d served and %d falls without the fault", h.sent, h.served, h.falls(), sound.served, sound.falls())
			g.Expect(h.falls()).To(BeNumerically(">", 1+len(h.servers)/20))
			g.Expect(sound.falls()).To(BeNumerically("<=", 1+len(h.servers)/20))
		})
	}
}
