// Package routed serves the routes of cometlock's own configuration file. It uses the stages of
// package gateway, which also serve the calls of the users' platform.
//
// The two differ only in their inputs and headers: here routes, services and servers come from one
// version of the configuration file (convert.go), and headers.go defines the headers that callers
// and servers use. Calls that match no route are passed to the paths that every deployment has.
package routed

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/api"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/evacuation"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/gateway"
	"github.com/cometlock/cometlock/internal/handover"
	"github.com/cometlock/cometlock/internal/membudget"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/reach"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/retrybudget"
)

// Config configures a Router.
type Config struct {
	Logger zerolog.Logger
	Scope  tally.Scope
	// Zone is the availability zone of this box.
	Zone string
	// BoxCount returns the number of entry boxes, this one included, that share the connections a
	// server accepts.
	BoxCount func() int
	Budget   *retrybudget.Budget
	// LimitPosition returns this box's position among the boxes that share a server's rate limit;
	// nil means that there is no other box.
	LimitPosition func(zone, server string) advisory.Position
	// Next serves the calls that match no route.
	Next http.Handler
	// Memory bounds the memory that calls hold; nil means that there is no bound.
	Memory *membudget.Budget
	// Forwarding is set if this box forwards calls and takes forwarded ones.
	Forwarding *Forwarding
}

// Router serves routed calls.
type Router struct {
	cfg     Config
	fleet   *fleet.Fleet
	gateway *gateway.Gateway
	// reach detects services that this box does not reach; nil if calls are not forwarded.
	reach   *reach.Monitor
	catalog atomic.Pointer[catalog.Catalog]
	// probeClient sends the requests that this box makes to check whether a server responds.
	probeClient http.Client

	// mu guards the latest state from Configure and ApplyBoxList, and the counts of calls in
	// flight.
	mu         sync.Mutex
	snapshot   *config.Snapshot
	listStates map[string]*listState // by server name
	// inFlight counts each organisation's calls in flight.
	inFlight map[string]int
	// fleetOffset numbers the updates of the fleet, which ignores those with an older offset.
	fleetOffset int64
}

// New returns a router without routes.
func New(cfg Config) *Router {
	r := &Router{cfg: cfg, fleet: fleet.New(fleet.Config{Logger: cfg.Logger, LimitPosition: cfg.LimitPosition}), listStates: map[string]*listState{}, inFlight: map[string]int{}}
	// No parts are kept for routed calls and no weights are declared for them, so the part index
	// stays empty, and so does the registry, which follows no log.
	emptyRegistry := registry.New(registry.Config{Logger: cfg.Logger})
	pool := handover.NewPool(handover.PoolConfig{})
	gatewayConfig := gateway.Config{
		Protocol: Headers{}, Pool: pool, Fleet: r.fleet, Parts: partindex.New(partindex.Config{}),
		Budget: func(string) *retrybudget.Budget { return cfg.Budget }, BoxCount: cfg.BoxCount, Logger: cfg.Logger, Scope: cfg.Scope.SubScope("routed"), Zone: cfg.Zone,
		Memory: cfg.Memory, Catalog: r.catalog.Load, Weights: emptyRegistry, IsResponsive: r.isResponsive,
		Retire: retire.New(retire.Config{Registry: emptyRegistry, Peers: func() []retire.Peer { return nil }, Boxes: cfg.BoxCount}),
	}
	r.assembleForwarding(&gatewayConfig, pool)
	r.gateway = gateway.New(gatewayConfig)
	return r
}

// Configure applies a version of the configuration. An invalid version leaves the previous one in
// force.
func (r *Router) Configure(snapshot *config.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, err := catalogOf(snapshot)
	if err != nil {
		r.cfg.Logger.Error().Int64("version", snapshot.Version()).Str("error", err.Error()).Msg("routes_invalid")
		return
	}
	r.snapshot = snapshot
	for _, zone := range snapshot.File().Zones {
		r.fleet.ApplyEvacuation(evacuation.Change{Zone: zone.Name, Evacuate: zone.Evacuated, Offset: snapshot.Version()})
	}
	r.updateFleet()
	r.catalog.Store(next)
}

// updateFleet replaces the fleet's list of servers. The caller holds mu.
func (r *Router) updateFleet() {
	if r.snapshot == nil {
		return
	}
	r.fleetOffset++
	r.fleet.Replace(serverUpdates(r.snapshot, r.listStates, r.fleetOffset))
}

// AdvisoryReports returns what servers stated about themselves in answers to this box, by server.
func (r *Router) AdvisoryReports() map[string]*advisory.Report { return r.fleet.AdvisoryReports() }

// ApplyAdvisoryReports applies the advisory reports that another box received from servers.
func (r *Router) ApplyAdvisoryReports(reports map[string]*advisory.Report) {
	r.fleet.ApplyAdvisoryReports(reports)
}

// EvacuatedZones returns the evacuated zones.
func (r *Router) EvacuatedZones() []string { return r.fleet.EvacuatedZones() }

// InFlight returns the number of routed calls in flight.
func (r *Router) InFlight() int64 { return r.gateway.InFlight() }

// CancelAll ends the calls in flight of a box that stops, and answers them.
func (r *Router) CancelAll() { r.gateway.CancelAll() }

// ServeHTTP serves a call by its route, or passes it to Next.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	routes := r.catalog.Load()
	if routes == nil || routes.Route(request.Host, request.URL.Path) == nil {
		r.cfg.Next.ServeHTTP(w, request)
		return
	}
	id := "req_" + uuid.NewString()
	keepOwnHeaders(request.Header)
	request.Header.Set(api.HeaderRequestID, id)
	w.Header().Set(api.HeaderRequestID, id)
	release, refusal := r.admit(request.Header)
	if refusal != nil {
		r.cfg.Logger.Warn().Str("request", id).Str("reason", refusal.Code).Str("detail", refusal.Message).Msg("call_refused")
		api.DrainBody(w, request)
		api.WriteError(w, refusal)
		return
	}
	defer release()
	r.gateway.ServeHTTP(w, request)
}
