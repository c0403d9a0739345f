// Package daemon assembles an entry box from its parts, starts it, and stops it
// without cutting off a request.
//
// The assembly is the map of the whole: read assemble from top to bottom for
// what a box consists of, and Run for its life.
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
	exchange  *peer.Gossiper
	knowledge *zone.View
	watcher   *watch.Watcher
	rollout   *rollout.Controller
	keeper    *kept.Offloader
	admit     *admit.Stage
	pipeline  *pipeline.Pipeline
	// dispatcher hands requests to engines.
	dispatcher *dispatch.Dispatcher
	settle     *settle.Stage
	claims     *claim.Service
	reviews    *review.Service
	budget     *retrybudget.Budget
	router     *routed.Router
	caller     *http.Server
	admin      *http.Server
	callerTLS  *tlsfiles.Files
	peerTLS    *tlsfiles.Files

	leaving atomic.Bool
	drain   chan struct{}
	// background is the context of everything but the callers' requests.
	background context.Context
	stop       context.CancelFunc
	loops      sync.WaitGroup
	ports      ports
}

// ports are the open ports of a box.
type ports struct {
	caller, admin, peer net.Listener
}

// New assembles a daemon; it does nothing before Run.
func New(cfg settings.Settings, logger zerolog.Logger) (*Daemon, error) {
	background, stop := context.WithCancel(context.Background())
	d := &Daemon{
		settings: cfg, incarnation: uuid.NewString(), started: time.Now(),
		logger: logger.With().Str("box", cfg.Box).Str("zone", cfg.Zone).Logger(),
		drain:  make(chan struct{}), background: background, stop: stop,
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

// openPorts opens all ports before anything else runs, so that a port that is
// taken is one clear error.
func (d *Daemon) openPorts() error {
	for _, port := range []struct {
		address  string
		listener *net.Listener
	}{{d.settings.Listen, &d.ports.caller}, {d.settings.Admin, &d.ports.admin}, {d.settings.Peer, &d.ports.peer}} {
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
	for _, listener := range []net.Listener{d.ports.caller, d.ports.admin, d.ports.peer} {
		if listener != nil {
			_ = listener.Close() // nothing has used it
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
	log := logservice.NewClient(logservice.ClientConfig{Address: d.settings.Log})

	// Hints and caches: the configuration, the peers, the zone.
	d.knowledge = zone.New(zone.Config{
		Zone: d.settings.Zone, LimitPosition: func(runner string) advisory.Position { return d.exchange.LimitPosition(runner, true) },
	})
	engines := engine.NewClient(engine.ClientConfig{OnAdvisory: d.knowledge.ApplyAdvisory})
	d.watcher = watch.New(watch.Config{Engines: engines, View: d.knowledge, Logger: d.logger})
	d.follower = follow.New(follow.Config{Log: log, Logger: d.logger, OnChange: d.configure})
	d.exchange = peer.New(d.peerConfig())

	d.keeper = kept.New(kept.Config{
		Engines: engines, Stores: storebox.NewClient(storebox.ClientConfig{}), Logger: d.logger, Zone: d.settings.Zone,
	})
	d.rollout = rollout.New(rollout.Config{
		Engines: engines, Logger: d.logger, Zone: d.settings.Zone, Snapshot: d.follower.Snapshot,
		Reports: d.knowledge.Reports, IsLeader: d.exchange.FirstInZone,
	})

	// The way of a request.
	d.budget = retrybudget.New(retrybudget.Config{})
	d.admit = admit.New(admit.Config{InFlightLimit: d.room})
	placing := place.New(place.Config[decide.TwoHomes]{
		View:      d.knowledge,
		Offloader: d.keeper,
		Policy:    decide.TwoHomes{IdleWait: decide.DefaultIdleWait, RecomputeFactor: decide.DefaultRecomputeFactor},
	})
	d.pipeline = pipeline.New(pipeline.Config{
		Capacity: d.settings.RingCapacity,
		Stages:   []flow.Stage{authenticate.New(), d.admit, placing},
	})
	d.dispatcher = dispatch.New(dispatch.Config{
		Engines: engines, Choose: placing.Choose, OnFailure: d.knowledge.NoteFailure, Budget: d.budget, Incarnation: d.knowledge.Incarnation, Logger: d.logger,
	})
	relaying := relay.New(relay.Config{Engines: engines, Rerun: d.dispatcher.Redispatch})
	d.settle = settle.New(settle.Config{Logger: d.logger, Scope: d.metrics.Scope()})
	d.claims = claim.New(claim.Config{Log: log, Incarnation: d.incarnation, Window: d.keyWindow, Retention: d.settings.LogRetention})

	// Reviews run through the server, and the server answers for them.
	var server *api.Server
	d.reviews = review.New(review.Config{
		Log: log, Logger: d.logger, BoxName: d.settings.Box, LiveBoxes: d.exchange.LiveBoxes, Retention: d.settings.LogRetention,
		ResultRetention: d.keepAnswers, MaxParallel: d.parallelReviews,
		Run: func(ctx context.Context, task review.Task) ([]byte, error) { return server.RunReview(ctx, task) },
	})
	server = api.New(api.Config{
		Snapshot: d.follower.Snapshot, Keys: keys, Pipeline: d.pipeline, Dispatcher: d.dispatcher, Relay: relaying,
		Settle: d.settle, Claims: d.claims, Reviews: d.reviews, Services: plainservice.NewClient(plainservice.ClientConfig{OnAdvisory: d.knowledge.ApplyAdvisory}),
		Zone: d.knowledge, Offloader: d.keeper, Budget: d.budget,
	})
	d.router = routed.New(routed.Config{
		Logger: d.logger, Scope: d.metrics.Scope(), Zone: d.settings.Zone, BoxCount: d.boxes, Budget: d.budget, Next: server.Handler(),
		LimitPosition: func(_, server string) advisory.Position { return d.exchange.LimitPosition(server, false) },
	})
	d.caller = &http.Server{Handler: d.router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	d.admin = &http.Server{Handler: d.adminServer().Handler(), ReadHeaderTimeout: headerTimeout}
	return nil
}

// Limits of connections from outside.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// answerKeys takes the keys of the settings, or makes one that only this process
// knows: answers can then be taken up again at this box alone.
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
		Self:    peer.Status{Box: d.settings.Box, Zone: d.settings.Zone, Incarnation: d.incarnation},
		Address: d.PeerAddress(), Seeds: d.settings.Seeds, BoxList: boxlist.Static(nil),
		Source: d.follower, Logger: d.logger, OnBoxList: d.takeList, AdvisoryReports: d.advised, ApplyAdvisoryReports: d.takeAdvised,
	}
	if d.settings.BoxList != "" {
		cfg.BoxList = boxlist.NewClient(d.settings.BoxList)
	}
	if d.peerTLS != nil {
		cfg.ServerTLS, cfg.ClientTLS = d.peerTLS.Server(), d.peerTLS.Client
	}
	return cfg
}

func (d *Daemon) adminServer() *admin.Server {
	return admin.New(admin.Config{
		Metrics: d.metrics.Handler(), State: func() any { return d.State() }, Ready: d.unreadyReason,
		Leaving: d.leaving.Load, Drain: d.beginDrain, OperatorKey: d.settings.OperatorKey,
	})
}

// advised gives what engines and servers of routes said of themselves in answers to this box. Engines
// go by their names, servers of routes by names that hold an address.
func (d *Daemon) advised() map[string]*advisory.Report {
	reports := d.knowledge.AdvisoryReports()
	maps.Copy(reports, d.router.AdvisoryReports())
	return reports
}

// takeAdvised takes over what another box was answered.
func (d *Daemon) takeAdvised(reports map[string]*advisory.Report) {
	d.knowledge.ApplyAdvisoryReports(reports)
	d.router.ApplyAdvisoryReports(reports)
}

// takeList takes over what the platform's list says of backend servers.
func (d *Daemon) takeList(boxes []boxlist.Box) {
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
	d.knowledge.SetListedLeaving(leaving)
	d.router.ApplyBoxList(listed)
}

// configure takes over a new configuration.
func (d *Daemon) configure(snapshot *config.Snapshot) {
	d.knowledge.Configure(snapshot)
	d.keeper.Configure(snapshot)
	d.watcher.Configure(d.background)
	d.router.Configure(snapshot)
	d.metrics.Scope().Gauge("config_version").Update(float64(snapshot.Version()))
}

// oversubscription is how many requests a zone's boxes together hand to its
// runners for each slot of their batches: enough that a slot that gets free
// finds the next request there, and little enough that the order is decided
// here.
const oversubscription = 1.25

// boxes counts the living entry boxes of all zones, this one included.
func (d *Daemon) boxes() int { return len(d.exchange.LiveBoxes()) }

// room is this box's part of the room at the zone's runners.
func (d *Daemon) room() int {
	slots := float64(d.knowledge.Slots())
	return max(1, int(slots*oversubscription/float64(d.exchange.BoxesInZone())))
}

func (d *Daemon) keyWindow() time.Duration {
	snapshot := d.follower.Snapshot()
	if snapshot == nil {
		return 0
	}
	return time.Duration(snapshot.File().Limits.KeyWindowSeconds) * time.Second
}

func (d *Daemon) keepAnswers() time.Duration {
	snapshot := d.follower.Snapshot()
	if snapshot == nil {
		return d.settings.LogRetention
	}
	return time.Duration(snapshot.File().Limits.ReviewRetentionSeconds) * time.Second
}

// parallelReviews is how many reviews this box runs at once: none while it is
// about to stop, so that those in flight finish and the others go elsewhere.
func (d *Daemon) parallelReviews() int {
	if d.leaving.Load() || d.follower.Snapshot() == nil {
		return 0
	}
	return d.room()
}

// unreadyReason says why the balancer should send no callers, or nothing.
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
		close(d.drain)
	}
}

// CallerAddress gives the address of the callers' port.
func (d *Daemon) CallerAddress() string { return d.ports.caller.Addr().String() }

// AdminAddress gives the address of the operators' port.
func (d *Daemon) AdminAddress() string { return d.ports.admin.Addr().String() }

// PeerAddress gives the address of the other entry boxes' port.
func (d *Daemon) PeerAddress() string { return d.ports.peer.Addr().String() }
