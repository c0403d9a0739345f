// Package crash detects whether a server that broke off a call has crashed.
//
// A call can break off for many reasons: a connection is reset, a link is cut, a planned stop
// ends it, an answer cannot be read. Only one of them is a crash of the server, and there are two
// proofs of that. The first is available at once: the server's address refuses a new connection
// while another server of its zone accepts one, so the machine is reachable and the process has
// exited. The second comes later: the registry lists another incarnation of the server, or another
// server at its address. Neither counts for a server whose entry announced that it would stop,
// and a server that is merely unreachable proves nothing.
//
// The other server is probed because connections may also be refused in a network partition between
// zones: two boxes of a partitioned zone each considered 14 running servers crashed, and quarantined
// a request because of that.
//
// The second proof covers a server that restarted before the first proof was sought, and a box
// that sought it late.
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
	// registryInterval is the time between two checks of the registry for servers that broke off
	// calls, and registryWatch how long they are checked. An entry is removed after three missed
	// heartbeats, and that is read within a second.
	registryInterval = 250 * time.Millisecond
	registryWatch    = 6 * time.Second
	// crashCacheFor is how long the result for a crashed server is cached, so that it is probed
	// once and not for each call that it took down. It may restart soon, and its new incarnation
	// cannot be distinguished from the previous one.
	crashCacheFor = 2 * time.Second
	// maxUnresolved bounds the calls for which the registry is checked. More of them come only from
	// a network outage, which crashes no servers.
	maxUnresolved = 512
)

// BrokenCall is a call that broke off.
type BrokenCall struct {
	Server fleet.Server
	// Request identifies the request of the call, and Caller its caller.
	Request fingerprint.Fingerprint
	Caller  uint64
	// Parts identify the parts of the call's prompt that other prompts may have too.
	Parts []fingerprint.Fingerprint
	// Running is how long the server had been sending events of the call's stream.
	Running time.Duration
}

// Config configures a Detector.
type Config struct {
	Logger zerolog.Logger
	// Connect connects to an address, and returns the error of the operating system if that fails.
	Connect func(ctx context.Context, address string) error
	// Neighbours returns the addresses of other servers on the same network path as a server, the
	// most likely to be running first. Nil is for servers in the box's own zone only, where no cut
	// can lie between.
	Neighbours func(server fleet.Server) []string
	// RegistryStatus returns the state of an incarnation of a server in the registry.
	RegistryStatus func(incarnation string) fleet.RegistryStatus
	// OnCrash is called for each call under which a server crashed.
	OnCrash func(BrokenCall)
}

// Detector detects crashes of servers.
type Detector struct {
	cfg Config

	mu sync.Mutex
	// probes holds recent probes, by incarnation.
	probes map[string]*probe
	// unresolved holds the calls whose server is not known to have crashed.
	unresolved []unresolvedCall
	added      waiting.Signal
}

// probe is a connection attempt to a server that broke off a call, and its result.
type probe struct {
	startedAt time.Time
	// done is closed when the result is known.
	done    chan struct{}
	crashed bool
}

type unresolvedCall struct {
	BrokenCall
	until time.Time
}

// New returns a detector.
func New(cfg Config) *Detector { return &Detector{cfg: cfg, probes: map[string]*probe{}} }

// Check reports whether the server of a call that broke off has crashed. What is not known yet
// may be detected later; in both cases OnCrash is called.
func (d *Detector) Check(ctx context.Context, call BrokenCall) bool {
	if d.cfg.RegistryStatus(call.Server.Incarnation) == fleet.StatusLeft {
		return false
	}
	if d.hasCrashed(ctx, call.Server) {
		d.cfg.OnCrash(call)
		return true
	}
	d.watchRegistry(call)
	return false
}

// hasCrashed probes whether a server has crashed, once for all calls that it broke off at the
// same time.
func (d *Detector) hasCrashed(ctx context.Context, server fleet.Server) bool {
	result, first := d.probe(server.Incarnation)
	if first {
		result.crashed = d.refusesConnections(context.WithoutCancel(ctx), server) // shared by all callers, whichever of them leaves
		close(result.done)
		if result.crashed {
			d.cfg.Logger.Warn().Str("server", server.Incarnation).Str("service", server.Service).Str("address", server.Address).Str("proof", "refused").Msg("server_crashed")
		}
		return result.crashed
	}
	select {
	case <-result.done:
		return result.crashed
	case <-ctx.Done():
		return false
	}
}

// maxNeighbours bounds the other servers that are probed: one that accepts is enough, and some
// may have crashed as well.
const maxNeighbours = 3

// refusesConnections reports whether a server refuses connections while another one of its zone
// accepts them.
func (d *Detector) refusesConnections(ctx context.Context, server fleet.Server) bool {
	if err := d.cfg.Connect(ctx, server.Address); !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	if d.cfg.Neighbours == nil {
		return true
	}
	neighbours := d.cfg.Neighbours(server)
	return slices.ContainsFunc(neighbours[:min(len(neighbours), maxNeighbours)], func(address string) bool { return d.cfg.Connect(ctx, address) == nil })
}

// reprobeAfter is how long the result for a server that has not crashed is cached.
const reprobeAfter = 20 * time.Millisecond

// probe returns the probe of an incarnation, and whether the caller must perform it. Results that
// are too old are replaced.
func (d *Detector) probe(incarnation string) (result *probe, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := boottime.Now()
	for name, other := range d.probes {
		if now.Sub(other.startedAt) > crashCacheFor {
			delete(d.probes, name)
		}
	}
	if result = d.probes[incarnation]; result != nil && (!result.isDone() || result.crashed || now.Sub(result.startedAt) < reprobeAfter) {
		return result, false
	}
	result = &probe{startedAt: now, done: make(chan struct{})}
	d.probes[incarnation] = result
	return result, true
}

func (p *probe) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// watchRegistry adds a call for which the registry is checked for a while.
func (d *Detector) watchRegistry(call BrokenCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.unresolved) < maxUnresolved {
		d.unresolved = append(d.unresolved, unresolvedCall{call, boottime.Now().Add(registryWatch)})
		d.added.Broadcast()
	}
}

// Loop checks the registry until ctx ends.
func (d *Detector) Loop(ctx context.Context) {
	for ctx.Err() == nil {
		added := d.added.Chan()
		if !d.anyUnresolved() {
			select {
			case <-added:
			case <-ctx.Done():
				return
			}
		}
		waiting.For(ctx, registryInterval)
		for _, call := range d.takeCrashed() {
			d.cfg.OnCrash(call)
		}
	}
}

func (d *Detector) anyUnresolved() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.unresolved) > 0
}

// takeCrashed removes and returns the calls whose servers have crashed, and drops those that can
// no longer be resolved.
func (d *Detector) takeCrashed() []BrokenCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := boottime.Now()
	var crashed []BrokenCall
	kept := d.unresolved[:0]
	logged := map[string]bool{}
	for _, call := range d.unresolved {
		status := d.cfg.RegistryStatus(call.Server.Incarnation)
		switch {
		case status == fleet.StatusReplaced:
			crashed = append(crashed, call.BrokenCall)
			if incarnation := call.Server.Incarnation; !logged[incarnation] {
				logged[incarnation] = true
				d.cfg.Logger.Warn().Str("server", incarnation).Str("service", call.Server.Service).Str("address", call.Server.Address).Str("proof", "registry").Msg("server_crashed")
			}
		case status != fleet.StatusLeft && now.Before(call.until):
			kept = append(kept, call)
		}
	}
	clear(d.unresolved[len(kept):])
	d.unresolved = kept
	return crashed
}
