package daemon

import (
	"runtime"
	"time"

	"github.com/cometlock/cometlock/internal/admit"
	"github.com/cometlock/cometlock/internal/claim"
	"github.com/cometlock/cometlock/internal/follow"
	"github.com/cometlock/cometlock/internal/kept"
	"github.com/cometlock/cometlock/internal/peer"
	"github.com/cometlock/cometlock/internal/retrybudget"
	"github.com/cometlock/cometlock/internal/review"
	"github.com/cometlock/cometlock/internal/ring"
	"github.com/cometlock/cometlock/internal/version"
	"github.com/cometlock/cometlock/internal/zone"
)

// State is the state dump of an entry box. It contains no API key, prompt or answer.
type State struct {
	Box            string              `json:"box"`
	Zone           string              `json:"zone"`
	Incarnation    string              `json:"incarnation"`
	Version        string              `json:"version"`
	Uptime         string              `json:"uptime"`
	Ready          bool                `json:"ready"`
	UnreadyReason  string              `json:"unready_reason,omitempty"`
	Leaving        bool                `json:"leaving"`
	Goroutines     int                 `json:"goroutines"`
	HeapBytes      uint64              `json:"heap_bytes"`
	Settled        int64               `json:"settled"`
	RoutedInFlight int64               `json:"routed_in_flight"`
	Config         follow.Status       `json:"config"`
	Evacuated      []string            `json:"evacuated_zones,omitempty"`
	Rings          []ring.State        `json:"rings"`
	Admit          admit.State         `json:"admit"`
	Retries        retrybudget.State   `json:"retries"`
	Claims         []claim.StreamState `json:"claims"`
	Reviews        review.State        `json:"reviews"`
	Kept           kept.State          `json:"kept"`
	ZoneView       zone.State          `json:"known_zone"`
	Peers          peer.State          `json:"peers"`
}

// State returns the state dump.
func (d *Daemon) State() State {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	reason := d.unreadyReason()
	return State{
		Box: d.settings.Box, Zone: d.settings.Zone, Incarnation: d.incarnation, Version: version.Version,
		Uptime: time.Since(d.started).Round(time.Millisecond).String(), Ready: reason == "", UnreadyReason: reason, Leaving: d.leaving.Load(),
		Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc, Settled: d.settle.Settled(), RoutedInFlight: d.router.InFlight(),
		Config: d.follower.Status(), Evacuated: d.router.EvacuatedZones(), Rings: append(d.pipeline.State(), d.settle.Ring()), Admit: d.admit.State(),
		Retries: d.budget.State(), Claims: d.claims.State(), Reviews: d.reviews.State(), Kept: d.offloader.State(), ZoneView: d.zoneView.State(), Peers: d.gossiper.State(),
	}
}

// ConfigVersion returns the version of the configuration in force.
func (d *Daemon) ConfigVersion() int64 { return d.follower.State().Version }
