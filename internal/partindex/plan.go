// Planning: which parts of a prompt are fetched, from which store box, and which are saved.

package partindex

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/mechanism"
)

// Plan lists for one prompt under one namespace what is fetched and what is saved: per part the
// address of a store box, or the empty string.
type Plan struct {
	Fetch []string
	Save  []string
	// Until is the deadline of the fetches on the servers' clock, in milliseconds.
	Until int64
	// FetchLimit is how long after the plan was made that deadline is.
	FetchLimit time.Duration
	// Missing is the number of tokens that a runner with nothing of the prompt in its cache would
	// prefill.
	Missing int
	// FetchTime is the estimated time of the transfers within a zone, plus the lateness of fetches
	// from their store boxes.
	FetchTime time.Duration
	// Source names the store box that holds the largest fetched part, and FetchZone is its zone;
	// both are empty when nothing is fetched.
	Source    string
	FetchZone string
	// Miss is why the largest shared part that is not fetched is prefilled; empty when all shared
	// parts are fetched, or when there is none.
	// parts are fetched, or when there is none.
	Miss Miss
	// transfers holds the expected transfer time of each fetched part, and limits what bounds the
	// fetches.
	transfers []time.Duration
	limits    fetchLimits
}

// Miss is the reason why a shared part is prefilled.
type Miss string

// Reasons why shared parts are prefilled.
const (
	MissUnknown Miss = "unknown" // no store box is known to hold it
	MissStale   Miss = "stale"   // the state of the store box that held it is out of date
	MissRetired Miss = "retired" // it may be freed at any moment
	MissSlow    Miss = "slow"    // the link of the store box is slow
	// MissCheaper means that the prefill is expected to be clearly faster than the fetch.
	MissCheaper Miss = "cheaper"
)

// NoPlan returns a plan that fetches and saves nothing.
func NoPlan(parts []call.Part, promptTokens int) Plan {
	return Plan{Fetch: make([]string, len(parts)), Save: make([]string, len(parts)), Missing: promptTokens}
}

// Query describes the prompt to plan for.
type Query struct {
	Namespace string
	// Parts are the parts of the prompt, and PromptTokens is its length.
	Parts        []call.Part
	PromptTokens int
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken int
	// MayFetch reports whether a part may be fetched.
	MayFetch func(id string) bool
	// Save reports whether parts that no store box holds should be saved.
	Save bool
	// SaveIn reports whether parts may be saved in a zone; nil allows all zones.
	SaveIn func(zone string) bool
	// TokenTime is the expected prefill time of a token. Zero means that it is unknown; then fetches
	// are bounded by FetchTimeout only.
	TokenTime time.Duration
	// Left is the time left until the call's objective; negative when it has passed. It is ignored
	// if TokenTime is zero.
	Left time.Duration
}

// Plan plans the shared parts of a prompt, which are all but the last.
func (x *Index) Plan(query Query) Plan {
	boxes := 1
	if x.cfg.Boxes != nil {
		boxes = x.cfg.Boxes() // takes a lock under which others call this index
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.boxes = boxes
	now := boottime.Now()
	parts := query.Parts
	plan := NoPlan(parts, query.PromptTokens)
	if x.clockAt.IsZero() {
		return plan // without the servers' clock a fetch would have no deadline
	}
	if !x.cfg.Mechanisms.Enabled(mechanism.FetchChoice) {
		query.TokenTime = 0
	}
	largest, largestMissed := 0, 0
	fetched, expected := 0, time.Duration(0)
	contiguous := true
	for i := range max(len(parts)-1, 0) {
		part := parts[i]
		key := Key{query.Namespace, part.ID}
		s := x.findHolder(key, now)
		if query.Save && s == nil {
			plan.Save[i] = x.place(key, part.Tokens, query.SaveIn, now)
		}
		miss := x.missReason(query, i, s, now)
		if miss != "" {
			contiguous = false
			if part.Tokens > largestMissed {
				largestMissed, plan.Miss = part.Tokens, miss
			}
			continue
		}
		plan.addFetch(i, s, moveTime(s, part.Tokens, query.BytesPerToken))
		fetched, expected = fetched+part.Tokens, expected+x.fetchTime(s, part.Tokens, query.BytesPerToken, now)
		if contiguous {
			plan.Missing -= part.Tokens
		}
		// A fetch from another zone takes this long once more, so lateness makes calls prefer
		// runners in the store box's own zone.
		plan.FetchTime += moveTime(s, part.Tokens, query.BytesPerToken) + s.lateness.minimum()
		if part.Tokens > largest {
			largest, plan.Source, plan.FetchZone = part.Tokens, s.name, s.config.Zone
		}
	}
	plan.limits = newFetchLimits(query, fetched, expected, x.clock+now.Sub(x.clockAt).Milliseconds())
	return plan.AfterWait(0)
}

// addFetch adds the fetch of a part from a store box.
func (p *Plan) addFetch(part int, s *store, transfer time.Duration) {
	if p.transfers == nil {
		p.transfers = make([]time.Duration, len(p.Fetch))
	}
	p.Fetch[part], p.transfers[part] = s.config.Address, transfer
}

// missReason returns why a part is not fetched; empty if it is. The caller holds mu.
func (x *Index) missReason(query Query, at int, holder *store, now time.Time) Miss {
	part := query.Parts[at]
	key := Key{query.Namespace, part.ID}
	switch {
	case holder == nil && slices.ContainsFunc(x.stores, func(s *store) bool { return s.held[key] > 0 }):
		return MissStale
	case holder == nil:
		return MissUnknown
	case !query.MayFetch(part.ID):
		return MissRetired
	case x.avoidsFetch(holder, now):
		return MissSlow
	case x.isPrefillFaster(query, at, holder, now):
		return MissCheaper
	default:
		return ""
	}
}

// moveTime estimates the duration of a transfer within a zone, from its start.
func moveTime(s *store, tokens, bytesPerToken int) time.Duration {
	if s.config.LinkMbps <= 0 {
		return s.config.FirstByteLatency
	}
	megabits := float64(tokens) * float64(bytesPerToken) * 8 / 1e6
	return s.config.FirstByteLatency + time.Duration(megabits/s.config.LinkMbps*float64(time.Second))
}

// findHolder finds a store box that holds a complete part according to recent state.
func (x *Index) findHolder(key Key, now time.Time) *store {
	for _, s := range x.stores {
		if s.held[key] > 0 && now.Sub(s.asOf) <= freshFor {
			return s
		}
	}
	return nil
}
