// How long fetches may last, and whether a part is fetched at all. A runner that waits for a fetch
// until its deadline then prefills the part. The deadline therefore leaves the time for that, by the
// objective of the call. A part that can be prefilled clearly faster than fetched isn't fetched.
//
// The learned prefill time and the expected time of a fetch are estimates, and each shared part that
// is prefilled takes capacity of a runner, so a fetch that is only a little slower is preferred.

package partindex

import (
	"time"

	"github.com/cometlock/cometlock/internal/mechanism"
)

const (
	// firstStepTime is the part of the time to the first event that is neither fetch nor prefill.
	firstStepTime = 30 * time.Millisecond
	// fetchPreference and fetchAllowance define how much longer than the prefill a fetch may take:
	// as many times as long, and this much in addition, which is about one transfer that another box
	// has in flight on the same link.
	fetchPreference = 1.5
	fetchAllowance  = 50 * time.Millisecond
	// droppedLateness is the least lateness that is recorded for a fetch that was dropped at its
	// deadline. With a short deadline the first event comes less than slowThreshold late.
	droppedLateness = slowThreshold + 100*time.Millisecond
)

// fetchLimits is what bounds the fetches of a plan.
type fetchLimits struct {
	// madeAt is when the plan was made, on the servers' clock, in milliseconds.
	madeAt int64
	// spare is how long after the plan was made the whole prompt can still be prefilled in time for
	// the objective. It may be negative.
	spare time.Duration
	// least is how long the fetches may last from the dispatch of the call even if the objective is
	// missed if they fail: about as long as it would take to prefill their parts.
	least time.Duration
}

// newFetchLimits returns the limits for a plan that fetches some tokens within an expected time.
func newFetchLimits(query Query, fetched int, expected time.Duration, clockMillis int64) fetchLimits {
	if query.TokenTime <= 0 {
		return fetchLimits{madeAt: clockMillis, spare: FetchTimeout}
	}
	return fetchLimits{
		madeAt: clockMillis,
		spare:  query.Left - firstStepTime - prefillTime(query, query.PromptTokens),
		least:  max(longestFetch(prefillTime(query, fetched)), time.Duration(fetchPreference*float64(expected))),
	}
}

// AfterWait returns the plan for a call that is dispatched some time after the plan was made. The
// fetches end no later than FetchTimeout after the plan was made, however long the call waited.
func (p Plan) AfterWait(waited time.Duration) Plan {
	p.FetchLimit = min(max(p.limits.spare, waited+p.limits.least), FetchTimeout)
	p.Until = p.limits.madeAt + p.FetchLimit.Milliseconds()
	return p
}

// Lateness returns how late the fetches of a plan count as, if the first event came some time later
// than expected.
func (p Plan) Lateness(overdue time.Duration) time.Duration {
	if p.FetchLimit < FetchTimeout && overdue >= p.FetchLimit {
		return max(overdue, droppedLateness)
	}
	return overdue
}

func prefillTime(query Query, tokens int) time.Duration {
	return time.Duration(tokens) * query.TokenTime
}

// longestFetch returns how long a fetch may take instead of a prefill of the given time.
func longestFetch(prefill time.Duration) time.Duration {
	return time.Duration(fetchPreference*float64(prefill)) + fetchAllowance
}

// isPrefillFaster reports whether the prefill of a part is clearly faster than its fetch. Without
// this part all later ones are prefilled as well. The caller holds mu.
func (x *Index) isPrefillFaster(query Query, at int, holder *store, now time.Time) bool {
	if query.TokenTime <= 0 {
		return false
	}
	tokens := 0
	for _, part := range query.Parts[at : len(query.Parts)-1] {
		tokens += part.Tokens
	}
	return x.fetchTime(holder, query.Parts[at].Tokens, query.BytesPerToken, now) > longestFetch(prefillTime(query, tokens))
}

// fetchTime returns the expected time of a fetch: the fetches of this box that are in flight on the
// link, the transfer itself, and how late fetches from the store box are at present. The caller
// holds mu.
func (x *Index) fetchTime(s *store, tokens, bytesPerToken int, now time.Time) time.Duration {
	queued := min(max(s.linkFreeAt.Sub(now), 0), FetchTimeout)
	return queued + moveTime(s, tokens, bytesPerToken) + x.currentLateness(s, now)
}

// currentLateness returns how much later than from the best of the other store boxes fetches are at
// present. It is zero while a probe is due: without a new sample the lateness would never be found to
// have ended. The caller holds mu.
func (x *Index) currentLateness(s *store, now time.Time) time.Duration {
	if !x.cfg.Mechanisms.Enabled(mechanism.SlowStores) || !s.lateness.isFresh(now) || now.Sub(s.lateness.probedAt) >= slowProbeInterval {
		return 0
	}
	return max(s.lateness.minimum()-x.minOfOthers(s, now), 0)
}

// noteFetches records the fetches of a plan that was dispatched. The caller holds mu.
func (x *Index) noteFetches(plan Plan, now time.Time) {
	for i, transfer := range plan.transfers {
		s := x.find(plan.Fetch[i])
		if s == nil || plan.Fetch[i] == "" {
			continue
		}
		s.lateness.probedAt = now
		if s.isSlow(now) && x.sharesLateness() {
			x.addSample(s, linkSample{id: x.nextSampleID(), at: now, probe: true}, now)
		}
		if s.linkFreeAt.Before(now) {
			s.linkFreeAt = now
		}
		s.linkFreeAt = s.linkFreeAt.Add(transfer)
		if latest := now.Add(FetchTimeout); s.linkFreeAt.After(latest) {
			s.linkFreeAt = latest // any fetch is dropped by then
		}
	}
}
