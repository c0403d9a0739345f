// Package crash tells whether a server that broke off a call has ended without a word.
//
// A call breaks off for many reasons: a connection is reset, a link is cut, a planned stop
// ends it, an answer cannot be read. Only one of them is the server's own end, and two things
// prove it. At once: the server's address refuses a new connection, while another server of its
// zone takes one, so its machine is there and the process is not. Later: the registry names
// another life of the server, or another server at its address. Neither counts for a server
// that was to end, as its entry said, and a server that merely cannot be reached proves nothing.
//
// The other server is asked since a cut between zones may refuse connections, too: two boxes of
// a zone that was cut off took 14 living servers each for ended, and held a request for it.
//
// The second proof is for a server that is back before the first is looked for, or a box that
// comes late to look.
package crash

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// lookEvery is the time between two looks at what the registry says of servers that broke
	// off calls, and lookFor how long it is looked at: an entry goes after three heartbeats,
	// and is read within a second.
	lookEvery = 250 * time.Millisecond
	lookFor   = 6 * time.Second
	// rememberFor is how long a server that has ended is remembered, so that it is asked once
	// and not for each call that it took along. It may be back soon, in a life that does not
	// tell itself from the one before.
	rememberFor = 2 * time.Second
	// mostLosses bounds the calls for which the registry is looked at; more come only of an
	// outage, which ends no servers.
	mostLosses = 512
)

// BrokenCall is a call that broke off.
type BrokenCall struct {
	Server fleet.Server
	// Request is what the call asked, Caller stands for who asked it.
	Request fingerprint.Fingerprint
	Caller  uint64
}

// Config sets up a Detector.
type Config struct {
	Logger zerolog.Logger
	// Connect connects to an address, and gives the system's error if it cannot.
	Connect func(ctx context.Context, address string) error
	// Neighbours gives the addresses of other servers that are reached as a server is, the likeliest
	// first. Nil is for servers of the box's own zone alone, where no cut lies between.
	Neighbours func(server fleet.Server) []string
	// Fate says what the registry knows of a life of a server.
	Fate func(incarnation string) fleet.Fate
	// OnCrash is told of each call under which a server ended.
	OnCrash func(BrokenCall)
}

// Detector tells crashes.
type Detector struct {
	cfg Config

	mu sync.Mutex
	// lives are those that were asked about lately.
	lives map[string]*life
	// open are losses of which nothing is proved.
	open  []openLoss
	added waiting.Signal
}

// life is what is known of a life of a server that broke off a call.
type life struct {
	askedAt time.Time
	// asked is closed when it is known whether the server refuses connections.
	asked chan struct{}
	ended bool
}

type openLoss struct {
	BrokenCall
	until time.Time
}

// New makes a detector.
func New(cfg Config) *Detector { return &Detector{cfg: cfg, lives: map[string]*life{}} }

// Check reports whether the server of a call that broke off has ended. What is not known now
// may be found out later; either way OnCrash is told.
func (d *Detector) Check(ctx context.Context, loss BrokenCall) bool {
	if d.cfg.Fate(loss.Server.Incarnation) == fleet.FateLeft {
		return false
	}
	if d.ended(ctx, loss.Server) {
		d.cfg.OnCrash(loss)
		return true
	}
	d.lookLater(loss)
	return false
}

// ended asks a server whether it has ended, once for all calls that it broke off at a time.
func (d *Detector) ended(ctx context.Context, server fleet.Server) bool {
	known, first := d.life(server.Incarnation)
	if first {
		known.ended = d.refuses(context.WithoutCancel(ctx), server) // for all, whoever leaves
		close(known.asked)
		if known.ended {
			d.cfg.Logger.Warn().Str("server", server.Incarnation).Str("service", server.Service).Str("address", server.Address).Str("proof", "refused").Msg("server_crashed")
		}
		return known.ended
	}
	select {
	case <-known.asked:
		return known.ended
	case <-ctx.Done():
		return false
	}
}

// mostNear bounds the other servers that are asked: one that answers is enough, and some may have
// ended as well.
const mostNear = 3

// refuses reports whether a server refuses connections that others of its zone take.
func (d *Detector) refuses(ctx context.Context, server fleet.Server) bool {
	if err := d.cfg.Connect(ctx, server.Address); !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	if d.cfg.Neighbours == nil {
		return true
	}
	near := d.cfg.Neighbours(server)
	return slices.ContainsFunc(near[:min(len(near), mostNear)], func(address string) bool { return d.cfg.Connect(ctx, address) == nil })
}

// askedAgain is how long the answer of a server that has not ended holds.
const askedAgain = 20 * time.Millisecond

// life gives what is known of a life, and whether the caller is to ask. What was asked too
// long ago is asked again.
func (d *Detector) life(incarnation string) (known *life, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := boottime.Now()
	for name, other := range d.lives {
		if now.Sub(other.askedAt) > rememberFor {
			delete(d.lives, name)
		}
	}
	if known = d.lives[incarnation]; known != nil && (!known.isAsked() || known.ended || now.Sub(known.askedAt) < askedAgain) {
		return known, false
	}
	known = &life{askedAt: now, asked: make(chan struct{})}
	d.lives[incarnation] = known
	return known, true
}

func (l *life) isAsked() bool {
	select {
	case <-l.asked:
		return true
	default:
		return false
	}
}

// lookLater has the registry looked at for a while.
func (d *Detector) lookLater(loss BrokenCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) < mostLosses {
		d.open = append(d.open, openLoss{loss, boottime.Now().Add(lookFor)})
		d.added.Send()
	}
}

// Loop looks at the registry until ctx ends.
func (d *Detector) Loop(ctx context.Context) {
	for ctx.Err() == nil {
		added := d.added.Wait()
		if !d.anyOpen() {
			select {
			case <-added:
			case <-ctx.Done():
				return
			}
		}
		waiting.For(ctx, lookEvery)
		for _, loss := range d.takeProved() {
			d.cfg.OnCrash(loss)
		}
	}
}

func (d *Detector) anyOpen() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open) > 0
}

// takeProved takes out the losses whose servers have ended, and drops those of which nothing
// more will be known.
func (d *Detector) takeProved() []BrokenCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := boottime.Now()
	var proved []BrokenCall
	kept := d.open[:0]
	told := map[string]bool{}
	for _, loss := range d.open {
		fate := d.cfg.Fate(loss.Server.Incarnation)
		switch {
		case fate == fleet.FateReplaced:
			proved = append(proved, loss.BrokenCall)
			if incarnation := loss.Server.Incarnation; !told[incarnation] {
				told[incarnation] = true
				d.cfg.Logger.Warn().Str("server", incarnation).Str("service", loss.Server.Service).Str("address", loss.Server.Address).Str("proof", "registry").Msg("server_crashed")
			}
		case fate != fleet.FateLeft && now.Before(loss.until):
			kept = append(kept, loss)
		}
	}
	clear(d.open[len(kept):])
	d.open = kept
	return proved
}
