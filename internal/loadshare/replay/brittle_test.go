// Brittle servers fall over when they refuse too many calls within a second. These tests replay calls
// of many boxes to such servers, whose room shrinks, in virtual time.

package replay_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/placing"
	"github.com/cometlock/cometlock/internal/simulated"
)

const (
	brittleLength = 12 * time.Second
	brittleStep   = time.Millisecond
	// Servers state that they are brittle from brittleBegin, and fall over from brittleContact later.
	// From then on they have less room, also if they aren't brittle.
	brittleBegin   = 2 * time.Second
	brittleContact = 3 * time.Second
	// Some servers stop for another reason at brittleStop.
	brittleStop        = 3 * time.Second
	brittleDown        = 4 * time.Second
	brittleMaxRefusals = 4
	brittleAtWork      = 6
	brittleRoom        = 9
	brittleShrunkRoom  = 6
	brittleWorkTime    = 70 * time.Millisecond
	// A server that has just started holds one call, and all only after brittleWarmUp.
	brittleWarmUp = time.Second
	// brittleTransit is the longest transit time of a request or an answer.
	brittleTransit = 4 * time.Millisecond
	// brittleAttempts is how many servers a call is sent to at most.
	brittleAttempts = 2
	// brittleObjective is the objective of the calls. A call to brittle servers that finds none waits in
	// its box for a part of it, as in package gateway. All are checked again each brittleRecheck.
	brittleObjective = 300 * time.Millisecond
	brittleRecheck   = 4 * time.Millisecond
)

// brittleServer is a server with a bounded queue.
type brittleServer struct {
	key         string
	incarnation int
	startedAt   time.Time
	upAt        time.Time
	// held counts the calls at work and waiting, and queue has those that wait.
	held, atWork int
	queue        []func()
	refusals     []time.Time
	falls        int
}

// name returns the name of the incarnation.
func (s *brittleServer) name() string { return s.key + "-" + strconv.Itoa(s.incarnation) }

// brittleCall is a call; tried has the servers that it was sent to.
type brittleCall struct {
	waitUntil time.Time
	tried     []string
}

// brittleHistory is one replay.
type brittleHistory struct {
	*simulated.Fleet
	simulated.Transit
	random *rand.Rand
	fleets []*fleet.Fleet
	// waiting has the calls that wait in each box.
	waiting map[*fleet.Fleet][]brittleCall
	servers []*brittleServer
	// listening has the servers by the names of their present incarnations.
	listening map[string]*brittleServer
	begin     time.Time
	// brittle is whether the servers ever are. perSecond is the rate of calls.
	brittle      bool
	perSecond    float64
	sent, served int
	// refused counts the calls that servers refused while they were brittle.
	refused int
	// ownBound injects the fault that each box uses all the room itself, and noSlowReturn that servers
	// which come back are filled at once.
	ownBound, noSlowReturn bool
	// stopped is the number of servers that stop for another reason.
	stopped int
}

func (h *brittleHistory) startBox(ctx context.Context, b *simulated.Box) {
	cfg := fleet.Config{Logger: zerolog.Nop(), LimitPosition: func(zone, server string) advisory.Position { return b.Share.LimitPosition(zone, server) }}
	cfg.OnRoomChange = func() { b.Share.SendNow() }
	if h.ownBound {
		cfg.LimitPosition = nil
	}
	if h.noSlowReturn {
		cfg.Mechanisms, _ = mechanism.Parse(string(mechanism.SlowReturn))
	}
	boxFleet := fleet.New(cfg)
	h.fleets = append(h.fleets, boxFleet)
	for _, server := range h.servers {
		server.list(boxFleet, 1)
	}
	h.Start(ctx, b, boxFleet, 1)
}

// list writes the server's entry into a box's view of the registry.
func (s *brittleServer) list(boxFleet *fleet.Fleet, offset int64) {
	boxFleet.Apply([]fleet.Update{{Key: s.key, Offset: offset, Server: &fleet.Server{Incarnation: s.name(), Service: "s", Zone: "zone-0", Slots: brittleRoom}}})
}

// room returns how many calls a server holds now.
func (h *brittleHistory) room(s *brittleServer, now time.Time) int {
	room := brittleRoom
	if now.Sub(h.begin) >= brittleBegin+brittleContact {
		room = brittleShrunkRoom
	}
	if s.incarnation > 0 {
		warm := min(float64(now.Sub(s.startedAt))/float64(brittleWarmUp), 1)
		room = max(int(float64(room)*warm), 1)
	}
	return room
}

// call sends a call from a box if a server may take it. It waits behind others in the box, and if no
// server takes it while they are brittle.
func (h *brittleHistory) call(box *fleet.Fleet, call brittleCall) {
	if len(h.waiting[box]) == 0 && h.place(box, call) || !box.IsBrittle("s") {
		return
	}
	h.waiting[box] = append(h.waiting[box], call)
}

// recheck sends the calls that wait in a box, as far as there are servers for them.
func (h *brittleHistory) recheck(box *fleet.Fleet) {
	waiting, now := h.waiting[box], time.Now()
	for len(waiting) > 0 && (now.After(waiting[0].waitUntil) || h.place(box, waiting[0])) {
		waiting = waiting[1:]
	}
	h.waiting[box] = waiting
}

// place sends a call from a box, and reports whether a server may take it.
func (h *brittleHistory) place(box *fleet.Fleet, call brittleCall) bool {
	hold := box.Choose(fleet.Query{Service: "s", Zone: "zone-0", Exclude: call.tried, Load: placing.Query{TieBreaker: h.random.Uint64()}})
	if hold == nil {
		return false
	}
	sent, target := time.Now(), hold.Server().Incarnation
	answer := func(outcome fleet.Outcome) {
		h.DeliverAfter(h.transit(), func() {
			answered := advisory.Answer{Sent: sent, Received: time.Now(), Genuine: true}
			if h.brittle && time.Since(h.begin) >= brittleBegin {
				answered.Brittle, answered.MaxRefusals = advisory.LimitNamed, brittleMaxRefusals
			}
			if outcome != fleet.OutcomeUnreachable {
				box.ApplyAdvisory(target, answered)
			}
			hold.Done(outcome)
			switch {
			case outcome == fleet.OutcomeServed:
				h.served++
			case len(call.tried)+1 < brittleAttempts:
				h.call(box, brittleCall{call.waitUntil, append(call.tried, target)})
			}
			h.recheck(box)
		})
	}
	h.DeliverAfter(h.transit(), func() {
		if server := h.listening[target]; server != nil {
			h.arrive(server, answer)
			return
		}
		answer(fleet.OutcomeUnreachable)
	})
	return true
}

// arrive gives a call to a server.
func (h *brittleHistory) arrive(s *brittleServer, answer func(fleet.Outcome)) {
	now := time.Now()
	switch {
	case now.Before(s.upAt):
		answer(fleet.OutcomeUnreachable)
	case s.held >= h.room(s, now):
		for len(s.refusals) > 0 && now.Sub(s.refusals[0]) >= time.Second {
			s.refusals = s.refusals[1:]
		}
		s.refusals = append(s.refusals, now)
		h.refused++
		answer(fleet.OutcomeFull)
		if h.brittle && now.Sub(h.begin) >= brittleBegin+brittleContact && len(s.refusals) > brittleMaxRefusals {
			s.falls++
			h.stopServer(s)
		}
	default:
		s.held++
		s.queue = append(s.queue, func() { h.work(s, answer) })
		h.startWork(s)
	}
}

func (h *brittleHistory) startWork(s *brittleServer) {
	for s.atWork < brittleAtWork && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.atWork++
		next()
	}
}

func (h *brittleHistory) work(s *brittleServer, answer func(fleet.Outcome)) {
	incarnation := s.incarnation
	h.DeliverAfter(brittleWorkTime, func() {
		if s.incarnation != incarnation || time.Now().Before(s.upAt) {
			answer(fleet.OutcomeUnreachable)
			return
		}
		s.held--
		s.atWork--
		answer(fleet.OutcomeServed)
		h.startWork(s)
	})
}

// stopServer stops a server, which comes back as a new incarnation.
func (h *brittleHistory) stopServer(s *brittleServer) {
	s.held, s.atWork, s.queue, s.refusals = 0, 0, nil, nil
	s.upAt = time.Now().Add(brittleDown)
	delete(h.listening, s.name())
	s.incarnation++ // the calls of the stopped one end without an answer
	h.listening[s.name()] = s
	h.DeliverAfter(brittleDown, func() {
		s.startedAt = time.Now()
		for _, boxFleet := range h.fleets {
			s.list(boxFleet, int64(s.incarnation)+1)
		}
	})
}

func (h *brittleHistory) transit() time.Duration {
	return time.Duration(h.random.Int64N(int64(brittleTransit)))
}

// play runs the replay.
func (h *brittleHistory) play() {
	due, stopped := 0.0, false
	h.begin = time.Now()
	rechecked := h.begin
	for time.Since(h.begin) < brittleLength {
		if !stopped && time.Since(h.begin) >= brittleStop {
			stopped = true
			for _, server := range h.servers[:h.stopped] {
				h.stopServer(server)
			}
		}
		for due += h.perSecond * brittleStep.Seconds(); due >= 1; due-- {
			h.sent++
			wait := time.Duration(placing.WaitFraction * float64(brittleObjective))
			h.call(h.fleets[h.random.IntN(len(h.fleets))], brittleCall{waitUntil: time.Now().Add(wait)})
		}
		h.DeliverDue()
		if time.Since(rechecked) >= brittleRecheck {
			rechecked = time.Now()
			for _, box := range h.fleets {
				h.recheck(box)
			}
		}
		time.Sleep(brittleStep)
	}
}

// falls returns how often servers fell over.
func (h *brittleHistory) falls() (falls int) {
	for _, server := range h.servers {
		falls += server.falls
	}
	return falls
}
