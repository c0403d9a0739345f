// Package entrybox assembles an entry box that routes calls by a registry, runs it, and drains it
// at a stop so that no call is cut off.
//
// assemble and the methods that it calls create the parts of the box. Run starts them and stops
// them.
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
	"github.com/cometlock/cometlock/internal/baseversion"
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
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/membudget"
	"github.com/cometlock/cometlock/internal/namespace"
	"github.com/cometlock/cometlock/internal/orderlease"
	"github.com/cometlock/cometlock/internal/originlog"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/peerpath"
	"github.com/cometlock/cometlock/internal/places"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/quarantinelog"
	"github.com/cometlock/cometlock/internal/reach"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/retrybudget"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/storewatch"
	"github.com/cometlock/cometlock/internal/streamorigin"
	"github.com/cometlock/cometlock/internal/telemetry"
	"github.com/cometlock/cometlock/internal/waiting"
	"github.com/cometlock/cometlock/internal/weightorders"
	"github.com/cometlock/cometlock/internal/zonereader"
)

// Config configures a Box.
type Config struct {
	Settings Settings
	Logger   zerolog.Logger
	// Adapters to external services and formats.
	Protocol call.Protocol
	Log      sharedlog.Log
	Decoder  registry.Decoder
	Runners  weightorders.RunnerClient
	Stores   storewatch.StoreClient
	// ReadyPath is the path at which the balancer polls whether the box is ready.
	ReadyPath string
}

// Box is one entry box.
type Box struct {
	cfg      Config
	settings Settings
	logger   zerolog.Logger
	// incarnation identifies this process of the box, which started at startedAt.
	incarnation string
	startedAt   time.Time

	metrics      *telemetry.Metrics
	log          *sharedlog.Measured
	fleet        *fleet.Fleet
	parts        *partindex.Index
	registry     *registry.Registry
	lease        *orderlease.Lease
	weightOrders *weightorders.Controller
	watcher      *storewatch.Watcher
	share        *loadshare.Share
	readers      *zonereader.Member
	places       *places.Placer
	// shares are the fair shares of organisations; nil if they are switched off.
	shares *shares
	// streamsChanged is signalled when a stream changes that this box forwards to its followers.
	streamsChanged waiting.Signal
	// partsChanged is signalled when a store box reports a change.
	partsChanged waiting.Signal
	retire       *retire.Policy
	retries      *retrybudget.Set
	pool         *handover.Pool
	gateway      *gateway.Gateway
	// memory bounds the memory that calls hold.
	memory *membudget.Budget
	// crashes detects which servers crashed under which requests, and quarantine determines which
	// requests caused it.
	crashes    *crash.Detector
	quarantine *quarantine.Set
	// partQuarantine is the same for the parts of prompts.
	partQuarantine *quarantine.Set
	// quarantineLog has what is quarantined in the log.
	quarantineLog *quarantinelog.Keeper
	// reach detects services that this box does not reach, and peerPaths has the boxes through which
	// calls for them are forwarded.
	reach     *reach.Monitor
	peerPaths *peerpath.Paths
	// origins has the software versions that began streams, and originWriter records them in the log.
	origins      *streamorigin.Origins
	originWriter *originlog.Writer
	// baseVersions reads and writes the base version of each service, that of streams without a recorded origin.
	baseVersions *baseversion.Keeper
	// listFreshness is used by the loop of baseVersions alone.
	listFreshness listFreshness
	callerServer  *http.Server
	readyServer   *http.Server
	// forwardServer serves the calls that other boxes forward; nil if this box takes none.
	forwardServer *http.Server
	// metricsServer serves metrics at a separate address; nil if there is none.
	metricsServer *http.Server

	leaving atomic.Bool
	// resumed is signalled when the machine resumes from a suspension.
	resumed    waiting.Signal
	background context.Context
	stop       context.CancelFunc
	loops      sync.WaitGroup
	ports      ports
	limits     portLimits
}

// New returns a box with open ports. It does nothing before Run.
func New(cfg Config) (*Box, error) {
	b := &Box{cfg: cfg, settings: cfg.Settings.withDefaults(), incarnation: cfg.Settings.Box + "/" + uuid.NewString(), startedAt: boottime.Now()}
	b.logger = cfg.Logger.With().Str("box", cfg.Settings.Box).Str("zone", cfg.Settings.Zone).Logger()
	b.background, b.stop = context.WithCancel(context.Background())
	if err := b.openPorts(); err != nil {
		b.stop()
		return nil, err
	}
	b.assemble()
	return b, nil
}

// memoryLimitFraction is the fraction of the process's memory limit that is set as the Go runtime's
// limit, near which the garbage collector works hardest.
const memoryLimitFraction = 0.75

// assemble creates the parts of the box. Some call others that are created after them, but not
// before Run.
func (b *Box) assemble() {
	if b.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(b.settings.MemoryBytes)))
	}
	b.metrics = telemetry.NewMetrics(b.settings.Box, b.settings.Zone)
	b.limits = b.newPortLimits()
	b.log = sharedlog.NewMeasured(b.cfg.Log, b.metrics.Scope())
	b.assembleState()
	b.assembleQuarantine()
	b.assembleCoordination()
	b.assembleGateway()
}

// firstReadDelay is how long a box that has just started waits for the first answer of a reader
// before it reads the log and the state of the store boxes directly. It reads them at once if it
// finds that it is a reader itself. The time covers a reader that is starting too, after a power
// failure of all boxes.
//
// When the whole system starts for the first time, boxes look for a reader one after the other.
const (
	firstReadDelay       = 2 * time.Second
	firstSystemReadDelay = 4 * time.Second
)

func (b *Box) firstReadDelay() time.Duration {
	if b.settings.FirstSystemStart {
		return firstSystemReadDelay
	}
	return firstReadDelay
}

// assembleState creates the box's view of the backend servers, the kept parts and the
// configuration.
func (b *Box) assembleState() {
	b.fleet = fleet.New(fleet.Config{
		Logger: b.logger, Mechanisms: b.settings.Mechanisms, Heartbeat: b.settings.ServerHeartbeat,
		OwnsColdServer: func(zone, server string) bool { return b.share.OwnsColdServer(zone, server) },
		LimitPosition:  func(zone, server string) advisory.Position { return b.share.LimitPosition(zone, server) },
		OnRoomChange:   func() { b.share.SendNow() },
	})
	b.parts = partindex.New(partindex.Config{Changed: &b.partsChanged, Mechanisms: b.settings.Mechanisms, PollDelay: b.firstReadDelay(), Box: b.settings.Box, Boxes: func() int { return b.share.BoxCount() }, OnSpeedChange: b.onSpeedChange})
	b.registry = registry.New(registry.Config{
		Log: b.log, Eras: b.log.Eras(), Decoder: b.cfg.Decoder, Fleet: b.fleet, Logger: b.logger, OnCatalog: b.configure, StreamsChanged: &b.streamsChanged,
		OnBoxes: func(records []sharedlog.Record) { b.share.ApplyBoxRecords(records) }, FirstReadDelay: b.firstReadDelay(),
		ServerHeartbeat: b.settings.ServerHeartbeat,
		OnBoxesRestored: func(has func(box string) bool) { b.share.ApplyRestored(has) },
		ServersDeadline: b.settings.DrainDeadline, OperatorDeadline: b.settings.ConfigurationDeadline,
		HasReader: func() bool { return b.readers.Following() != "" }, ReaderLostLog: func() bool { return b.readers.ReaderLostLog() },
		ExpectsReader: func() bool { return b.readers.ExpectsReader() },
	})
}

// assembleCoordination creates what the boxes do together: orders to runners, the freeing of parts,
// and the exchange of load reports.
func (b *Box) assembleCoordination() {
	b.lease = orderlease.New(orderlease.Config{Log: b.log, Eras: b.log.Eras(), Logger: b.logger, Holder: b.incarnation, Gap: b.settings.OrderGap, Idle: b.ignoresOrders})
	b.weightOrders = weightorders.New(b.weightOrdersConfig())
	b.retire = retire.New(retire.Config{
		Registry: b.registry, Peers: func() []retire.Peer { return b.share.Peers() }, Boxes: func() int { return b.share.ListedCount() },
	})
	b.watcher = storewatch.New(storewatch.Config{Stores: b.cfg.Stores, Index: b.parts, Logger: b.logger, MayFree: b.mayFree})
	reports := loadshare.Config{
		Log: b.log, Fleet: b.fleet, Logger: b.logger, Box: b.settings.Box, Incarnation: shortIncarnation(b.incarnation), Zone: b.settings.Zone, Address: b.PeerAddress(), ReaderAddress: b.ReaderAddress(), PlacesAddress: b.PlacesAddress(), ForwardAddress: b.ForwardAddress(), OriginsAddress: b.OriginsAddress(),
		Cores: b.settings.Cores, Mechanisms: b.settings.Mechanisms, NamedVersions: b.registry.WeightsForPeers, MergeNamedVersions: b.registry.MergeWeights, Snapshot: b.registry.Snapshot,
		FirstSystemStart: b.settings.FirstSystemStart, AppendTime: b.settings.LogAppendTime,
		RestoredBoxes: b.registry.RestoredBoxes, ReadsLog: func() bool { return b.readers.Following() == "" },
		NeedsSnapshot: b.registry.NeedsSnapshot, ApplySnapshot: b.registry.Adopt, Quarantine: b.quarantine, PartQuarantine: b.partQuarantine, QuarantineLoaded: b.quarantineLog.IsLoaded, OnQuarantineLoaded: b.quarantineLog.MarkLoaded, MayCallCold: b.mayCallCold, Parts: b.parts,
	}
	if b.shares = newShares(b.settings.Mechanisms, b.fleet); b.shares != nil {
		reports.Uses, reports.MergeUses = b.usesForPeers, b.shares.merge
	}
	b.share = loadshare.New(reports)
	b.readers = zonereader.New(zonereader.Config{
		Registry: b.registry, Parts: b.parts, Logger: b.logger, StreamsChanged: &b.streamsChanged, PartsChanged: &b.partsChanged, Others: b.otherBoxes, BoxesKnown: b.share.BoxListLoaded,
		Mechanisms: b.settings.Mechanisms, Self: zonereader.Box{Box: b.self(), Address: b.ReaderAddress()},
		Log: b.log, Eras: b.log.Eras(), FirstSystemStart: b.settings.FirstSystemStart, Quarantine: b.quarantineLog,
	})
	owner := places.Config{
		Fleet: b.fleet, Logger: b.logger, Mechanisms: b.settings.Mechanisms, Others: b.otherOwners, Active: b.hasOtherOwners, ReportedAt: b.share.LoadSentAfter,
		Self: places.Box{Box: b.self(), Address: b.PlacesAddress()},
	}
	if b.shares != nil {
		owner.Excess = b.shares.excess
		owner.Admitted = func(request places.Request) { b.shares.admitted(requested(request)) }
		owner.Queued = func(request places.Request) { b.shares.queued(requested(request)) }
	}
	b.places = places.New(owner)
	b.baseVersions = baseversion.New(baseversion.Config{
		Log: b.log, Eras: b.log.Eras(), Logger: b.logger, Observe: b.observeSoftware,
		IsWriter: b.writesBaseVersions,
	})
	b.originWriter = originlog.NewWriter(originlog.WriterConfig{
		Log: b.log, Logger: b.logger, IsMarker: b.writesBaseVersions,
	})
	b.origins = streamorigin.New(streamorigin.Config{
		Logger: b.logger, Self: streamorigin.Box{Name: b.settings.Box, Zone: b.settings.Zone, Address: b.OriginsAddress(), Process: shortIncarnation(b.incarnation), Cores: b.settings.Cores},
		Others: b.originHolders, Versions: b.fleet.SoftwareVersions, Started: b.knowsFleet,
		Writer: b.originWriter, Reader: originlog.NewReader(originlog.ReaderConfig{Log: b.log, Logger: b.logger}), LogEra: b.logEra, LogEraSeenAt: b.logEraSeenAt,
		Bases: b.baseVersions, Services: b.fleet.Services, Outages: b.log.Outages(),
	})
}

// self returns this box's description for package delegate.
func (b *Box) self() delegate.Box {
	return delegate.Box{Name: b.settings.Box, Zone: b.settings.Zone, Cores: b.settings.Cores}
}

// ignoresOrders reports whether another box reads for this one, so that it need not follow which
// box holds the order lease. The standby reader follows it all the same: a box that begins to
// follow does not have the age of the last record, so it would wait for the whole gap from then on
// before the next order.
func (b *Box) ignoresOrders() bool { return b.registry.UsesReader() && !b.readers.Standby() }

// shortIncarnation returns the hash of an incarnation that messages between boxes use in its place.
func shortIncarnation(incarnation string) string {
	return strconv.FormatUint(xxhash.Sum64String(incarnation), 36)
}

// otherBoxes returns the boxes that may read for this one, in the form that package zonereader
// takes.
func (b *Box) otherBoxes() []zonereader.Box {
	others := b.share.Candidates()
	boxes := make([]zonereader.Box, len(others))
	for i, other := range others {
		boxes[i] = zonereader.Box{Box: other.Box, Address: other.ReaderAddress}
	}
	return boxes
}

// hasOtherOwners reports whether this box requests places from owners. A single box has no other to
// ask, and before a box has the list of boxes it would take itself for the owner of all servers.
func (b *Box) hasOtherOwners() bool { return b.share.BoxListLoaded() && b.share.BoxCount() > 1 }

// otherOwners returns the boxes that may own servers, in the form that package places takes.
func (b *Box) otherOwners() []places.Box {
	others := b.share.Candidates()
	boxes := make([]places.Box, len(others))
	for i, other := range others {
		boxes[i] = places.Box{Box: other.Box, Address: other.PlacesAddress}
		boxes[i].Unavailable = boxes[i].Unavailable || other.PlacesAddress == ""
	}
	return boxes
}

// knowsFleet reports whether the box has read which boxes and which servers there are.
func (b *Box) knowsFleet() bool { return b.share.BoxListLoaded() && b.fleet.CountListed() > 0 }

// logEra returns the newest era of the log that this box knows of.
func (b *Box) logEra() int64 {
	era, _ := b.log.Eras().Newest()
	return era
}

// logEraSeenAt returns when this box first saw that era.
func (b *Box) logEraSeenAt() time.Time {
	_, seenAt := b.log.Eras().Newest()
	return seenAt
}

// originHolders returns the other boxes, in the form that package streamorigin takes.
func (b *Box) originHolders() []streamorigin.Box {
	others := b.share.Candidates()
	boxes := make([]streamorigin.Box, len(others))
	for i, other := range others {
		boxes[i] = streamorigin.Box{Name: other.Name, Zone: other.Zone, Address: other.OriginsAddress, Process: other.Incarnation, Cores: other.Cores, Unavailable: other.Box.Unavailable}
	}
	return boxes
}

// memoryLimits returns the bounds of the memory that calls hold.
func (b *Box) memoryLimits() membudget.Limits {
	if !b.settings.Mechanisms.Enabled(mechanism.MemoryBudget) {
		return membudget.Limits{}
	}
	return membudget.LimitsFor(b.settings.MemoryBytes)
}

// assembleGateway creates the gateway that serves calls, and the HTTP servers of the ports.
func (b *Box) assembleGateway() {
	b.retries = newRetryBudgets(b.settings)
	b.memory = membudget.New(b.memoryLimits())
	cfg := gateway.Config{
		Protocol: b.cfg.Protocol, Pool: b.pool,
		Mechanisms: b.settings.Mechanisms, Fleet: b.fleet, Parts: b.parts, Logger: b.logger, Scope: b.metrics.Scope(), Zone: b.settings.Zone,
		Budget: b.retries.Budget, BoxCount: b.share.BoxCount, OwnsHeadroom: b.share.OwnsHeadroom, LoadReportAge: b.share.Lag,
		Places: b.places, BoxName: b.settings.Box, Regions: b.settings.Regions,
		Catalog: b.registry.Catalog, Weights: b.registry, Retire: b.retire, OutdatedAfter: b.settings.OutdatedAfter,
		IsResponsive: b.isResponsive, ServerListAge: b.registry.ServersAge, Quarantine: b.quarantine, PartQuarantine: b.partQuarantine, AwaitQuarantine: b.awaitQuarantine, ConfirmCrash: b.crashes.Check,
		Memory: b.memory, Origins: b.origins,
	}
	b.assembleForwarding(&cfg)
	if b.shares != nil {
		cfg.Excess, cfg.Admitted, cfg.Queued = b.shares.excess, b.shares.admitted, b.shares.queued
	}
	b.gateway = gateway.New(cfg)
	b.assembleServers()
}

// isResponsive reports whether a runner answers at all. It requests the runner's report, which
// takes no slot.
func (b *Box) isResponsive(ctx context.Context, server fleet.Server) bool {
	_, err := b.cfg.Runners.Report(ctx, server)
	return err == nil
}

// configure applies a new configuration.
func (b *Box) configure(next *catalog.Catalog) {
	b.parts.Configure(next.Services())
	b.fleet.SetColdLimits(b.coldLimits(next.Services()))
	b.watcher.Configure(b.background)
}

// coldLimits returns the limits for the cold servers of each service.
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

// maxServerListAge is the age of its list of servers above which a box no longer calls cold ones. A
// box that has been disconnected for longer uses a list of boxes that the other boxes may have
// replaced.
const maxServerListAge = 3 * time.Second

// mayCallCold reports whether this box may call cold servers. A leaving box stops before it is
// removed from the list of boxes, so that its calls do not add to those of the next box that calls
// them.
func (b *Box) mayCallCold() bool {
	return !b.leaving.Load() && b.registry.ServersAge() < maxServerListAge
}

// mayFree reports whether a kept part may be freed. Parts in namespaces that this box cannot parse
// are not freed.
func (b *Box) mayFree(part partindex.Key) bool {
	name, err := namespace.Parse(part.Namespace)
	return err == nil && b.retire.MayFree(name.Model, name.Weights, part.ID)
}
