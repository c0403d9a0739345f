// Package daemon wires the components of an entry box together, starts them, and shuts them down
// gracefully: requests in flight are completed before the process exits.
//
// assemble shows all components of a box and how they are connected; Run shows how a box starts and
// stops.
package daemon

import (
	"context"
	"crypto/rand"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/admin"
	"github.com/cometlock/cometlock/internal/admit"
	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/answerid"
	"github.com/cometlock/cometlock/internal/api"
	"github.com/cometlock/cometlock/internal/authenticate"
	"github.com/cometlock/cometlock/internal/boxlist"
	"github.com/cometlock/cometlock/internal/claim"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/connlimit"
	"github.com/cometlock/cometlock/internal/decide"
	"github.com/cometlock/cometlock/internal/dispatch"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/follow"
	"github.com/cometlock/cometlock/internal/kept"
	"github.com/cometlock/cometlock/internal/logservice"
	"github.com/cometlock/cometlock/internal/peer"
	"github.com/cometlock/cometlock/internal/pipeline"
	"github.com/cometlock/cometlock/internal/place"
	"github.com/cometlock/cometlock/internal/plainservice"
	"github.com/cometlock/cometlock/internal/relay"
	"github.com/cometlock/cometlock/internal/retrybudget"
	"github.com/cometlock/cometlock/internal/review"
	"github.com/cometlock/cometlock/internal/rollout"
	"github.com/cometlock/cometlock/internal/routed"
	"github.com/cometlock/cometlock/internal/settings"
	"github.com/cometlock/cometlock/internal/settle"
	"github.com/cometlock/cometlock/internal/storebox"
	"github.com/cometlock/cometlock/internal/telemetry"
	"github.com/cometlock/cometlock/internal/tlsfiles"
	"github.com/cometlock/cometlock/internal/watch"
	"github.com/cometlock/cometlock/internal/zone"
)

// Daemon is one entry box.
type Daemon struct {
	settings    settings.Settings
	logger      zerolog.Logger
	incarnation string
	started     time.Time

	metrics   *telemetry.Metrics
	follower  *follow.Follower
	gossiper  *peer.Gossiper
	zoneView  *zone.View
	watcher   *watch.Watcher
	rollout   *rollout.Controller
	offloader *kept.Offloader
	admit     *admit.Stage
	pipeline  *pipeline.Pipeline
	// dispatcher sends requests to engines.
	dispatcher   *dispatch.Dispatcher
	settle       *settle.Stage
	claims       *claim.Service
	reviews      *review.Service
	budget       *retrybudget.Budget
	router       *routed.Router
	callerServer *http.Server
	// forwardServer serves the calls that other boxes forward; nil if this box takes none.
	forwardServer *http.Server
	admin         *http.Server
	callerTLS     *tlsfiles.Reloader
	peerTLS       *tlsfiles.Reloader

	leaving        atomic.Bool
	drainRequested chan struct{}
	// background is the context of all goroutines except those that serve callers' requests.
	background context.Context
	stop       context.CancelFunc
	// calls is the context of callers' requests, which ends only if they outlast a stop.
	calls       context.Context
	cancelCalls context.CancelCauseFunc
	loops       sync.WaitGroup
	ports       ports
	limits      limits
}

// ports holds the listeners of a box; forward is nil without an address of its own.
type ports struct {
	caller, admin, peer, forward net.Listener
}

// New assembles a daemon and opens its ports. The daemon serves nothing until Run is called.
func New(cfg settings.Settings, logger zerolog.Logger) (*Daemon, error) {
	background, stop := context.WithCancel(context.Background())
	d := &Daemon{
		settings: cfg, incarnation: uuid.NewString(), started: time.Now(),
		logger:         logger.With().Str("box", cfg.Box).Str("zone", cfg.Zone).Logger(),
		drainRequested: make(chan struct{}), background: background, stop: stop,
	}
	if err := d.loadTLS(); err != nil {
		return nil, err
	}
	if err := d.openPorts(); err != nil {
		return nil, err
	}
	if err := d.assemble(); err != nil {
		d.closePorts()
		return nil, err
	}
	return d, nil
}

// openPorts opens all ports before any component starts, so that a port that is already in use fails
// the start with a single error.
func (d *Daemon) openPorts() error {
	for _, port := range []struct {
		address  string
		listener *net.Listener
	}{{d.settings.Listen, &d.ports.caller}, {d.settings.Admin, &d.ports.admin}, {d.settings.Peer, &d.ports.peer}, {d.settings.Forward, &d.ports.forward}} {
		if port.address == "" {
			continue // only the port for forwarded calls may have none
		}
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			d.closePorts()
			return merry.Prepend(err, "open port")
		}
		*port.listener = listener
	}
	return nil
}

func (d *Daemon) closePorts() {
	for _, listener := range []net.Listener{d.ports.caller, d.ports.admin, d.ports.peer, d.ports.forward} {
		if listener != nil {
			_ = listener.Close() // no connection was accepted
		}
	}
}

func (d *Daemon) loadTLS() error {
	if files := d.settings.PeerTLS; files.Enabled() {
		loaded, err := tlsfiles.Load(tlsfiles.Config(files))
		if err != nil {
			return err
		}
		d.peerTLS = loaded
	}
	if files := d.settings.CallerTLS; files.Enabled() {
		loaded, err := tlsfiles.Load(tlsfiles.Config(files))
		if err != nil {
			return err
		}
		d.callerTLS = loaded
	}
	return nil
}

func (d *Daemon) assemble() error {
	keys, err := d.answerKeys()
	if err != nil {
		return err
	}
	d.metrics = telemetry.NewMetrics(d.settings.Box, d.settings.Zone)
	d.limits = d.newLimits()
	log := logservice.NewClient(logservice.ClientConfig{Address: d.settings.Log})

	// Cached cluster state: the configuration, the peers and the zone's runners.
	d.zoneView = zone.New(zone.Config{
		Zone: d.settings.Zone, LimitPosition: func(runner string) advisory.Position { return d.gossiper.LimitPosition(runner, true) },
	})
	engines := engine.NewClient(engine.ClientConfig{OnAdvisory: d.zoneView.ApplyAdvisory})
	d.watcher = watch.New(watch.Config{Engines: engines, View: d.zoneView, Logger: d.logger})
	d.follower = follow.New(follow.Config{Log: log, Logger: d.logger, OnChange: d.applyConfig})
	d.gossiper = peer.New(d.peerConfig())

	d.offloader = kept.New(kept.Config{
		Engines: engines, Stores: storebox.NewClient(storebox.ClientConfig{}), Logger: d.logger, Zone: d.settings.Zone,
	})
	d.rollout = rollout.New(rollout.Config{
		Engines: engines, Logger: d.logger, Zone: d.settings.Zone, Snapshot: d.follower.Snapshot,
		Reports: d.zoneView.Reports, IsLeader: d.gossiper.FirstInZone,
	})

	// The request path.
	d.budget = retrybudget.New(retrybudget.Config{})
	d.admit = admit.New(admit.Config{InFlightLimit: d.inFlightLimit})
	placeStage := place.New(place.Config[decide.TwoHomes]{
		View:      d.zoneView,
		Offloader: d.offloader,
		Policy:    decide.TwoHomes{IdleWait: decide.DefaultIdleWait, RecomputeFactor: decide.DefaultRecomputeFactor},
	})
	d.pipeline = pipeline.New(pipeline.Config{
		Capacity: d.settings.RingCapacity,
		Stages:   []flow.Stage{authenticate.New(), d.admit, placeStage},
	})
	d.dispatcher = dispatch.New(dispatch.Config{
		Engines: engines, Choose: placeStage.Choose, OnFailure: d.zoneView.NoteFailure, Budget: d.budget, Incarnation: d.zoneView.Incarnation, Logger: d.logger,
	})
	relayStage := relay.New(relay.Config{Engines: engines, Rerun: d.dispatcher.Redispatch})
	d.settle = settle.New(settle.Config{Logger: d.logger, Scope: d.metrics.Scope()})
	d.claims = claim.New(claim.Config{Log: log, Incarnation: d.incarnation, Window: d.keyWindow, Retention: d.settings.LogRetention})

	// The review service and the server depend on each other: reviews run through the server, and the
	// server serves the API of reviews.
	var server *api.Server
	d.reviews = review.New(review.Config{
		Log: log, Logger: d.logger, BoxName: d.settings.Box, LiveBoxes: d.gossiper.LiveBoxes, Retention: d.settings.LogRetention,
		ResultRetention: d.resultRetention, MaxParallel: d.maxParallelReviews,
		Run: func(ctx context.Context, task review.Task) ([]byte, error) { return server.RunReview(ctx, task) },
	})
	server = api.New(api.Config{
		Snapshot: d.follower.Snapshot, Keys: keys, Pipeline: d.pipeline, Dispatcher: d.dispatcher, Relay: relayStage,
		Settle: d.settle, Claims: d.claims, Reviews: d.reviews, Services: plainservice.NewClient(plainservice.ClientConfig{OnAdvisory: d.zoneView.ApplyAdvisory}),
		Zone: d.zoneView, Offloader: d.offloader, Budget: d.budget, Memory: d.limits.calls,
	})
	d.router = routed.New(routed.Config{
		Logger: d.logger, Scope: d.metrics.Scope(), Zone: d.settings.Zone, BoxCount: d.boxCount, Budget: d.budget, Next: server.Handler(),
		LimitPosition: func(_, server string) advisory.Position { return d.gossiper.LimitPosition(server, false) },
		Forwarding:    d.forwarding(), Memory: d.limits.calls,
	})
	d.calls, d.cancelCalls = context.WithCancelCause(context.Background())
	d.callerServer = &http.Server{
		Handler: d.router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return d.calls },
	}
	connlimit.Attach(d.callerServer, nil)
	d.forwardServer = d.newForwardServer()
	d.admin = newOperatorServer(d.newAdminServer().Handler())
	return nil
}

// Limits of connections from callers and operators.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// answerKeys returns the keys from the settings, or else a random key. Other boxes do not have the
// random key, so an answer can then be resumed only at this box.
func (d *Daemon) answerKeys() (answerid.Keys, error) {
	if len(d.settings.AnswerKeys) > 0 {
		return answerid.NewKeys(d.settings.AnswerKeys)
	}
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return answerid.Keys{}, merry.Wrap(err)
	}
	d.logger.Warn().Msg("answer_keys_not_set")
	return answerid.NewKeys([][]byte{key})
}

func (d *Daemon) peerConfig() peer.Config {
	cfg := peer.Config{
		Self:    peer.Status{Box: d.settings.Box, Zone: d.settings.Zone, Incarnation: d.incarnation, ForwardAddress: d.ForwardAddress()},
		Address: d.PeerAddress(), Seeds: d.settings.Seeds, BoxList: boxlist.Static(nil),
		Source: d.follower, Logger: d.logger, Limiter: d.limits.boxes, OnBoxList: d.applyBoxList, AdvisoryReports: d.advisoryReports, ApplyAdvisoryReports: d.applyAdvisoryReports,
	}
	if d.settings.BoxList != "" {
		cfg.BoxList = boxlist.NewClient(d.settings.BoxList)
	}
	if d.peerTLS != nil {
		cfg.ServerTLS, cfg.ClientTLS = d.peerTLS.ServerConfig(), d.peerTLS.ClientConfig
	}
	return cfg
}

func (d *Daemon) newAdminServer() *admin.Server {
	return admin.New(admin.Config{
		Metrics: d.metrics.Handler(), State: func() any { return d.State() }, UnreadyReason: d.unreadyReason,
		Leaving: d.leaving.Load, Drain: d.beginDrain, OperatorKey: d.settings.OperatorKey,
	})
}

// advisoryReports returns the advisories that engines and servers of routes sent in their responses
// to this box. Reports of engines are keyed by the engine's name, those of servers of routes by a name
// that contains the server's address.
func (d *Daemon) advisoryReports() map[string]*advisory.Report {
	reports := d.zoneView.AdvisoryReports()
	maps.Copy(reports, d.router.AdvisoryReports())
	return reports
}

// applyAdvisoryReports applies the advisories that another box received.
func (d *Daemon) applyAdvisoryReports(reports map[string]*advisory.Report) {
	d.zoneView.ApplyAdvisoryReports(reports)
	d.router.ApplyAdvisoryReports(reports)
}

// applyBoxList applies the entries for backend servers of the platform's box list.
func (d *Daemon) applyBoxList(boxes []boxlist.Box) {
	var leaving []string
	listed := make([]routed.ListEntry, 0, len(boxes))
	for _, box := range boxes {
		if box.State == boxlist.Leaving {
			leaving = append(leaving, box.Name)
		}
		if box.Peer != "" {
			continue // an entry box
		}
		listed = append(listed, routed.ListEntry{
			Name: box.Name, Incarnation: box.Incarnation, Address: box.Address, Leaving: box.State == boxlist.Leaving,
		})
	}
	d.zoneView.SetListedLeaving(leaving)
	d.router.ApplyBoxList(listed)
}

// applyConfig applies a new configuration to all components that depend on it.
func (d *Daemon) applyConfig(snapshot *config.Snapshot) {
	d.zoneView.Configure(snapshot)
	d.offloader.Configure(snapshot)
	d.watcher.Configure(d.background)
	d.router.Configure(snapshot)
	d.metrics.Scope().Gauge("config_version").Update(float64(snapshot.Version()))
}

// oversubscription is the number of requests in flight from a zone's boxes for each batch slot of the
// zone's runners. Above 1, a runner has a queued request when a slot becomes free. It is kept close
// to 1 so that most requests wait in the boxes, where they are ordered by priority.
const oversubscription = 1.25

// boxCount returns the number of live entry boxes in all zones, including this one.
func (d *Daemon) boxCount() int { return len(d.gossiper.LiveBoxes()) }

// inFlightLimit returns this box's equal share of the requests that the boxes of its zone may have in
// flight at the zone's runners.
func (d *Daemon) inFlightLimit() int {
	slots := float64(d.zoneView.Slots())
	return max(1, int(slots*oversubscription/float64(d.gossiper.BoxesInZone())))
}

func (d *Daemon) keyWindow() time.Duration {
	snapshot := d.follower.Snapshot()
	if snapshot == nil {
		return 0
	}
	return time.Duration(snapshot.File().Limits.KeyWindowSeconds) * time.Second
}

func (d *Daemon) resultRetention() time.Duration {
	snapshot := d.follower.Snapshot()
	if snapshot == nil {
		return d.settings.LogRetention
	}
	return time.Duration(snapshot.File().Limits.ReviewRetentionSeconds) * time.Second
}

// maxParallelReviews returns how many reviews this box may run concurrently. It is 0 while the box
// drains, so that running reviews finish and queued ones run on other boxes.
func (d *Daemon) maxParallelReviews() int {
	if d.leaving.Load() || d.follower.Snapshot() == nil {
		return 0
	}
	return d.inFlightLimit()
}

// unreadyReason returns why the load balancer should send no callers to this box, or "" if it is ready.
func (d *Daemon) unreadyReason() string {
	if d.leaving.Load() {
		return "leaving"
	}
	if d.follower.Snapshot() == nil {
		return "no configuration yet"
	}
	return ""
}

func (d *Daemon) beginDrain() {
	if d.leaving.CompareAndSwap(false, true) {
		close(d.drainRequested)
	}
}

// CallerAddress returns the address of the callers' port.
func (d *Daemon) CallerAddress() string { return d.ports.caller.Addr().String() }

// AdminAddress returns the address of the operators' port.
func (d *Daemon) AdminAddress() string { return d.ports.admin.Addr().String() }

// PeerAddress returns the address of the port for other entry boxes.
func (d *Daemon) PeerAddress() string { return d.ports.peer.Addr().String() }
