// Recording finished calls: metrics, and one log line for each call.

package gateway

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/telemetry"
)

// metrics are the counters and histograms of calls.
type metrics struct {
	scope tally.Scope
}

func newMetrics(scope tally.Scope) metrics { return metrics{scope} }

func (m metrics) attemptFailed(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("tries_failed").Inc(1)
}

func (m metrics) callEnded(route string, x *exchange, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{"route": route, "outcome": string(x.outcome)})
	scope.Counter("calls").Inc(1)
	scope.Histogram("call_seconds", telemetry.LatencyBuckets()).RecordDuration(took)
	if !x.firstEventAt.IsZero() {
		scope.Histogram("first_event_seconds", telemetry.LatencyBuckets()).RecordDuration(x.firstEventAt.Sub(x.arrived))
	}
	perRoute := m.scope.Tagged(map[string]string{"route": route})
	recordStages(perRoute, x)
	recordTokens(perRoute, x)
}

// recordStages records how long a call took before it was sent to a server.
func recordStages(scope tally.Scope, x *exchange) {
	if x.bodyReadAt.IsZero() {
		return
	}
	measure := func(stage string, took time.Duration) {
		scope.Tagged(map[string]string{"stage": stage}).Histogram("stage_seconds", telemetry.LatencyBuckets()).RecordDuration(took)
	}
	measure("receive", x.bodyReadAt.Sub(x.arrived))
	measure("place", x.placeTime)
}

// recordTokens counts the prompt tokens of a served call by their source, and records the time to
// the first event of calls with fetched tokens.
func recordTokens(scope tally.Scope, x *exchange) {
	prompt, plan := x.info.Prompt, x.placement.plan
	if prompt == nil || x.placement.namespace == "" || x.outcome != outcomeServed {
		return
	}
	scope.Tagged(map[string]string{"from": "store_box"}).Counter("prompt_tokens").Inc(int64(prompt.Tokens - plan.Missing))
	scope.Tagged(map[string]string{"from": "runner"}).Counter("prompt_tokens").Inc(int64(plan.Missing))
	if plan.Source != "" && !x.firstEventAt.IsZero() {
		fetched := scope.Tagged(map[string]string{"store_box": plan.Source})
		fetched.Histogram("fetched_first_event_seconds", telemetry.LatencyBuckets()).RecordDuration(x.firstEventAt.Sub(x.arrived))
	}
}

// largestSharedPart returns the id of the largest part that a prompt shares with others; empty if
// it shares none.
func largestSharedPart(prompt *call.Prompt) (id string) {
	largest := 0
	for _, part := range prompt.Parts[:max(len(prompt.Parts)-1, 0)] {
		if part.Tokens > largest {
			largest, id = part.Tokens, part.ID
		}
	}
	return id
}

// countSaves returns the number of parts that a plan saves.
func countSaves(plan partindex.Plan) int {
	count := 0
	for _, address := range plan.Save {
		if address != "" {
			count++
		}
	}
	return count
}

// recordCall records the metrics of a call and writes its log line.
func (g *Gateway) recordCall(x *exchange) {
	took := boottime.Since(x.arrived)
	route := ""
	if x.route != nil {
		route = x.service.Name
	}
	g.metrics.callEnded(route, x, took)
	event := g.cfg.Logger.Info()
	if x.outcome != outcomeServed && x.outcome != outcomeGone {
		event = g.cfg.Logger.Warn()
	}
	event.Str("request", x.info.RequestID).Str("outcome", string(x.outcome)).Int("status", x.status).
		Dur("took", took).Int("tries", len(x.attempted)).Int("events", x.eventsSent).Int64("bytes", x.bytesSent)
	if x.reason != "" {
		event.Str("reason", x.reason)
	}
	if x.route != nil {
		event.Str("route", x.route.Name).Int64("configuration", x.catalog.Version())
	}
	if x.organisation != nil {
		event.Str("organisation", x.organisation.Name)
		if x.outcome == outcomeRefused {
			event.Bool("above_share", x.aboveShare)
		}
	}
	if !x.firstEventAt.IsZero() {
		event.Dur("first_event", x.firstEventAt.Sub(x.arrived))
	}
	if x.info.ResumeAfter != "" {
		event.Str("resumes", x.info.Resumes).Str("resume_after", x.info.ResumeAfter)
	}
	addPlacementFields(event, x)
	g.addLossFields(event, x)
	event.Msg("call")
}

// addLossFields adds, for a call whose response was lost, which side closed the connection and what
// was left of time and retries.
func (g *Gateway) addLossFields(event *zerolog.Event, x *exchange) {
	if x.outcome != outcomeBroken && x.outcome != outcomeUnknown {
		return
	}
	event.Str("ended_by", string(x.lossClosedBy)).Dur("left", boottime.Until(x.deadline)).Int("servers_seen", x.serversReached).
		Float64("retries_saved", g.retryBudget(x).State().Balance)
	if now := g.cfg.Catalog(); now != nil {
		event.Int64("configuration_at_end", now.Version())
	}
}

// addPlacementFields adds the server of a call, or why none could take it, and what was fetched of
// its prompt.
func addPlacementFields(event *zerolog.Event, x *exchange) {
	if hold := x.placement.hold; hold != nil {
		event.Str("server", hold.Server().Incarnation).Str("software", hold.Server().Software).Int("weights", hold.Weights()).Dur("servers_age", x.placement.serverListAge)
		if gone := hold.DelistedFor(); gone > 0 {
			event.Dur("gone_for", gone)
		}
		if hold.Cold() {
			event.Bool("cold", true)
		}
		if hold.Limited() {
			event.Bool("rate_limited", true)
		}
		if hold.Brittle() {
			event.Bool("brittle", true)
		}
	}
	if x.reason == reasonNoServer || x.reason == reasonEvacuated || x.reason == reasonNoRegion || x.reason == reasonLimited || x.reason == reasonBrittle {
		counts := x.shortage
		event.Int("servers", counts.Listed).Int("sound", counts.Usable).Int("without_slot", counts.WithoutSlot).Int("without_share", counts.WithoutShare).Int("without_time", counts.WithoutTime).Int("without_memory", counts.WithoutMemory).
			Int("in_flight", counts.InFlight).Int("held_tokens", counts.HeldTokens).Int("evacuated", counts.Evacuated).Int("cold_spared", counts.ColdExcluded).
			Int("rate_limited", counts.Limited).Int("paused", counts.Paused).Int("brittle", counts.Brittle)
	}
	if prompt := x.info.Prompt; prompt != nil && x.route != nil {
		event.Int("prompt_tokens", prompt.Tokens).Int("unfetched_tokens", x.placement.plan.Missing).
			Dur("objective", x.route.Objective).Dur("waited", x.placeTime).Str("shared", largestSharedPart(prompt)).Int("saves", countSaves(x.placement.plan))
		if x.placedBy != "" {
			event.Str("placed_by", x.placedBy)
		}
		if x.ownerError != "" {
			event.Str("owner_error", x.ownerError)
		}
		if hold := x.placement.hold; hold != nil {
			event.Dur("expected", hold.ExpectedFirstEvent())
		}
		if miss := x.placement.plan.Miss; miss != "" {
			event.Str("miss", string(miss))
		}
		if source := x.placement.plan.Source; source != "" {
			event.Str("fetched_from", source)
		}
	}
}
