// Package mechanism names the optional features of an entry box, so that each one can be switched
// off separately to measure its effect. All are on unless the box's settings switch them off. They
// can't be changed while a process runs.
package mechanism

import (
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Mechanism is an optional feature.
type Mechanism string

// The mechanisms.
const (
	// ZoneReaders has one box per zone read the log and query the store boxes for all boxes of the
	// zone.
	ZoneReaders Mechanism = "zone-readers"
	// Hubs has one box per zone relay the load reports between boxes when there are many boxes.
	Hubs Mechanism = "hubs"
	// Owners has the owner of a zone's runners place the long prompts of all boxes there.
	Owners Mechanism = "owners"
	// WaitingLine queues calls until there is capacity.
	WaitingLine Mechanism = "waiting-line"
	// Homes routes calls that share a prompt part that no store box holds to the same runner.
	Homes Mechanism = "homes"
	// Headroom reserves a fraction of a runner's memory for one box.
	Headroom Mechanism = "headroom"
	// SlowStores reduces the load on store boxes with slow links.
	SlowStores Mechanism = "slow-stores"
	// SharedLateness has boxes detect slow links by the fetches of all boxes.
	SharedLateness Mechanism = "shared-lateness"
	// FetchChoice bounds fetches by the objective of the call, and has parts prefilled where that is
	// expected to be clearly faster than a fetch.
	FetchChoice Mechanism = "fetch-choice"
	// StoreKinds saves large parts to large store boxes and small ones to fast store boxes.
	StoreKinds Mechanism = "store-kinds"
	// KeptConnections keeps idle connections to servers for as long as the servers leave them open.
	KeptConnections Mechanism = "kept-connections"
	// Suspicion avoids servers that couldn't be reached.
	Suspicion Mechanism = "suspicion"
	// ReadRates places prompts by the prefill rate of each runner.
	ReadRates Mechanism = "read-rates"
	// PausedLoading stops new calls to a runner before it is ordered to load weights.
	PausedLoading Mechanism = "paused-loading"
	// Slots limits the calls at a runner to what its slots and its memory can serve in time.
	Slots Mechanism = "slots"
	// BriefCalls reserves slots for calls that occupy them for a small part of the mean time.
	BriefCalls Mechanism = "brief-calls"
	// FullZones stops requests to owners that recently had no capacity for such calls.
	FullZones Mechanism = "full-zones"
	// FairShares lets calls of organisations within their fair share go before others of the same
	// priority.
	FairShares Mechanism = "fair-shares"
	// ReturnTimes assigns each refused call its own time to be sent again.
	ReturnTimes Mechanism = "return-times"
	// LoadPace takes more or fewer runners out of service for loads of weights, by the demand and by
	// the time that is left.
	LoadPace Mechanism = "load-pace"
	// RunnerGaps separates orders of two boxes by the gap of the order lease runner by runner, and not
	// over all runners.
	RunnerGaps Mechanism = "runner-gaps"
	// MemoryBudget bounds the memory that is held for calls, and takes in the answers of slow
	// callers.
	MemoryBudget Mechanism = "memory-budget"
	// PeerForwarding forwards calls through other boxes while this one does not reach the servers of a
	// service.
	PeerForwarding Mechanism = "peer-forwarding"
	// SlowReturn fills a server that has come back slowly while its service is brittle.
	SlowReturn Mechanism = "slow-return"
)

// All returns all mechanisms.
func All() []Mechanism {
	return []Mechanism{
		ZoneReaders, Hubs, Owners, WaitingLine, Homes, Headroom, SlowStores, SharedLateness, FetchChoice, StoreKinds, KeptConnections, Suspicion, ReadRates, PausedLoading,
		Slots, BriefCalls, FullZones, FairShares, ReturnTimes,
		LoadPace, RunnerGaps, MemoryBudget, PeerForwarding, SlowReturn,
	}
}

// Switches records which mechanisms are switched off. In the zero value all are on.
type Switches struct{ disabled []Mechanism }

// Parse parses a comma-separated list of the mechanisms to switch off.
func Parse(names string) (Switches, error) {
	var parsed Switches
	for name := range strings.SplitSeq(names, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		if !slices.Contains(All(), Mechanism(name)) {
			return Switches{}, merry.Errorf("no mechanism %q; there are %v", name, All())
		}
		parsed.disabled = append(parsed.disabled, Mechanism(name))
	}
	return parsed, nil
}

// Enabled reports whether a mechanism is on.
func (s Switches) Enabled(m Mechanism) bool { return !slices.Contains(s.disabled, m) }

// String returns the names of the mechanisms that are off, for the log.
func (s Switches) String() string {
	names := make([]string, len(s.disabled))
	for i, m := range s.disabled {
		names[i] = string(m)
	}
	return strings.Join(names, ",")
}
