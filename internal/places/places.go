// Package places has one box of each zone, the owner of its runners, choose the runner for each
// long prompt that comes to any box.
//
// The load that it answers: a burst while runners are silent. Boxes that each place by what
// they know of all others' work send 59 boxes' prompts to the runner that was least busy 0.3 s
// ago, whose memory then holds five times what fits; prompts wait there while what was fetched
// for them is thrown away, and are read anew, which holds up everybody else's answers.
//
// An owner is a hint with a fallback: no lease, nothing replicated, no promise rests on it. It
// follows from which boxes there are (package delegate), as hubs do; where there are hubs it is
// the hub of its zone, which hears most of the zone's work first-hand, and small zones share
// one. What it granted it counts at once, until the asker's own word on its work can hold the
// call (owner.go). Boxes that disagree on the owner for a moment have two, each of which knows of
// the other's calls as late as boxes without owners do. An asker that gets no answer within answerLimit chooses by itself and leaves that
// owner alone for a while, so an owner that dies, stands still or is cut off costs one wait of
// each box.
//
// Calls wait for room at the owner, so that there is one line for a zone, the most urgent first.
package places

import (
	"context"
	"net"
	"slices"
	"sync"
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

// Box is an entry box, with where others ask it for places.
type Box struct {
	delegate.Box
	Address string
}

// Config sets up Places.
type Config struct {
	Fleet  *fleet.Fleet
	Logger zerolog.Logger
	// Self is this box, and Others gives the others. None is asked while Active reports
	// false.
	Self   Box
	Others func() []Box
	Active func() bool
	// Said gives a moment after which another box has said what this one has of its work;
	// zero when that is not known.
	Said func(box string) time.Time
	// Off holds mechanisms that are switched off.
	Off mechanism.Off
	// Dial connects to another box; nil stands for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Places asks owners, and answers where this box is one.
type Places struct {
	cfg Config

	mu sync.Mutex
	// owners are the boxes by the zones that they own, as of ownersAt.
	owners   map[string]Box
	ownersAt time.Time
	// silent holds owners that did not answer, until when they are left alone, and idle the
	// open connections to owners, by address.
	silent map[string]time.Time
	idle   map[string][]idleConnection
	// queues holds the calls that wait here, by service, and open the grants that still count.
	queues map[string]*queue
	open   []grant
	// lapsing says that a timer is set which ends them.
	lapsing bool
	server  *frame.Server
}

// queue holds calls that wait for a place.
type queue = admission.Queue[Question, *fleet.Grant]

// Errors of a box that gave no place.
var (
	// ErrNoOwner says that nobody is there to ask.
	ErrNoOwner = merry.Sentinel("no box owns the servers of the zone")
	// ErrSilent says that the owner did not answer a short while ago.
	ErrSilent = merry.Sentinel("the owner of the zone's servers did not answer lately")
	// ErrNotOwner says that the box which was asked does not own the servers.
	ErrNotOwner = merry.Sentinel("the box does not own the servers of the zone")
)

// New makes places that nobody asks yet.
func New(cfg Config) *Places {
	if cfg.Dial == nil {
		dialer := net.Dialer{Timeout: connectLimit}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	p := &Places{cfg: cfg, silent: map[string]time.Time{}, idle: map[string][]idleConnection{}, queues: map[string]*queue{}}
	p.server = frame.NewServer(cfg.Logger, p.serve)
	return p
}

// Active reports whether places are asked for at all.
func (p *Places) Active() bool { return p.cfg.Off.On(mechanism.Owners) && p.cfg.Active() }

// owning is what the owner of a zone does. The order is that of hubs, so that it is one, and
// there is one for however many boxes.
var owning = delegate.Config{Role: "hub", BoxesPerDelegate: 1 << 30}

// ownersFor is how long owners are remembered that were worked out: to rank 300 boxes takes
// 0.1 ms, and which are there changes seldom.
const ownersFor = 200 * time.Millisecond

// ownerOf gives the owner of a zone's servers.
func (p *Places) ownerOf(zone string) (Box, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := boottime.Now(); now.Sub(p.ownersAt) > ownersFor {
		p.owners, p.ownersAt = map[string]Box{}, now
	}
	if owner, known := p.owners[zone]; known {
		return owner, owner.Name != ""
	}
	owner, there := p.workOutOwner(zone)
	p.owners[zone] = owner
	return owner, there
}

func (p *Places) workOutOwner(zone string) (Box, bool) {
	all := append(slices.Clone(p.cfg.Others()), p.cfg.Self)
	boxes := make([]delegate.Box, len(all))
	for i, box := range all {
		boxes[i] = box.Box
	}
	chosen, there := delegate.ForZone(owning, zone, boxes)
	if !there {
		return Box{}, false
	}
	return all[slices.IndexFunc(all, func(b Box) bool { return b.Name == chosen.Name })], true
}

// owns reports whether this box owns the servers of a zone.
func (p *Places) owns(zone string) bool {
	owner, there := p.ownerOf(zone)
	return there && owner.Name == p.cfg.Self.Name
}
