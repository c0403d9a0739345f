// Package loadshare exchanges load reports, membership and known weight versions between entry
// boxes, so that each box places calls by the load that all boxes put on a backend server.
//
// A load report is a hint: it expires when no newer one arrives. One guarantee depends on the
// reports, that of package retire, and it needs to know how old a report is. A message may be
// delayed by seconds in a broken link and still arrive. Each message therefore carries the sender's
// own time. The receiver echoes that time in its next message, together with the time since it
// received it. The echo shows that the next message was sent no earlier than the sum of both. Both
// clocks are monotonic, so nothing depends on the time of day.
//
// In a small fleet the boxes send to each other directly. In a larger fleet each zone has a hub
// (package delegate): boxes send their load to their zone's hub, hubs exchange the totals of their
// zones, and a hub sends each of its boxes the total of all other boxes (links.go, loads.go).
// Membership and weight versions take the same path, but as one entry per box and never as a count,
// with the age of the oldest entry (roster.go), so that no box is counted twice. When 295 boxes
// sent to each other directly, reports were 0.4 s old within a zone and 2 s old between zones, and
// 70,000 messages a second used most of the CPU time of all boxes.
//
// Each box finds the addresses of the others in the platform's log, where every box writes its own
// when it starts.
//
// On the wire a message is a frame of package frame.
package loadshare

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/fairshare"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Config configures a Share.
type Config struct {
	Log    sharedlog.Log
	Fleet  *fleet.Fleet
	Logger zerolog.Logger
	// Box is the name of this box. Incarnation identifies this run of its process.
	Box         string
	Incarnation string
	// Address is where other boxes connect to this one. ReaderAddress serves the boxes that read
	// the log through it, PlacesAddress serves requests for places at the servers that it owns, and
	// ForwardAddress, which may be empty, serves calls that other boxes forward. Zone is its availability zone, and Cores the number of CPU cores that it may use.
	Address        string
	ReaderAddress  string
	PlacesAddress  string
	ForwardAddress string
	// OriginsAddress, which may be empty, is where other boxes look for the origins of streams.
	OriginsAddress string
	Zone           string
	Cores          float64
	// FirstSystemStart is true when the whole system starts for the first time, and AppendTime is
	// the time that the log takes for an append; zero stands for DefaultAppendTime.
	FirstSystemStart bool
	AppendTime       time.Duration
	// RestoredBoxes returns the boxes that the log lists again after it came back from a copy, and the end
	// of that stream. ReadsLog reports whether this box reads the log for itself. Both may be nil.
	RestoredBoxes func() (boxes []string, end int64)
	ReadsLog      func() bool
	// NamedVersions returns the weight versions that were named for each model, as far as this box
	// knows, oldest first. MergeNamedVersions merges those of another box, which were current at
	// asOf, or at an unknown earlier time when asOf is zero.
	NamedVersions      func() map[string][]registry.PeerWeights
	MergeNamedVersions func(named map[string][]registry.PeerWeights, asOf time.Time)
	// NeedsSnapshot reports that this box has no configuration and cannot read the log. Snapshot
	// returns what it read from the log for a box in a zone, nil while it has no configuration.
	// ApplySnapshot applies the snapshot of another box.
	NeedsSnapshot func() bool
	Snapshot      func(zone string) *registry.Snapshot
	ApplySnapshot func(registry.Snapshot)
	// Quarantine records which requests crash servers; nil stands for an empty one.
	Quarantine *quarantine.Set
	// PartQuarantine is the same for the parts of prompts.
	PartQuarantine *quarantine.Set
	// QuarantineLoaded reports whether this box has what the log has of them, and OnQuarantineLoaded is called
	// for each report of a box that has, once its records are merged. Both may be nil.
	QuarantineLoaded   func() bool
	OnQuarantineLoaded func()
	// Parts has the samples of fetches from store boxes that boxes exchange; nil stands for none.
	Parts *partindex.Index
	// MayCallCold reports whether this box may call cold servers at all; nil means that it may.
	MayCallCold func() bool
	// Uses returns what this box reports of its use by organisations, nil if it grants no places.
	// MergeUses merges the report of another box. Both may be nil.
	Uses      func() []fairshare.ServiceReport
	MergeUses func(box string, uses []fairshare.ServiceReport)
	// Mechanisms records which mechanisms are switched off.
	Mechanisms mechanism.Switches
	// Dial connects to another box; nil stands for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Share exchanges reports with the other boxes.
type Share struct {
	cfg     Config
	started time.Time

	mu sync.Mutex
	// peers holds the other boxes by name, links those to which this box sends.
	peers map[string]*peer
	links map[string]*peerLink
	// hub is the hub that this box follows since hubSince; empty if this box is a hub, or if boxes
	// send to each other directly. avoided holds boxes that could not be reached, each with the
	// time until which it is not selected.
	hub      string
	hubSince time.Time
	avoided  map[string]time.Time
	// candidateBoxes caches the other boxes as package delegate takes them, as of candidatesAt.
	candidateBoxes []delegate.Box
	candidatesAt   time.Time
	// reports holds the last report of each box that sends to this one. states holds the state of
	// each box, merged from its own reports and the rosters of hubs.
	reports map[string]*report
	states  map[string]*peerState
	// statesAt is when states was last updated, and rostersChanged means that since then the set of
	// reports has changed, or the entries of a roster.
	statesAt       time.Time
	rostersChanged bool
	// stateLog has the changes of states that have not been logged yet.
	stateLog stateLog
	// followerRoster lists this box's followers and is sent to all other boxes. fullRoster lists
	// all boxes and is sent to the followers. generation counts the changes of both.
	followerRoster localRoster
	fullRoster     localRoster
	generation     uint64
	// loadSources holds the boxes whose loads are counted.
	loadSources map[string]bool
	// everReported holds the boxes that have ever sent this one a message.
	everReported map[string]bool
	// announced is whether this box is listed in the log, since announcedOffset. listLoaded is
	// whether the list of boxes has been read.
	announced       bool
	announcedOffset int64
	listLoaded      bool
	// announcedAt is when this incarnation first found itself listed, or listed again.
	announcedAt time.Time
	// coldOwners caches which box calls each cold server, by the current list.
	coldOwners map[string]string
	// limits caches this box's ranks among the boxes that share a server's rate limit.
	limits limitRanks
	// informed means that IsInformed was true once.
	informed bool
	// unlisted is signalled when this box was removed from the list.
	unlisted waiting.Signal
	// restored is signalled when the log came back from a copy.
	restored waiting.Signal
	// snapshotTurnAt is when another box was last due to receive the configuration, from this box
	// or, in a large fleet, from others.
	snapshotTurnAt map[string]time.Time
	// snapshotsUnderWay has an element for each snapshot that is being sent.
	snapshotsUnderWay chan struct{}
	// headroomOwners caches the owner of each server's headroom.
	headroomOwners map[string]string
	// totals is the load of this box and of all boxes that report to it, as of totalsAt.
	totals   map[string]fleet.Load
	totalsAt time.Time
	// urgentCount counts urgent changes. urgent ends the pause before the next message to each
	// peer.
	urgentCount uint64
	urgent      waiting.Signal
	// relink is signalled when the set of boxes to send to may have changed.
	relink waiting.Signal
	loops  sync.WaitGroup
	server *frame.Server
}

// DefaultAppendTime is the time that the log takes for an append if the platform does not specify
// it.
const DefaultAppendTime = 4 * time.Millisecond

// New creates a Share without peers.
func New(cfg Config) *Share {
	cfg.AppendTime = cmp.Or(cfg.AppendTime, DefaultAppendTime)
	if cfg.Dial == nil {
		dialer := net.Dialer{Timeout: ioTimeout}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.MayCallCold == nil {
		cfg.MayCallCold = func() bool { return true }
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantine.New(quarantine.Config{})
	}
	if cfg.PartQuarantine == nil {
		cfg.PartQuarantine = quarantine.New(quarantine.Config{Threshold: quarantine.PartThreshold})
	}
	if cfg.QuarantineLoaded == nil {
		cfg.QuarantineLoaded = func() bool { return false }
	}
	if cfg.OnQuarantineLoaded == nil {
		cfg.OnQuarantineLoaded = func() {}
	}
	if cfg.Uses == nil {
		cfg.Uses = func() []fairshare.ServiceReport { return nil }
	}
	if cfg.MergeUses == nil {
		cfg.MergeUses = func(string, []fairshare.ServiceReport) {}
	}
	if cfg.Parts == nil {
		cfg.Parts = partindex.New(partindex.Config{})
	}
	s := &Share{
		cfg: cfg, started: boottime.Now(), peers: map[string]*peer{}, links: map[string]*peerLink{}, reports: map[string]*report{},
		states: map[string]*peerState{}, avoided: map[string]time.Time{}, snapshotTurnAt: map[string]time.Time{}, snapshotsUnderWay: make(chan struct{}, maxSnapshotsUnderWay),
		headroomOwners: map[string]string{}, coldOwners: map[string]string{}, everReported: map[string]bool{}, loadSources: map[string]bool{}, followerRoster: newLocalRoster(), fullRoster: newLocalRoster(),
	}
	s.server = frame.NewServer(cfg.Logger, s.serve)
	return s
}

// self describes this box for package delegate.
func (s *Share) self() delegate.Box {
	return delegate.Box{Name: s.cfg.Box, Zone: s.cfg.Zone, Cores: s.cfg.Cores}
}
