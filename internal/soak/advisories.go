// What servers say of themselves in their answers, and what boxes that got such an answer may send them
// afterwards. It is drawn apart from the other faults, so that a seed's other faults stay as they are.

package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// LimitServer has a server name a rate limit in its answers.
	LimitServer Kind = "limit_server"
	// DrainInAnswers has a server say in its answers that it drains; its entry says so later.
	DrainInAnswers Kind = "drain_in_answers"
	// PauseServer has a server turn all calls away and ask for pauses.
	PauseServer Kind = "pause_server"
)

// advisories are the kinds that PlanAdvisories draws. They are ordinary work.
var advisories = []Kind{LimitServer, DrainInAnswers, PauseServer}

// RateLimitPerSecond is the rate limit that servers name, in requests a second.
const RateLimitPerSecond = 2.0

// PauseDuration is the pause that servers ask for.
const PauseDuration = 2 * time.Second

const (
	// advisoriesEvery is the mean time between two of them.
	advisoriesEvery = 3 * time.Second
	// limitWindow is the span in which requests to a limited server are counted; from limitGrace after it
	// named its limit, one and a half times the limit and limitSlack more may come.
	limitWindow  = 4 * time.Second
	limitGrace   = contact
	limitOverage = 1.5
	limitSlack   = 5
	// answerTime is the time of an answer to a box, after which what it says binds the box.
	answerTime = 500 * time.Millisecond
	// pausedAllowed is how many calls may still come from a box in a pause.
	pausedAllowed = 2
)

// PlanAdvisories draws the advisories of a seed.
func PlanAdvisories(cfg PlanConfig) []Fault {
	chance := rand.New(rand.NewPCG(cfg.Seed, 2))
	var faults []Fault
	for at := advisoriesEvery / 2; at < cfg.LoadDuration; at += time.Duration(chance.ExpFloat64() * float64(advisoriesEvery)) {
		faults = append(faults, draw(chance, cfg, advisories[chance.IntN(len(advisories))], at))
	}
	return faults
}

// Advisory is a time in which a server said something of itself in all of its answers.
type Advisory struct {
	Kind      Kind
	Server    int
	At, Until time.Duration
}

// process is one life of a box.
type process struct{ box, life int }

// received is a call that came to a server, and the process that sent it.
type received struct {
	at, began time.Duration
	from      process
}

// receivedBy lists the calls that came to a server within a span of time, in their order.
func (h *History) receivedBy(server int, from, until time.Duration, byID map[string]*Attempt) []received {
	var all []received
	for _, arrival := range h.Received {
		if a := byID[arrival.ID]; a != nil && arrival.Server == server && arrival.At >= from && arrival.At < until {
			all = append(all, received{at: arrival.At, began: a.Began, from: process{a.Box, a.Incarnation}})
		}
	}
	slices.SortFunc(all, func(a, b received) int { return int(a.at - b.at) })
	return all
}

// undisturbed reports whether nothing happened to a box, or to a server and the ways to it, in a span of
// time.
func (h *History) undisturbed(box, server int, from, to time.Duration) bool {
	return !h.disturbed(from, to, func(f Fault) bool {
		switch f.Kind.touches() {
		case oneBox:
			return f.Target == box && f.Kind != ReloadSettings
		case oneServer:
			return f.Kind == StallServers || f.Target == server && !slices.Contains(advisories, f.Kind) && f.Kind != LeaveServer && f.Kind != ColdServer
		default:
			return false
		}
	})
}

// checkAdvisories looks for calls that go against what a server had said to the box that sent them, and
// reports the first for each advisory.
func (h *History) checkAdvisories(report reporter) {
	byID := h.byID()
	for _, advisory := range h.Advisories {
		calls := h.receivedBy(advisory.Server, advisory.At, advisory.Until, byID)
		switch advisory.Kind {
		case LimitServer:
			h.checkLimit(advisory, calls, report)
		case DrainInAnswers:
			h.checkDraining(advisory, calls, report)
		case PauseServer:
			h.checkPause(advisory, calls, report)
		}
	}
}

// toldAt gives when each process had its first answer of a server for certain.
func (h *History) toldAt(server int, calls []received) map[process]time.Duration {
	told := map[process]time.Duration{}
	for _, call := range calls {
		if _, known := told[call.from]; !known && h.undisturbed(call.from.box, server, call.at, call.at+answerTime) {
			told[call.from] = call.at + answerTime
		}
	}
	return told
}

func (h *History) checkLimit(advisory Advisory, calls []received, report reporter) {
	told := h.toldAt(advisory.Server, calls)
	var times []time.Duration
	for _, call := range calls {
		at, known := told[call.from]
		if known && call.at > at && call.at > advisory.At+limitGrace && h.undisturbed(call.from.box, advisory.Server, call.at-limitWindow-contact, call.at) {
			times = append(times, call.at)
		}
	}
	first := 0
	for i, at := range times {
		for at-times[first] >= limitWindow {
			first++
		}
		if count := i - first + 1; float64(count) > limitOverage*RateLimitPerSecond*limitWindow.Seconds()+limitSlack {
			report(InvariantRateLimit, "server %d takes %.1f a second from %v on, and got %d calls in the %v before %v",
				advisory.Server, RateLimitPerSecond, advisory.At.Round(time.Millisecond), count, limitWindow, at.Round(time.Millisecond))
			return
		}
	}
}

func (h *History) checkDraining(advisory Advisory, calls []received, report reporter) {
	told := h.toldAt(advisory.Server, calls)
	for _, call := range calls {
		at, known := told[call.from]
		if known && call.began > at+leaveLimit && h.undisturbed(call.from.box, advisory.Server, at, call.at) {
			report(InvariantDraining, "server %d had said to box %d/%d before %v that it drains, and was reached at %v",
				advisory.Server, call.from.box, call.from.life, at.Round(time.Millisecond), call.at.Round(time.Millisecond))
			return
		}
	}
}

func (h *History) checkPause(advisory Advisory, calls []received, report reporter) {
	for i, asked := range calls {
		end := asked.at + PauseDuration
		if !h.undisturbed(asked.from.box, advisory.Server, asked.at, end) {
			continue
		}
		count := 0
		for _, call := range calls[i+1:] {
			if call.from == asked.from && call.at > asked.at+answerTime && call.at < end {
				count++
			}
		}
		if count > pausedAllowed {
			report(InvariantPause, "server %d asked box %d/%d for %v at %v, and got %d calls from it",
				advisory.Server, asked.from.box, asked.from.life, PauseDuration, asked.at.Round(time.Millisecond), count)
			return
		}
	}
}
