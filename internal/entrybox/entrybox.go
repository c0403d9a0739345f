// Package entrybox assembles an entry box that routes calls by a registry, starts
// it, and stops it without cutting off a call.
//
// Read assemble and what it calls for what the box consists of, and Run for its
// life.
package entrybox

import (
	"context"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/coldstart"
	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/gateway"
	"github.com/cometlock/cometlock/internal/handover"
	"github.com/cometlock/cometlock/internal/loadshare"
	"github.com/cometlock/cometlock/internal/namespace"
	"github.com/cometlock/cometlock/internal/orderlease"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/places"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/retrybudget"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/storewatch"
	"github.com/cometlock/cometlock/internal/telemetry"
	"github.com/cometlock/cometlock/internal/version"
	"github.com/cometlock/cometlock/internal/waiting"
	"github.com/cometlock/cometlock/internal/weightorders"
	"github.com/cometlock/cometlock/internal/zonereader"
)

// Config sets up a Box.
type Config struct {
	Settings Settings
	Logger   zerolog.Logger
	// The outside, by its adapter.
	Protocol call.Protocol
	Log      sharedlog.Log
	Decoder  registry.Decoder
	Runners  weightorders.RunnerClient
	Stores   storewatch.StoreClient
	// ReadyPath is where the balancer asks whether the box is ready.
	ReadyPath string
}

// Box is one entry box.
type Box struct {
	cfg      Config
	settings Settings
	logger   zerolog.Logger
	// name tells this life of the box from all others.
	name string

	metrics  *telemetry.Metrics
	log      *sharedlog.Measured
	fleet    *fleet.Fleet
	parts    *partindex.Index
	registry *registry.Registry
	lease    *orderlease.Lease
	giver    *weightorders.Controller
	watcher  *storewatch.Watcher
	share    *loadshare.Share
	readers  *zonereader.Member
	places   *places.Placer
	// news is woken when this box learns anything of a stream that boxes which follow it are
	// told.
	news waiting.Signal
	// partNews is woken when a store box says anything new.
	partNews waiting.Signal
	retire   *retire.Policy
	budget   *retrybudget.Budget
	pool     *handover.Pool
	gateway  *gateway.Gateway
	// crashes finds out which servers ended under which requests, quarantine which requests
	// are to blame.
	crashes    *crash.Detector
	quarantine *quarantine.Set
	callers    *http.Server
	ready      *http.Server
	// collect serves metrics at an address of their own; nil without one.
	collect *http.Server

	leaving atomic.Bool
	// woke is woken when the machine was suspended.
	woke       waiting.Signal
	background context.Context
	stop       context.CancelFunc
	loops      sync.WaitGroup
	ports      ports
}

// New assembles a box with open ports; it does nothing before Run.
func New(cfg Config) (*Box, error) {
	b := &Box{cfg: cfg, settings: cfg.Settings.withDefaults(), name: cfg.Settings.Box + "/" + uuid.NewString()}
	b.logger = cfg.Logger.With().Str("box", cfg.Settings.Box).Str("zone", cfg.Settings.Zone).Logger()
	b.background, b.stop = context.WithCancel(context.Background())
	if err := b.openPorts(); err != nil {
		b.stop()
		return nil, err
	}
	b.assemble()
	return b, nil
}

// memoryPart is the part of the memory limit at which the collector works hardest.
const memoryPart = 0.75

// assemble makes the parts of the box. Some ask others that are made after them;
// none does so before Run.
func (b *Box) assemble() {
	if b.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(b.settings.MemoryBytes)))
	}
	b.metrics = telemetry.NewMetrics(b.settings.Box, b.settings.Zone)
	b.log = sharedlog.NewMeasured(b.cfg.Log, b.metrics.Scope())
	b.assembleBeliefs()
	b.assembleSuspects()
	b.assembleShared()
	b.assembleWay()
}

// firstWait is how long a box that has just started waits to be told of the log and of store
// boxes before it asks itself: several times what the list of boxes and one answer of the
// box that reads for its zone take. It is not longer, since a box serves nobody meanwhile.
// When the whole system starts for the first time there is nobody to serve yet, and the list
// of boxes fills up over more than a second.
const (
	firstWait       = 300 * time.Millisecond
	systemFirstWait = 2 * time.Second
)

func (b *Box) firstWait() time.Duration {
	if b.settings.FirstSystemStart {
		return systemFirstWait
	}
	return firstWait
}

// assembleBeliefs makes what the box believes: the backend servers, the kept parts,
// the configuration.
func (b *Box) assembleBeliefs() {
	b.fleet = fleet.New(fleet.Config{
		Logger: b.logger, Mechanisms: b.settings.Mechanisms, Heartbeat: b.settings.ServerHeartbeat,
		OwnsColdServer: func(zone, server string) bool { return b.share.OwnsColdServer(zone, server) },
		LimitPosition:  func(zone, server string) advisory.Position { return b.share.LimitPosition(zone, server) },
	})
	b.parts = partindex.New(partindex.Config{News: &b.partNews, Off: b.settings.Mechanisms, PollDelay: b.firstWait()})
	b.registry = registry.New(registry.Config{
		Log: b.log, Decoder: b.cfg.Decoder, Fleet: b.fleet, Logger: b.logger, OnCatalog: b.configure, StreamsChanged: &b.news,
		OnBoxes: func(records []sharedlog.Record) { b.share.ApplyBoxRecords(records) }, FirstReadDelay: b.firstWait(),
		HasReader: func() bool { return b.readers.Following() != "" }, ReaderLostLog: func() bool { return b.readers.ReaderLostLog() },
	})
}

// assembleShared makes what boxes do together: orders to runners, the freeing of
// parts, and the exchange of their work.
func (b *Box) assembleShared() {
	b.lease = orderlease.New(orderlease.Config{Log: b.log, Logger: b.logger, Holder: b.name, Gap: b.settings.OrderGap, Idle: b.leavesOrders})
	b.giver = weightorders.New(weightorders.Config{
		Runners: b.cfg.Runners, Fleet: b.fleet, Lease: b.lease, Logger: b.logger, Holder: b.name, Off: b.settings.Mechanisms, OnPause: func() { b.share.SendNow() },
		Models: b.registry.DeclaredModels, TargetVersion: func(model string) int { return b.registry.Weights(model).Version },
	})
	b.retire = retire.New(retire.Config{
		Registry: b.registry, Peers: func() []retire.Peer { return b.share.Peers() }, Boxes: func() int { return b.share.ListedCount() },
	})
	b.watcher = storewatch.New(storewatch.Config{Stores: b.cfg.Stores, Index: b.parts, Logger: b.logger, MayFree: b.mayFree})
	b.share = loadshare.New(loadshare.Config{
		Log: b.log, Fleet: b.fleet, Logger: b.logger, Box: b.settings.Box, Incarnation: shortName(b.name), Zone: b.settings.Zone, Address: b.PeerAddress(), ReaderAddress: b.ReaderAddress(), PlacesAddress: b.PlacesAddress(),
		Cores: b.settings.Cores, Off: b.settings.Mechanisms, NamedVersions: b.registry.WeightsForPeers, MergeNamedVersions: b.registry.MergeWeights, Snapshot: b.registry.Snapshot,
		NeedsSnapshot: b.registry.NeedsSnapshot, ApplySnapshot: b.registry.Adopt, Quarantine: b.quarantine, MayCallCold: b.mayCallCold,
	})
	b.readers = zonereader.New(zonereader.Config{
		Registry: b.registry, Parts: b.parts, Logger: b.logger, StreamsChanged: &b.news, PartsChanged: &b.partNews, Others: b.otherBoxes, BoxesKnown: b.share.BoxListLoaded,
		Off: b.settings.Mechanisms, Self: zonereader.Box{Box: b.self(), Address: b.ReaderAddress()},
	})
	b.places = places.New(places.Config{
		Fleet: b.fleet, Logger: b.logger, Mechanisms: b.settings.Mechanisms, Others: b.otherOwners, Active: b.hasOwners, ReportedAt: b.share.LoadSentAfter,
		Self: places.Box{Box: b.self(), Address: b.PlacesAddress()},
	})
}

// self describes this box to package delegate.
func (b *Box) self() delegate.Box {
	return delegate.Box{Name: b.settings.Box, Zone: b.settings.Zone, Cores: b.settings.Cores}
}

// leavesOrders reports whether another box reads for this one, so that it need not follow who
// gives orders. The one that would read next does all the same: a box that begins to follow
// cannot tell how long ago the last record was written, and would wait out the whole gap from then
// on before the next order.
func (b *Box) leavesOrders() bool { return b.registry.UsesReader() && !b.readers.Standby() }

// shortName is a life's name as it stands in each message between boxes.
func shortName(life string) string { return strconv.FormatUint(xxhash.Sum64String(life), 36) }

// otherBoxes lists the boxes that may read for this one, as package zonereader wants them.
func (b *Box) otherBoxes() []zonereader.Box {
	others := b.share.Candidates()
	boxes := make([]zonereader.Box, len(others))
	for i, other := range others {
		boxes[i] = zonereader.Box{Box: other.Box, Address: other.ReaderAddress}
	}
	return boxes
}

// hasOwners reports whether boxes ask owners for places: a box alone has nobody to ask, and
// before it knows the others it would own all servers by itself.
func (b *Box) hasOwners() bool { return b.share.BoxListLoaded() && b.share.BoxCount() > 1 }

// otherOwners lists the boxes that may own servers, as package places wants them.
func (b *Box) otherOwners() []places.Box {
	others := b.share.Candidates()
	boxes := make([]places.Box, len(others))
	for i, other := range others {
		boxes[i] = places.Box{Box: other.Box, Address: other.PlacesAddress}
		boxes[i].Unavailable = boxes[i].Unavailable || other.PlacesAddress == ""
	}
	return boxes
}

// assembleWay makes the way of a call, and the ports' servers.
func (b *Box) assembleWay() {
	b.budget = retrybudget.New(retrybudget.Config{PerRequest: retryRatioPart * b.settings.RetryRatio, Burst: b.retryBurst()})
	b.gateway = gateway.New(gateway.Config{
		Protocol: b.cfg.Protocol, Pool: b.pool,
		Off: b.settings.Mechanisms, Fleet: b.fleet, Parts: b.parts, Logger: b.logger, Scope: b.metrics.Scope(), Zone: b.settings.Zone,
		Budget: b.budget, BoxCount: b.share.BoxCount, OwnsHeadroom: b.share.OwnsHeadroom, LoadReportAge: b.share.Lag,
		Places: b.places, BoxName: b.settings.Box, Regions: b.settings.Regions,
		Catalog: b.registry.Catalog, Weights: b.registry, Retire: b.retire, OutdatedAfter: b.settings.OutdatedAfter,
		IsResponsive: b.answers, ServerListAge: b.registry.ServersAge, Quarantine: b.quarantine, ConfirmCrash: b.crashes.Check,
	})
	b.assembleServers()
}

// answers reports whether a runner answers at all: it is asked for its report, which takes no slot.
func (b *Box) answers(ctx context.Context, server fleet.Server) bool {
	_, err := b.cfg.Runners.Report(ctx, server)
	return err == nil
}

// configure takes over a new configuration.
func (b *Box) configure(next *catalog.Catalog) {
	b.parts.Configure(next.Services())
	b.fleet.SetColdLimits(b.coldLimits(next.Services()))
	b.watcher.Configure(b.background)
}

// coldLimits gives what is allowed at the cold servers of each service.
func (b *Box) coldLimits(services []catalog.Service) map[string]coldstart.Limit {
	limits := make(map[string]coldstart.Limit, len(services))
	for _, service := range services {
		limits[service.Name] = coldstart.Limit{
			ColdTime: service.ColdStart, PerSecond: service.ColdPerSecond,
			Overage: b.settings.ColdOverage, Slack: b.settings.ColdSlack,
		}
	}
	return limits
}

// coldKnowledge is how old the knowledge of the servers of a box may be that calls cold ones. One
// that is out of touch for longer goes by a list of boxes by which others may go no more.
const coldKnowledge = 3 * time.Second

// mayCallCold reports whether this box may call cold servers. One that is leaving stops before it is
// taken off the list, so that the box which calls them next does not add to what this one sent.
func (b *Box) mayCallCold() bool {
	return !b.leaving.Load() && b.registry.ServersAge() < coldKnowledge
}

// mayFree reports whether a kept part may be freed. Namespaces that this box cannot
// read are left alone.
func (b *Box) mayFree(part partindex.Key) bool {
	name, err := namespace.Parse(part.Namespace)
	return err == nil && b.retire.MayFree(name.Model, name.Weights, part.ID)
}

// Run serves until ctx ends, and then until the last call has its answer.
func (b *Box) Run(ctx context.Context) error {
	for _, loop := range []func(context.Context){
		b.registry.LoopOperator, b.registry.LoopServers, b.lease.Loop, b.giver.Loop, b.watcher.LoopFree,
		b.registry.LoopBoxes, b.share.LoopAnnounce, b.share.LoopMaintainLinks, b.share.LoopExpireReports, b.readers.LoopFollow, b.crashes.Loop, b.loopWake, b.loopUpkeep,
	} {
		b.loops.Go(func() { loop(b.background) })
	}
	b.loops.Go(func() { b.share.LoopAccept(b.background, b.ports.peers) })
	b.loops.Go(func() { b.readers.LoopAccept(b.background, b.ports.readers) })
	b.loops.Go(func() { b.places.LoopAccept(b.background, b.ports.places) })
	boottime.OnResume(b.noteSuspension)
	b.serveAll()
	b.logger.Info().Str("version", version.Version).Str("callers", b.CallerAddress()).Str("ready", b.ReadyAddress()).
		Str("life", b.name).Stringer("off", b.settings.Mechanisms).Msg("started")
	<-ctx.Done()
	return b.shutDown()
}

// stopMargin is kept from the end of the time to stop.
const stopMargin = 500 * time.Millisecond

// shutDown is a planned stop: turn unready, take what still comes, finish what is
// under way, then end.
func (b *Box) shutDown() error {
	b.logger.Info().Int64("calls", b.gateway.InFlight()).Msg("leaving")
	b.leaving.Store(true)
	end := boottime.Now().Add(b.settings.StopTimeout - stopMargin)
	time.Sleep(b.settings.UnreadyDelay)
	ctx, cancel := context.WithTimeout(context.Background(), boottime.Until(end))
	defer cancel()
	err := b.callers.Shutdown(ctx)
	if err != nil {
		b.logger.Error().Int64("calls", b.gateway.InFlight()).Str("error", err.Error()).Msg("calls_cut_off")
	}
	b.stop()
	_ = b.ready.Close() // a question of the balancer may be cut off
	if b.collect != nil {
		_ = b.collect.Close() // as above
	}
	// The loops begin what the watcher and the share wait for, so they end first.
	b.loops.Wait()
	b.watcher.Wait()
	b.share.Wait()
	b.readers.Wait()
	b.places.Wait()
	_ = b.metrics.Close() // a collector that missed the last second
	b.tellCalls()
	b.logger.Info().Msg("stopped")
	return err
}
