// Advisories: what servers report about themselves in their responses, and what a box that received
// such a response may send them afterwards. They are drawn from their own random sequence, so that the
// other faults of a seed stay the same.

package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// LimitServer has a server announce a rate limit in its responses.
	LimitServer Kind = "limit_server"
	// DrainInResponses has a server announce in its responses that it is draining. Its registry entry
	// is updated later.
	DrainInResponses Kind = "drain_in_answers"
	// PauseServer has a server reject all calls and request a pause (Retry-After).
	PauseServer Kind = "pause_server"
)

// advisoryKinds are the kinds that PlanAdvisories draws. They are routine operations.
var advisoryKinds = []Kind{LimitServer, DrainInResponses, PauseServer}

// RateLimitPerSecond is the rate limit that servers announce, in requests per second.
const RateLimitPerSecond = 2.0

// PauseDuration is the pause that servers ask for.
const PauseDuration = 2 * time.Second

const (
	// meanAdvisoryInterval is the mean time between two advisories.
	meanAdvisoryInterval = 3 * time.Second
	// rateWindow is the sliding window in which requests to a rate-limited server are counted. From
	// rateGrace after the server announced its limit on, a window may contain rateTolerance (one and a
	// half) times the limit, plus rateSlack requests.
	rateWindow    = 4 * time.Second
	rateGrace     = syncTime
	rateTolerance = 1.5
	rateSlack     = 5
	// responseTime is the time that a response takes to reach the box. After it the box has to follow
	// the advisory in the response.
	responseTime = 500 * time.Millisecond
	// maxCallsInPause is how many calls a box may still send during a pause.
	maxCallsInPause = 2
)

// PlanAdvisories draws the advisories of a seed.
func PlanAdvisories(cfg PlanConfig) []Fault {
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	var faults []Fault
	for at := meanAdvisoryInterval / 2; at < cfg.LoadDuration; at += time.Duration(rng.ExpFloat64() * float64(meanAdvisoryInterval)) {
		faults = append(faults, drawFault(rng, cfg, advisoryKinds[rng.IntN(len(advisoryKinds))], at))
	}
	return faults
}

// Advisory is a period in which all responses of a server had the same advisory.
type Advisory struct {
	Kind      Kind
	Server    int
	At, Until time.Duration
}

// process is one incarnation of a box.
type process struct{ box, incarnation int }

// receivedCall is a call that reached a server, and the process that sent it.
type receivedCall struct {
	at, began time.Duration
	sender    process
}

// receivedBy returns the calls that reached a server in a period, ordered by time.
func (h *History) receivedBy(server int, from, until time.Duration, byID map[string]*Attempt) []receivedCall {
	var all []receivedCall
	for _, arrival := range h.Received {
		if a := byID[arrival.ID]; a != nil && arrival.Server == server && arrival.At >= from && arrival.At < until {
			all = append(all, receivedCall{at: arrival.At, began: a.Began, sender: process{a.Box, a.Incarnation}})
		}
	}
	slices.SortFunc(all, func(a, b receivedCall) int { return int(a.at - b.at) })
	return all
}

// isUndisturbed reports whether, in a period, no fault interrupted a box, a server or the connections
// between them. Reloads, advisories, leaving and cold servers interrupt nothing.
func (h *History) isUndisturbed(box, server int, from, to time.Duration) bool {
	return !h.isDisturbed(from, to, func(f Fault) bool {
		switch f.Kind.scope() {
		case oneBox:
			return f.Target == box && f.Kind != ReloadSettings
		case oneServer:
			return f.Kind == StallServers || f.Target == server && !slices.Contains(advisoryKinds, f.Kind) && f.Kind != LeaveServer && f.Kind != ColdServer
		default:
			return false
		}
	})
}

// checkAdvisories looks for calls that violate an advisory which the sending box had received, and reports
// the first one of each advisory.
func (h *History) checkAdvisories(report reportFunc) {
	byID := h.attemptsByID()
	for _, advisory := range h.Advisories {
		calls := h.receivedBy(advisory.Server, advisory.At, advisory.Until, byID)
		switch advisory.Kind {
		case LimitServer:
			h.checkLimit(advisory, calls, report)
		case DrainInResponses:
			h.checkDraining(advisory, calls, report)
		case PauseServer:
			h.checkPause(advisory, calls, report)
		}
	}
}

// firstResponses returns, for each process, the time by which it has certainly received its first
// response from a server.
func (h *History) firstResponses(server int, calls []receivedCall) map[process]time.Duration {
	informedAt := map[process]time.Duration{}
	for _, call := range calls {
		if _, found := informedAt[call.sender]; !found && h.isUndisturbed(call.sender.box, server, call.at, call.at+responseTime) {
			informedAt[call.sender] = call.at + responseTime
		}
	}
	return informedAt
}

func (h *History) checkLimit(advisory Advisory, calls []receivedCall, report reportFunc) {
	informedAt := h.firstResponses(advisory.Server, calls)
	var times []time.Duration
	for _, call := range calls {
		at, informed := informedAt[call.sender]
		if informed && call.at > at && call.at > advisory.At+rateGrace && h.isUndisturbed(call.sender.box, advisory.Server, call.at-rateWindow-syncTime, call.at) {
			times = append(times, call.at)
		}
	}
	first := 0
	for i, at := range times {
		for at-times[first] >= rateWindow {
			first++
		}
		if count := i - first + 1; float64(count) > rateTolerance*RateLimitPerSecond*rateWindow.Seconds()+rateSlack {
			report(InvariantRateLimit, "server %d announced a limit of %.1f requests per second from %v on and received %d calls in the %v before %v",
				advisory.Server, RateLimitPerSecond, advisory.At.Round(time.Millisecond), count, rateWindow, at.Round(time.Millisecond))
			return
		}
	}
}

func (h *History) checkDraining(advisory Advisory, calls []receivedCall, report reportFunc) {
	informedAt := h.firstResponses(advisory.Server, calls)
	for _, call := range calls {
		at, informed := informedAt[call.sender]
		if informed && call.began > at+leaveDeadline && h.isUndisturbed(call.sender.box, advisory.Server, at, call.at) {
			report(InvariantDraining, "server %d announced to box %d/%d before %v that it is draining, but received a call at %v",
				advisory.Server, call.sender.box, call.sender.incarnation, at.Round(time.Millisecond), call.at.Round(time.Millisecond))
			return
		}
	}
}

func (h *History) checkPause(advisory Advisory, calls []receivedCall, report reportFunc) {
	for i, pauseCall := range calls {
		end := pauseCall.at + PauseDuration
		if !h.isUndisturbed(pauseCall.sender.box, advisory.Server, pauseCall.at, end) {
			continue
		}
		count := 0
		for _, call := range calls[i+1:] {
			if call.sender == pauseCall.sender && call.at > pauseCall.at+responseTime && call.at < end {
				count++
			}
		}
		if count > maxCallsInPause {
			report(InvariantPause, "server %d asked box %d/%d for a pause of %v at %v, but received %d calls from it",
				advisory.Server, pauseCall.sender.box, pauseCall.sender.incarnation, PauseDuration, pauseCall.at.Round(time.Millisecond), count)
			return
		}
	}
}
