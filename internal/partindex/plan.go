// What of a prompt is fetched, from which store box, and what is saved.

package partindex

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
)

// Plan says for one prompt under one namespace what is fetched and what is saved.
type Plan struct {
	Fetch []string
	Save  []string
	// Until bounds the fetches on the servers' clock, in milliseconds.
	Until int64
	// Missing is the number of tokens that a runner without any of the prompt
	// would read.
	Missing int
	// FetchTime is the estimated time of the moves within a zone, and how late those of
	// their store boxes come.
	FetchTime time.Duration
	// Source names the store box that the largest part comes from, and FetchZone is
	// its zone; empty when nothing is fetched.
	Source    string
	FetchZone string
	// Miss says why the largest shared part is read rather than fetched; empty when it is
	// fetched, or when there is none.
	Miss Miss
}

// Miss is why a shared part is read.
type Miss string

// Why shared parts are read.
const (
	MissUnknown Miss = "unknown" // nobody is known to keep it
	MissStale   Miss = "stale"   // whoever kept it has said nothing lately
	MissRetired Miss = "retired" // it may be freed at any moment
	MissSlow    Miss = "slow"    // the link of the store box is slow
)

// NoPlan is the plan that fetches and saves nothing.
func NoPlan(parts []call.Part, promptTokens int) Plan {
	return Plan{Fetch: make([]string, len(parts)), Save: make([]string, len(parts)), Missing: promptTokens}
}

// Query asks for a plan.
type Query struct {
	Namespace string
	// Parts are those of the prompt, PromptTokens its length.
	Parts        []call.Part
	PromptTokens int
	// BytesPerToken is what a token of kept context weighs.
	BytesPerToken int
	// MayFetch reports whether a part may be fetched.
	MayFetch func(id string) bool
	// Save says that parts that no store box keeps are worth saving.
	Save bool
	// SaveIn reports whether parts may be saved in a zone; nil where they may in all.
	SaveIn func(zone string) bool
}

// Plan looks up the shared parts of a prompt.
func (x *Index) Plan(query Query) Plan {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := boottime.Now()
	parts := query.Parts
	plan := NoPlan(parts, query.PromptTokens)
	if x.clockAt.IsZero() {
		return plan // without the servers' clock a fetch could not be bounded
	}
	plan.Until = x.clock + now.Sub(x.clockAt).Milliseconds() + FetchTimeout.Milliseconds()
	largest, largestMissed := 0, 0
	contiguous := true
	for i := range max(len(parts)-1, 0) {
		part := parts[i]
		key := Key{query.Namespace, part.ID}
		s := x.holding(key, now)
		if query.Save && s == nil {
			plan.Save[i] = x.place(key, part.Tokens, query.SaveIn, now)
		}
		if s == nil || !query.MayFetch(part.ID) || s.spare(now) {
			contiguous = false
			if part.Tokens > largestMissed {
				largestMissed, plan.Miss = part.Tokens, x.missOf(query, part, s)
			}
			continue
		}
		plan.Fetch[i] = s.config.Address
		if contiguous {
			plan.Missing -= part.Tokens
		}
		// A fetch to another zone takes this long once more, so lateness makes calls
		// prefer runners in the store box's own zone.
		plan.FetchTime += moveTime(s, part.Tokens, query.BytesPerToken) + s.pace.least()
		if part.Tokens > largest {
			largest, plan.Source, plan.FetchZone = part.Tokens, s.name, s.config.Zone
		}
	}
	return plan
}

// missOf says why a part is not fetched. The caller holds mu.
func (x *Index) missOf(query Query, part call.Part, held *store) Miss {
	key := Key{query.Namespace, part.ID}
	switch {
	case held == nil && slices.ContainsFunc(x.stores, func(s *store) bool { return s.held[key] > 0 }):
		return MissStale
	case held == nil:
		return MissUnknown
	case !query.MayFetch(part.ID):
		return MissRetired
	default:
		return MissSlow
	}
}

// moveTime estimates how long a move takes within a zone, once it begins.
func moveTime(s *store, tokens, bytesPerToken int) time.Duration {
	if s.config.LinkMbps <= 0 {
		return s.config.FirstByte
	}
	megabits := float64(tokens) * float64(bytesPerToken) * 8 / 1e6
	return s.config.FirstByte + time.Duration(megabits/s.config.LinkMbps*float64(time.Second))
}

// holding finds a store box that keeps a part whole, by recent word.
func (x *Index) holding(key Key, now time.Time) *store {
	for _, s := range x.stores {
		if s.held[key] > 0 && now.Sub(s.heardAt) <= freshFor {
			return s
		}
	}
	return nil
}
