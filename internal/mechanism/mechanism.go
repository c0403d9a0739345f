// Package mechanism names what an entry box does beyond the least, so that each can be
// switched off alone and its worth measured. All are on unless the box's settings say
// otherwise; nothing is switched while a process lives.
package mechanism

import (
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Mechanism is one of them.
type Mechanism string

// The mechanisms.
const (
	// ZoneReaders has one box of a zone read the log and ask the store boxes.
	ZoneReaders Mechanism = "zone-readers"
	// Hubs has one box of a zone pass on what boxes tell each other, where there are many.
	Hubs Mechanism = "hubs"
	// Owners has the owner of a zone's runners place the long prompts of all boxes there.
	Owners Mechanism = "owners"
	// WaitingLine lets calls wait for room.
	WaitingLine Mechanism = "waiting-line"
	// Homes has calls that share an unknown part meet at one runner.
	Homes Mechanism = "homes"
	// Headroom leaves a part of a runner's memory to one box.
	Headroom Mechanism = "headroom"
	// SlowStores spares store boxes whose links are slow.
	SlowStores Mechanism = "slow-stores"
	// StoreKinds sends large parts to large store boxes and small ones to quick ones.
	StoreKinds Mechanism = "store-kinds"
	// KeptConnections keeps connections to servers for as long as these leave them open.
	KeptConnections Mechanism = "kept-connections"
	// Suspicion leaves servers alone that could not be reached.
	Suspicion Mechanism = "suspicion"
	// ReadRates places prompts by how fast each runner reads.
	ReadRates Mechanism = "read-rates"
	// PausedLoading keeps new calls from a runner before it is ordered to load weights.
	PausedLoading Mechanism = "paused-loading"
)

// All lists them.
func All() []Mechanism {
	return []Mechanism{
		ZoneReaders, Hubs, Owners, WaitingLine, Homes, Headroom, SlowStores, StoreKinds, KeptConnections, Suspicion, ReadRates, PausedLoading,
	}
}

// Off is a set of mechanisms that are switched off; the zero value switches none off.
type Switches struct{ off []Mechanism }

// Parse reads names separated by commas.
func Parse(names string) (Switches, error) {
	var parsed Switches
	for name := range strings.SplitSeq(names, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		if !slices.Contains(All(), Mechanism(name)) {
			return Switches{}, merry.Errorf("no mechanism %q; there are %v", name, All())
		}
		parsed.off = append(parsed.off, Mechanism(name))
	}
	return parsed, nil
}

// On reports whether a mechanism is on.
func (o Switches) Enabled(m Mechanism) bool { return !slices.Contains(o.off, m) }

// String gives the names, for the log.
func (o Switches) String() string {
	names := make([]string, len(o.off))
	for i, m := range o.off {
		names[i] = string(m)
	}
	return strings.Join(names, ",")
}
