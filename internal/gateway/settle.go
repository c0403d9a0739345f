// The end of a call: its metrics, and the one log line that tells what became of it.

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

func (m metrics) tryFailed(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("tries_failed").Inc(1)
}

func (m metrics) settled(route string, x *exchange, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{"route": route, "outcome": string(x.outcome)})
	scope.Counter("calls").Inc(1)
	scope.Histogram("call_seconds", telemetry.LatencyBuckets()).RecordDuration(took)
	if !x.firstEvent.IsZero() {
		scope.Histogram("first_event_seconds", telemetry.LatencyBuckets()).RecordDuration(x.firstEvent.Sub(x.arrived))
	}
	perRoute := m.scope.Tagged(map[string]string{"route": route})
	measureStages(perRoute, x)
	countTokens(perRoute, x)
}

// measureStages measures the time that a call spent before it was handed over.
func measureStages(scope tally.Scope, x *exchange) {
	if x.readAt.IsZero() {
		return
	}
	measure := func(stage string, took time.Duration) {
		scope.Tagged(map[string]string{"stage": stage}).Histogram("stage_seconds", telemetry.LatencyBuckets()).RecordDuration(took)
	}
	measure("receive", x.readAt.Sub(x.arrived))
	measure("place", x.placeTime)
}

// countTokens counts the prompt tokens of a call that was served by where they came
// from, and measures how soon its answer began where some were fetched.
func countTokens(scope tally.Scope, x *exchange) {
	prompt, plan := x.facts.Prompt, x.choice.plan
	if prompt == nil || x.choice.namespace == "" || x.outcome != outcomeServed {
		return
	}
	scope.Tagged(map[string]string{"from": "store_box"}).Counter("prompt_tokens").Inc(int64(prompt.Tokens - plan.Missing))
	scope.Tagged(map[string]string{"from": "runner"}).Counter("prompt_tokens").Inc(int64(plan.Missing))
	if plan.Source != "" && !x.firstEvent.IsZero() {
		fetched := scope.Tagged(map[string]string{"store_box": plan.Source})
		fetched.Histogram("fetched_first_event_seconds", telemetry.LatencyBuckets()).RecordDuration(x.firstEvent.Sub(x.arrived))
	}
}

// largestShared names the largest part that a prompt shares with others; empty without one.
func largestShared(prompt *call.Prompt) (id string) {
	largest := 0
	for _, part := range prompt.Parts[:max(len(prompt.Parts)-1, 0)] {
		if part.Tokens > largest {
			largest, id = part.Tokens, part.ID
		}
	}
	return id
}

// saves counts the parts that a plan has saved.
func saves(plan partindex.Plan) int {
	count := 0
	for _, address := range plan.Save {
		if address != "" {
			count++
		}
	}
	return count
}

// settle writes the one line that tells a call's story.
func (g *Gateway) settle(x *exchange) {
	took := boottime.Since(x.arrived)
	route := ""
	if x.route != nil {
		route = x.service.Name
	}
	g.metrics.settled(route, x, took)
	event := g.cfg.Logger.Info()
	if x.outcome != outcomeServed && x.outcome != outcomeGone {
		event = g.cfg.Logger.Warn()
	}
	event.Str("request", x.facts.RequestID).Str("outcome", string(x.outcome)).Int("status", x.status).
		Dur("took", took).Int("tries", len(x.tried)).Int("events", x.events).Int64("bytes", x.bytesOut)
	if x.reason != "" {
		event.Str("reason", x.reason)
	}
	if x.route != nil {
		event.Str("route", x.route.Name).Int64("configuration", x.catalog.Version())
	}
	if x.organisation != nil {
		event.Str("organisation", x.organisation.Name)
	}
	if !x.firstEvent.IsZero() {
		event.Dur("first_event", x.firstEvent.Sub(x.arrived))
	}
	tellPlacement(event, x)
	g.tellLoss(event, x)
	event.Msg("call")
}

// tellLoss adds, for a call whose answer was lost, who ended it and what was left then.
func (g *Gateway) tellLoss(event *zerolog.Event, x *exchange) {
	if x.outcome != outcomeBroken && x.outcome != outcomeUnknown {
		return
	}
	event.Str("ended_by", string(x.lostBy)).Dur("left", boottime.Until(x.deadline)).Int("servers_seen", x.handed).
		Float64("retries_saved", g.cfg.Budget.State().Balance)
	if now := g.cfg.Catalog(); now != nil {
		event.Int64("configuration_at_end", now.Version())
	}
}

// tellPlacement adds where a call went, or what the servers lacked that it was not placed
// at, and what of its prompt was fetched.
func tellPlacement(event *zerolog.Event, x *exchange) {
	if hold := x.choice.hold; hold != nil {
		event.Str("server", hold.Server().Incarnation).Int("weights", hold.Weights()).Dur("servers_age", x.choice.serversAge)
		if gone := hold.DelistedFor(); gone > 0 {
			event.Dur("gone_for", gone)
		}
		if hold.Cold() {
			event.Bool("cold", true)
		}
		if hold.Limited() {
			event.Bool("rate_limited", true)
		}
	}
	if x.reason == reasonNoServer || x.reason == reasonEvacuated || x.reason == reasonNoRegion || x.reason == reasonLimited {
		short := x.shortage
		event.Int("servers", short.Listed).Int("sound", short.Usable).Int("without_time", short.WithoutTime).Int("without_memory", short.WithoutMemory).
			Int("in_flight", short.InFlight).Int("held_tokens", short.HeldTokens).Int("evacuated", short.Evacuated).Int("cold_spared", short.ColdExcluded).
			Int("rate_limited", short.Limited).Int("paused", short.Paused)
	}
	if prompt := x.facts.Prompt; prompt != nil && x.route != nil {
		event.Int("prompt_tokens", prompt.Tokens).Int("unfetched_tokens", x.choice.plan.Missing).
			Dur("objective", x.route.Objective).Dur("waited", x.placeTime).Str("shared", largestShared(prompt)).Int("saves", saves(x.choice.plan))
		if x.placedBy != "" {
			event.Str("placed_by", x.placedBy)
		}
		if x.unplaced != "" {
			event.Str("owner_error", x.unplaced)
		}
		if hold := x.choice.hold; hold != nil {
			event.Dur("expected", hold.ExpectedFirstEvent())
		}
		if miss := x.choice.plan.Miss; miss != "" {
			event.Str("miss", string(miss))
		}
		if source := x.choice.plan.Source; source != "" {
			event.Str("fetched_from", source)
		}
	}
}
