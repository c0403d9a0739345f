// Package capacity estimates the resources that a deployment of a given size needs. It computes
// them from the slopes that the bench measured: the cost of one more organisation, runner, cached
// context, claim or box.
package capacity

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"
)

//go:embed slopes.json
var slopesJSON []byte

// Slopes are the costs of one more of each item. `make slopes` measures them again.
type Slopes struct {
	// Configuration.
	OrganisationBytes      float64 `json:"organisation_bytes"`     // memory
	OrganisationLogBytes   float64 `json:"organisation_log_bytes"` // in a packed checkpoint
	ChangeBytes            float64 `json:"change_bytes"`           // size of a change of one organisation
	ChangeNanos            float64 `json:"change_nanos"`           // time to fold and index a change, at 10,000 organisations
	ChangeNanosPerEntry    float64 `json:"change_nanos_per_entry"` // the same, divided by the number of entries
	StatusBytes            float64 `json:"status_bytes"`           // size of a message between boxes
	StatusNanos            float64 `json:"status_nanos"`           // time to encode and decode it
	DecisionNanosPerRunner float64 `json:"decision_nanos_per_runner"`
	DecisionNanos          float64 `json:"decision_nanos"` // at 82 runners and 65,000 contexts
	ContextBytes           float64 `json:"context_bytes"`  // memory of a known context
	EventNanos             float64 `json:"event_nanos"`    // time to fold a cache event
	ReportNanos            float64 `json:"report_nanos"`   // time to decode and fold a load report
	ReportBytes            float64 `json:"report_bytes"`
	EventBytes             float64 `json:"event_bytes"` // size of a cache event on the wire
	ClaimBytes             float64 `json:"claim_bytes"` // memory of an open claim
	ClaimLogBytes          float64 `json:"claim_log_bytes"`
	ReviewBytes            float64 `json:"review_bytes"` // memory of a waiting review
}

// MeasuredSlopes returns the slopes that are embedded in the program.
func MeasuredSlopes() (Slopes, error) {
	var slopes Slopes
	if err := json.Unmarshal(slopesJSON, &slopes); err != nil {
		return Slopes{}, merry.Prepend(err, "read the measured slopes")
	}
	return slopes, nil
}

// Size is the size of a deployment.
type Size struct {
	Nodes               int
	Zones               int
	Runners             int
	Organisations       int
	Contexts            int
	ChangesPerDay       int
	RequestsPerSec      float64
	TokensPerSec        float64
	ClaimShare          float64 // share of the requests that have an idempotency key
	ReviewsWaiting      int
	BlocksPerPrompt     int // full blocks of a typical context
	NewBlocksPerRequest float64
	ReplacedBoxesPerDay int
}

// DefaultSize is the size of the deployment in two years, as given in the users' first letter.
func DefaultSize() Size {
	return Size{
		Nodes: 360, Zones: 17, Runners: 1400, Organisations: 10_000, Contexts: 1_100_000, ChangesPerDay: 3400,
		RequestsPerSec: 1900, TokensPerSec: 590_000, ClaimShare: 0.05, ReviewsWaiting: 20_000, BlocksPerPrompt: 40,
		NewBlocksPerRequest: 6, ReplacedBoxesPerDay: 450 + 26,
	}
}

// Limits are the resources that the control plane may use on a node. LogAppendsPerSec applies to
// all nodes together.
type Limits struct {
	CorePercent      float64
	MemoryMB         float64
	BytesPerSec      float64
	LogAppendsPerSec float64
}

// DefaultLimits are the limits given in the users' first letter.
func DefaultLimits() Limits {
	return Limits{CorePercent: 2.3, MemoryMB: 256, BytesPerSec: 4000, LogAppendsPerSec: 300}
}

// MechanismCost is a row of the table: the resources that one mechanism uses on one node.
type MechanismCost struct {
	Role            string  `json:"role"`
	Mechanism       string  `json:"mechanism"`
	State           string  `json:"state"`
	MemoryMB        float64 `json:"memory_mb"`
	CorePercentUsed float64 `json:"core_percent"`
	Bytes           float64 `json:"bytes_per_second"`
	Appends         float64 `json:"log_appends_per_second"`
}

// Rates and intervals of the mechanisms, with the defaults of the daemon.
const (
	statusFanout        = 3.0 // exchanges a second, each with a message in both directions; as many are received
	reportsPerSec       = 2.0 // polls of each runner a second
	claimRetentionHours = 2.0
	checkpointEvery     = 200.0
	secondsPerDay       = 86_400.0
	bytesPerMB          = 1e6
	percent             = 100.0
	secondsPerNano      = 1e-9
)

// plannedClaims is the row of a mechanism that is not implemented yet.
const plannedClaims = "claims, two writers a zone and stream (planned)"

// MechanismCosts computes the rows for one node of a deployment.
func MechanismCosts(size Size, s Slopes) []MechanismCost {
	nodesInZone := float64(size.Nodes) / float64(size.Zones)
	runners := float64(size.Runners) / float64(size.Zones)
	requests := size.RequestsPerSec / float64(size.Nodes)
	zoneRequests := size.RequestsPerSec / float64(size.Zones)
	contexts := float64(size.Contexts) / float64(size.Zones)
	changes := float64(size.ChangesPerDay) / secondsPerDay
	entries := float64(size.Organisations + size.Runners)
	claims := size.RequestsPerSec * size.ClaimShare
	events := zoneRequests * size.NewBlocksPerRequest * 2 // a stored and an evicted event per block
	rows := []MechanismCost{
		{
			Role: "entry box", Mechanism: "configuration by log tail", State: "all organisations and servers",
			MemoryMB: entries * s.OrganisationBytes / bytesPerMB, CorePercentUsed: percent * changes * s.ChangeNanosPerEntry * entries * secondsPerNano,
			Bytes:   changes * (s.ChangeBytes + entries*s.OrganisationLogBytes/checkpointEvery),
			Appends: changes / checkpointEvery,
		},
		{
			Role: "entry box", Mechanism: "exchange between boxes", State: "one status a peer heard of",
			MemoryMB: float64(size.Nodes) * s.StatusBytes / bytesPerMB, CorePercentUsed: percent * 2 * statusFanout * s.StatusNanos * secondsPerNano,
			Bytes: 2 * statusFanout * 2 * s.StatusBytes,
		},
		{
			Role: "entry box", Mechanism: "load reports of the zone's runners", State: "one report a runner",
			CorePercentUsed: percent * runners * reportsPerSec * s.ReportNanos * secondsPerNano, Bytes: runners * reportsPerSec * s.ReportBytes,
		},
		{
			Role: "entry box", Mechanism: "cache events of the zone's runners", State: "landmark blocks of the zone's contexts",
			MemoryMB: contexts * s.ContextBytes / bytesPerMB, CorePercentUsed: percent * events * s.EventNanos * secondsPerNano, Bytes: events * s.EventBytes,
		},
		{
			Role: "entry box", Mechanism: "placement", State: "scratch space", CorePercentUsed: percent * requests * s.DecisionNanos * secondsPerNano,
		},
		{
			Role: "entry box", Mechanism: "claims, all streams followed by all boxes (today)", State: "keys of two hours",
			MemoryMB: claims * claimRetentionHours * 3600 * s.ClaimBytes / bytesPerMB, Bytes: claims * 2 * s.ClaimLogBytes,
			Appends: claims * 2 / float64(size.Nodes),
		},
		{
			Role: "entry box", Mechanism: plannedClaims, State: "keys of two hours of the own streams",
			MemoryMB: claims * claimRetentionHours * 3600 * s.ClaimBytes / bytesPerMB * 2 / nodesInZone, Bytes: claims * 2 * s.ClaimLogBytes * 2 / nodesInZone,
			Appends: claims * 2 / float64(size.Nodes),
		},
		{
			Role: "entry box", Mechanism: "reviews by log tail", State: "waiting reviews, without their requests",
			MemoryMB: float64(size.ReviewsWaiting) * s.ReviewBytes / bytesPerMB,
		},
	}
	return rows
}

// EventCost is the cost of a failure or replacement.
type EventCost struct {
	Name string `json:"event"`
	// PerDay is the expected number of these events per day; 0 means unknown.
	PerDay float64 `json:"per_day"`
	// Messages and Bytes are what the control plane sends per event.
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
	// Tokens is the number of prompt tokens that must be prefilled again per event.
	Tokens float64 `json:"recomputed_tokens"`
}

// Assumptions about what an event affects.
const (
	runnerCacheTokens = 300_000.0     // cached context that fits in a runner's memory
	retentionSeconds  = secondsPerDay // retention of the log
	tokensPerBlock    = 256.0
	claimStreams      = 16.0
	recordsPerRead    = 1000.0
)

// EventCosts computes the costs of failures and replacements.
func EventCosts(size Size, s Slopes) []EventCost {
	runners := float64(size.Runners) / float64(size.Zones)
	contexts := float64(size.Contexts) / float64(size.Zones)
	entries := float64(size.Organisations + size.Runners)
	claims := size.RequestsPerSec * size.ClaimShare * retentionSeconds
	blocks := runners * runnerCacheTokens / tokensPerBlock
	returning := contexts * float64(size.BlocksPerPrompt) * tokensPerBlock
	start := entries*s.OrganisationLogBytes + blocks*s.EventBytes
	return []EventCost{
		{Name: "an entry box starts: configuration, cache snapshots of the zone", PerDay: float64(size.ReplacedBoxesPerDay), Messages: 1 + 2*runners, Bytes: start},
		{Name: "an entry box starts: claims read back (all streams, today)", PerDay: float64(size.ReplacedBoxesPerDay), Messages: claims/recordsPerRead + claimStreams, Bytes: claims * 2 * s.ClaimLogBytes},
		{Name: "a runner fails", PerDay: 26 * float64(size.Runners) / float64(size.Runners+size.Nodes), Messages: 2, Tokens: runnerCacheTokens},
		{Name: "a zone is lost, and its contexts return elsewhere", Messages: 0, Tokens: returning},
		{Name: "an hour without another region", Messages: 0, Bytes: 0, Tokens: 0},
	}
}

// PrintEventCosts prints the costs of failures and replacements.
func PrintEventCosts(out io.Writer, events []EventCost) {
	fmt.Fprintf(out, "\n| event | a day | messages | MB | recomputed tokens |\n|---|---:|---:|---:|---:|\n")
	for _, e := range events {
		fmt.Fprintf(out, "| %s | %.0f | %.0f | %.2f | %.0f |\n", e.Name, e.PerDay, e.Messages, e.Bytes/bytesPerMB, e.Tokens)
	}
}

// memoryCell formats an amount of memory in MB. A negative slope is within the noise of its
// measurement and is not shown as memory.
func memoryCell(mb float64) string {
	if mb < 0 {
		return "within noise"
	}
	return strconv.FormatFloat(mb, 'f', 2, 64)
}

// Print prints the table, its totals and the mechanisms that exceed a limit.
func Print(out io.Writer, size Size, rows []MechanismCost, limits Limits) {
	fmt.Fprintf(out, "one entry box of %d in %d zones, before %d runners, %d organisations, %d contexts, %.0f requests/s, %d changes a day\n\n",
		size.Nodes, size.Zones, size.Runners, size.Organisations, size.Contexts, size.RequestsPerSec, size.ChangesPerDay)
	fmt.Fprintf(out, "| mechanism | state | memory MB | core %% | bytes/s | appends/s |\n|---|---|---:|---:|---:|---:|\n")
	for _, r := range rows {
		fmt.Fprintf(out, "| %s | %s | %s | %.4f | %.0f | %.3f |\n", r.Mechanism, r.State, memoryCell(r.MemoryMB), r.CorePercentUsed, r.Bytes, r.Appends)
	}
	var appends float64
	for _, r := range rows {
		if r.Mechanism != plannedClaims {
			appends += r.Appends * float64(size.Nodes)
		}
	}
	fmt.Fprintf(out, "\nthe log, all boxes together: %.0f appends/s of %.0f, if no claims shared an append\n", appends, limits.LogAppendsPerSec)
	fmt.Fprintf(out, "limits a node: %.0f MB, %.1f%% of a core, %.0f bytes/s\n", limits.MemoryMB, limits.CorePercent, limits.BytesPerSec)
	for _, r := range rows {
		if r.MemoryMB > limits.MemoryMB || r.CorePercentUsed > limits.CorePercent || r.Bytes > limits.BytesPerSec {
			fmt.Fprintf(out, "over a limit by itself: %s\n", r.Mechanism)
		}
	}
}
