// Package places has one box per zone, the owner of the zone's runners, choose the runner for each
// long prompt that arrives at any box.
//
// This protects runners from bursts of prompts that arrive while the runners send no events. If
// each box chooses by the reported load of the others, 59 boxes send their prompts to the runner
// that was least busy 0.3 s ago, which then gets five times the prompts that fit into its memory.
// While the prompts wait there, the parts that were fetched for them are evicted and have to be
// computed again, which delays the answers of all other calls.
//
// The choice of an owner is a hint with a fallback: there is no lease and no replication, and no
// guarantee depends on it. The owner follows from the list of boxes (package delegate), like hubs
// do. Where there are hubs, it is the hub of its zone, which gets most of the zone's load reports
// directly, and small zones share one. An owner counts a granted call at once, until the requesting
// box's own load report can include it (owner.go). While boxes disagree on the owner, there are
// two, each of which learns of the other's calls as late as boxes without owners do. A box that
// gets no response within responseTimeout chooses a server itself and sends that owner no requests
// for a while. So an owner that crashes, stalls or is partitioned costs each box one such wait.
//
// Calls wait for capacity at the owner, so that there is one queue per zone, the most urgent calls
// first.
package places

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/admission"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/mechanism"
)

// Box is an entry box with the address at which it accepts requests for places.
type Box struct {
	delegate.Box
	Address string
}

// Config configures a Placer.
type Config struct {
	Fleet  *fleet.Fleet
	Logger zerolog.Logger
	// Self is this box, and Others returns the other boxes. No requests are sent while Active
	// returns false.
	Self   Box
	Others func() []Box
	Active func() bool
	// ReportedAt returns a time after which another box has sent its latest load report to this
	// one; zero if unknown.
	ReportedAt func(box string) time.Time
	// Mechanisms records which mechanisms are switched off.
	Mechanisms mechanism.Switches
	// Excess returns how much an organisation uses of its fair share of a service; 1 or less means that
	// it is within it. Nil means that there are no shares.
	Excess func(service, organisation string) float64
	// Admitted is called once for each granted call, and Queued once for each call that isn't granted
	// a place at once and could wait. Both may be nil and must not block.
	Admitted func(request Request)
	Queued   func(request Request)
	// Dial connects to another box; nil selects TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Placer sends requests to owners, and responds to those of other boxes where this box is the
// owner.
type Placer struct {
	cfg Config

	mu sync.Mutex
	// owners caches the owner of each zone since ownersAt.
	owners   map[string]Box
	ownersAt time.Time
	// unresponsive maps owners that didn't respond to the time until which they get no requests,
	// and idle has the idle connections to owners, by address.
	unresponsive map[string]time.Time
	idle         map[string][]idleConnection
	// full has the calls for which owners need not be asked for some time.
	full fullZones
	// queues has the calls that wait at this box, by service, and openGrants the grants that still
	// count.
	queues     map[string]*queue
	openGrants []grant
	// releasedAt is when reported grants were last released before an attempt.
	releasedAt time.Time
	// expiryScheduled means that a timer is set that expires them.
	expiryScheduled bool
	server          *frame.Server
	// grantedAt is when this box last granted a place.
	grantedAt time.Time
	// attempts counts the attempts to grant a place.
	attempts atomic.Uint64
}

// queue is a queue of calls that wait for a place.
type queue = admission.Queue[Request, *fleet.Grant]

// Errors of a box that got no decision of an owner.
var (
	// ErrNoOwner means that no box owns the zone's servers.
	ErrNoOwner = merry.Sentinel("no box owns the servers of the zone")
	// ErrOwnerUnresponsive means that the owner recently didn't respond.
	ErrOwnerUnresponsive = merry.Sentinel("the owner of the zone's servers recently did not respond")
	// ErrNotOwner means that the receiver of the request doesn't own the servers.
	ErrNotOwner = merry.Sentinel("the box does not own the servers of the zone")
)

// New returns a Placer that doesn't accept requests yet.
func New(cfg Config) *Placer {
	if cfg.Dial == nil {
		dialer := net.Dialer{Timeout: connectTimeout}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	p := &Placer{cfg: cfg, unresponsive: map[string]time.Time{}, idle: map[string][]idleConnection{}, queues: map[string]*queue{}, full: fullZones{}}
	p.server = frame.NewServer(cfg.Logger, p.serve)
	return p
}

// Active reports whether boxes request places from owners at all.
func (p *Placer) Active() bool { return p.cfg.Mechanisms.Enabled(mechanism.Owners) && p.cfg.Active() }

// Waiting returns the number of calls that wait at this box for a place.
func (p *Placer) Waiting() int {
	p.mu.Lock()
	queues := slices.Collect(maps.Values(p.queues))
	p.mu.Unlock()
	waiting := 0
	for _, q := range queues {
		waiting += q.Len()
	}
	return waiting
}

// Attempts returns how often this box has tried to grant a place.
func (p *Placer) Attempts() uint64 { return p.attempts.Load() }

// ownerRole is the role of a zone's owner. It uses the ranking of hubs, so that the owner is a hub,
// and one box covers any number of boxes.
var ownerRole = delegate.Config{Role: "hub", BoxesPerDelegate: 1 << 30}

// ownerCacheTime is how long computed owners are cached. Ranking 300 boxes takes 0.1 ms, and the
// list of boxes rarely changes.
const ownerCacheTime = 200 * time.Millisecond

// ownerOf returns the owner of a zone's servers.
func (p *Placer) ownerOf(zone string) (Box, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := boottime.Now(); now.Sub(p.ownersAt) > ownerCacheTime {
		p.owners, p.ownersAt = map[string]Box{}, now
	}
	if owner, known := p.owners[zone]; known {
		return owner, owner.Name != ""
	}
	owner, exists := p.computeOwner(zone)
	p.owners[zone] = owner
	return owner, exists
}

func (p *Placer) computeOwner(zone string) (Box, bool) {
	all := append(slices.Clone(p.cfg.Others()), p.cfg.Self)
	boxes := make([]delegate.Box, len(all))
	for i, box := range all {
		boxes[i] = box.Box
	}
	chosen, exists := delegate.ForZone(ownerRole, zone, boxes)
	if !exists {
		return Box{}, false
	}
	return all[slices.IndexFunc(all, func(b Box) bool { return b.Name == chosen.Name })], true
}

// recentGrantTime is the time for which a grant counts as recent. The use that package fairshare
// records decays within it.
const recentGrantTime = 10 * time.Second

// GrantsPlaces reports whether this box has recently granted a place.
func (p *Placer) GrantsPlaces() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.grantedAt.IsZero() && boottime.Since(p.grantedAt) < recentGrantTime
}

// owns reports whether this box owns the servers of a zone.
func (p *Placer) owns(zone string) bool {
	owner, exists := p.ownerOf(zone)
	return exists && owner.Name == p.cfg.Self.Name
}

// ownsMemo returns owns with a memory of its results, for one attempt: a choice among hundreds of
// servers asks for the same few zones again and again.
func (p *Placer) ownsMemo() func(zone string) bool {
	type result struct {
		zone string
		owns bool
	}
	var results []result
	return func(zone string) bool {
		for _, known := range results {
			if known.zone == zone {
				return known.owns
			}
		}
		results = append(results, result{zone, p.owns(zone)})
		return results[len(results)-1].owns
	}
}
