// Package loadshare lets entry boxes tell each other how much work they have at
// which backend server, so that each places calls by the work of all, and which
// versions of weights they know.
//
// What is told of work is a hint. What has not been heard for a while counts as nothing.
// One promise rests on what is told, that of package retire, and so on how old a word
// can be: a message may lie in a cut link for seconds and then arrive. Each message
// therefore carries the sender's own time, which the receiver sends back in its next
// one with how long it had it; what comes with the echo was said after that time and as long
// again. Both clocks are steady ones, so nothing rests on the time of day.
//
// A few boxes tell each other directly. In a larger fleet each zone has a hub (package
// delegate): its boxes tell it their work, hubs tell each other that of their zones, and
// a hub tells each of its boxes the sum of all others' (links.go, work.go). Which boxes
// there are and what they know goes the same way, by name and never as a count, with the
// age of the oldest word among them (roster.go), so that no box can be counted twice. At
// 295 boxes that told each other directly, a word was 0.4 s old within a zone and 2 s
// between zones, and 70,000 messages a second took most of all boxes' processor.
//
// Where the boxes reach each other stands in the platform's log: each writes its
// address once when it starts.
//
// On the wire a message is a frame of package frame.
package loadshare

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Config sets up a Share.
type Config struct {
	Log    sharedlog.Log
	Fleet  *fleet.Fleet
	Logger zerolog.Logger
	// Box names this box, Life this life of it.
	Box  string
	Life string
	// Address is where other boxes reach this one, Reader where those that follow it ask
	// it, Places where it is asked for places, Zone its availability zone, and Cores the processor that it may use.
	Address string
	Reader  string
	Places  string
	Zone    string
	Cores   float64
	// Named gives the weights that this box knows to be named, by model, the newest
	// last, and Heard takes over what another box knew at asOf, or some time before
	// now when asOf is zero.
	Named func() map[string][]registry.PeerWeights
	Heard func(named map[string][]registry.PeerWeights, asOf time.Time)
	// Lacks reports that this box has no configuration and cannot read the log. Snapshot
	// gives what it read of the log, or nil while it has no configuration; Adopt takes
	// over that of another box.
	Lacks    func() bool
	Snapshot func() *registry.Snapshot
	Adopt    func(registry.Snapshot)
	// Quarantine knows which requests end servers; nil stands for one that knows nothing.
	Quarantine *quarantine.Set
	// MayCallCold reports whether this box may call cold servers at all; nil means that it may.
	MayCallCold func() bool
	// Off holds mechanisms that are switched off.
	Off mechanism.Off
	// Dial connects to another box; nil stands for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Share tells and hears.
type Share struct {
	cfg     Config
	started time.Time

	mu sync.Mutex
	// peers are the other boxes that are listed, by name, and telling those that are told.
	peers   map[string]*peer
	telling map[string]*telling
	// hub is the box that this one follows, since hubSince; empty for a hub, and where boxes
	// tell each other directly. avoided holds boxes that could not be reached, until when.
	hub      string
	hubSince time.Time
	avoided  map[string]time.Time
	// othersNow are the other boxes as they were described to package delegate, at othersAt.
	othersNow []delegate.Box
	othersAt  time.Time
	// heard holds the last word of each box that tells this one, and known what is known of
	// each box, by its own word or by that of a hub.
	heard map[string]*word
	known map[string]*standing
	// stockAt is when known was last worked out.
	stockAt time.Time
	// outward is what others than this box's followers are told of boxes, inward what these
	// are told; generation counts the changes of both.
	outward    board
	inward     board
	generation uint64
	// answers holds the boxes that have ever told this one anything.
	answers map[string]bool
	// announced says that this box stands in the log, since announcedOffset; followed
	// that the list of boxes was read.
	announced       bool
	announcedOffset int64
	followed        bool
	// announcedAt is when this box found itself listed, in this life.
	announcedAt time.Time
	// coldOwners remembers which box calls each cold server, by the present list.
	coldOwners map[string]string
	// limits remembers where this box stands among those that share servers' rate limits.
	limits limitRanks
	// unlisted is woken when this box was taken off the list.
	unlisted waiting.Signal
	// handedAt is when it was last another box's turn to be handed the configuration,
	// by this box or, in a large fleet, by others.
	handedAt map[string]time.Time
	// headroom remembers whose each server's headroom is.
	headroom map[string]string
	// sums is what the boxes that are heard have to do, as of sumsAt.
	sums   map[string]fleet.Load
	sumsAt time.Time
	// urgency counts what must be told at once, and urgent ends the pause before the next
	// message to each peer.
	urgency uint64
	urgent  waiting.Signal
	// relink is woken when other boxes may have to be told.
	relink waiting.Signal
	loops  sync.WaitGroup
	server *frame.Server
}

// New makes a share that knows no peers.
func New(cfg Config) *Share {
	if cfg.Dial == nil {
		dialer := net.Dialer{Timeout: ioLimit}
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
	s := &Share{
		cfg: cfg, started: boottime.Now(), peers: map[string]*peer{}, telling: map[string]*telling{}, heard: map[string]*word{},
		known: map[string]*standing{}, avoided: map[string]time.Time{}, handedAt: map[string]time.Time{},
		headroom: map[string]string{}, coldOwners: map[string]string{}, answers: map[string]bool{}, outward: newBoard(), inward: newBoard(),
	}
	s.server = frame.NewServer(cfg.Logger, s.serve)
	return s
}

// self describes this box to package delegate.
func (s *Share) self() delegate.Box {
	return delegate.Box{Name: s.cfg.Box, Zone: s.cfg.Zone, Cores: s.cfg.Cores}
}
