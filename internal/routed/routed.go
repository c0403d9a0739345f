// Package routed serves the routes of cometlock's own configuration file with the
// stages of package gateway, which serve the calls of the users' platform too.
//
// Only the words differ between the two: here routes, services and servers come from
// one version of the configuration file (convert.go), and what callers and servers say
// stands in the headers of headers.go. Calls that no route takes are passed to the paths
// that every deployment has.
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
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/retrybudget"
)

// Config sets up a Router.
type Config struct {
	Logger zerolog.Logger
	Scope  tally.Scope
	// Zone is the availability zone of this box.
	Zone string
	// BoxCount gives the number of entry boxes, this one included, which share the
	// connections that a server takes.
	BoxCount func() int
	Budget   *retrybudget.Budget
	// LimitPosition says where this box stands among those that share the rate limit of a server; nil
	// stands for a box alone.
	LimitPosition func(zone, server string) advisory.Position
	// Next serves the calls that no route takes.
	Next http.Handler
}

// Router serves routed calls.
type Router struct {
	cfg     Config
	fleet   *fleet.Fleet
	gateway *gateway.Gateway
	catalog atomic.Pointer[catalog.Catalog]
	// asking is for requests of this box's own.
	asking http.Client

	// mu guards what Configure and ApplyBoxList have told so far, and what is under way.
	mu       sync.Mutex
	snapshot *config.Snapshot
	beliefs  map[string]*belief // by the name of the server
	// inFlight counts the calls under way of each organisation.
	inFlight map[string]int
	// words counts what the fleet was told, since it takes the newest word alone.
	words int64
}

// New makes a router without routes.
func New(cfg Config) *Router {
	r := &Router{cfg: cfg, fleet: fleet.New(fleet.Config{Logger: cfg.Logger, LimitPosition: cfg.LimitPosition}), beliefs: map[string]*belief{}, inFlight: map[string]int{}}
	// Nothing is kept for routed calls and no weights are named for them, so the index
	// of kept parts stays empty and the registry, which follows no log, knows nothing.
	nothingNamed := registry.New(registry.Config{Logger: cfg.Logger})
	r.gateway = gateway.New(gateway.Config{
		Protocol: Headers{}, Pool: handover.NewPool(handover.PoolConfig{}), Fleet: r.fleet, Parts: partindex.New(partindex.Config{}),
		Budget: cfg.Budget, BoxCount: cfg.BoxCount, Logger: cfg.Logger, Scope: cfg.Scope.SubScope("routed"), Zone: cfg.Zone,
		Catalog: r.catalog.Load, Weights: nothingNamed, IsResponsive: r.responds,
		Retire: retire.New(retire.Config{Registry: nothingNamed, Peers: func() []retire.Peer { return nil }, Boxes: cfg.BoxCount}),
	})
	return r
}

// Configure takes over a version of the configuration. One that cannot be used leaves
// the last in force.
func (r *Router) Configure(snapshot *config.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, err := catalogOf(snapshot)
	if err != nil {
		r.cfg.Logger.Error().Int64("version", snapshot.Version()).Str("error", err.Error()).Msg("routes_not_understood")
		return
	}
	r.snapshot = snapshot
	for _, zone := range snapshot.File().Zones {
		r.fleet.ApplyEvacuation(evacuation.Change{Zone: zone.Name, Evacuate: zone.Evacuated, Offset: snapshot.Version()})
	}
	r.tellFleet()
	r.catalog.Store(next)
}

// tellFleet tells the fleet which servers there are. The caller holds mu.
func (r *Router) tellFleet() {
	if r.snapshot == nil {
		return
	}
	r.words++
	r.fleet.Replace(serversOf(r.snapshot, r.beliefs, r.words))
}

// AdvisoryReports gives what servers said of themselves in answers to this box, by server.
func (r *Router) AdvisoryReports() map[string]*advisory.Report { return r.fleet.AdvisoryReports() }

// ApplyAdvisoryReports takes over what servers said to another box.
func (r *Router) ApplyAdvisoryReports(reports map[string]*advisory.Report) {
	r.fleet.ApplyAdvisoryReports(reports)
}

// EvacuatedZones lists the evacuated zones.
func (r *Router) EvacuatedZones() []string { return r.fleet.EvacuatedZones() }

// InFlight counts the routed calls under way.
func (r *Router) InFlight() int64 { return r.gateway.InFlight() }

// ServeHTTP serves a call by its route, or passes it on.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	routes := r.catalog.Load()
	if routes == nil || routes.Route(request.Host, request.URL.Path) == nil {
		r.cfg.Next.ServeHTTP(w, request)
		return
	}
	id := "req_" + uuid.NewString()
	request.Header.Set(api.HeaderRequestID, id)
	w.Header().Set(api.HeaderRequestID, id)
	leave, refusal := r.enter(request.Header)
	if refusal != nil {
		r.cfg.Logger.Warn().Str("request", id).Str("reason", refusal.Code).Str("detail", refusal.Message).Msg("call_refused")
		api.WriteError(w, refusal)
		return
	}
	defer leave()
	r.gateway.ServeHTTP(w, request)
}
