// Package loadshare lets entry boxes tell each other how much work they have at
// which backend server, so that each places calls by the work of all.
//
// It is a hint service. What a box has not heard for a while counts as nothing. One
// promise rests on what is told, that of package retire, and so on how old a word
// can be: a message may lie in a cut link for seconds and then arrive. Each message
// therefore carries the sender's own time, which the receiver sends back in its next
// one; what comes with the echo was said after that time.
//
// Where the boxes reach each other stands in the platform's log: each writes its
// address once when it starts.
//
// On the wire a message is a frame of package frame.
package loadshare

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
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
	// it, and Zone its availability zone.
	Address string
	Reader  string
	Zone    string
	// Named gives the weights that this box knows to be named, by model, the newest
	// last, and Heard takes over what another box knew at asOf, or some time before
	// now when asOf is zero.
	Named func() map[string][]registry.Heard
	Heard func(named map[string][]registry.Heard, asOf time.Time)
	// Lacks reports that this box has no configuration and cannot read the log. Snapshot
	// gives what it read of the log, or nil while it has no configuration; Adopt takes
	// over that of another box.
	Lacks    func() bool
	Snapshot func() *registry.Snapshot
	Adopt    func(registry.Snapshot)
}

// Share tells and hears.
type Share struct {
	cfg     Config
	started time.Time

	mu    sync.Mutex
	peers map[string]*peer // by box
	heard map[string]word
	// answers holds the boxes that have ever told this one anything.
	answers map[string]bool
	// announced says that this box stands in the log, since announcedOffset; followed
	// that the list of boxes was read.
	announced       bool
	announcedOffset int64
	followed        bool
	// handedAt is when it was last another box's turn to be handed the configuration,
	// by this box or, in a large fleet, by others.
	handedAt map[string]time.Time
	// headroom remembers whether a server's headroom is this box's, until other boxes
	// are heard.
	headroom map[string]bool
	// urgent ends the pause before the next message to each peer.
	urgent waiting.Signal
	loops  sync.WaitGroup
}

// New makes a share that knows no peers.
func New(cfg Config) *Share {
	return &Share{
		cfg: cfg, started: time.Now(), peers: map[string]*peer{}, heard: map[string]word{}, handedAt: map[string]time.Time{},
		headroom: map[string]bool{}, answers: map[string]bool{},
	}
}
