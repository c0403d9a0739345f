// The limits of what clients of the ports make the box hold.

package daemon

import (
	"net"
	"net/http"
	"runtime/debug"

	"github.com/cometlock/cometlock/internal/connlimit"
	"github.com/cometlock/cometlock/internal/membudget"
	"github.com/cometlock/cometlock/internal/peer"
)

const (
	// memoryLimitFraction is the fraction of the memory that is set as the Go runtime's limit, near which the
	// garbage collector works hardest.
	memoryLimitFraction = 0.75
	// organisationFraction is the fraction of the memory for calls that one organisation may hold. It leaves room
	// for a body of the largest size on a small machine.
	organisationFraction = 0.75
)

// limits are the limits of the ports and of the calls.
type limits struct {
	callers, boxes, operators *connlimit.Limiter
	calls                     *membudget.Budget
}

// newLimits returns the limits for the memory and the descriptors of the process.
func (d *Daemon) newLimits() limits {
	machine := connlimit.ThisMachine().Within(int64(d.settings.MemoryMB)<<20, 0)
	if machine.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(machine.MemoryBytes)))
	}
	limiter := func(cfg connlimit.Config) *connlimit.Limiter {
		cfg.Logger, cfg.Scope = d.logger, d.metrics.Scope()
		return connlimit.New(cfg)
	}
	calls := membudget.LimitsFor(machine.MemoryBytes)
	calls.PerOrganisation = int64(organisationFraction * float64(calls.Total))
	calls.PerCall = calls.PerOrganisation
	return limits{
		callers: limiter(machine.Callers()), boxes: limiter(machine.Boxes(peer.MaxMessageBytes)), operators: limiter(machine.Operators()),
		calls: membudget.New(calls),
	}
}

// newOperatorServer returns the server for operators, whose requests have no bodies.
func newOperatorServer(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: connlimit.LimitBody(handler, headerTimeout), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	connlimit.Attach(server, nil)
	return server
}

// limited returns a listener of an HTTP server within the limits of a limiter.
func limited(limiter *connlimit.Limiter, inner net.Listener) net.Listener {
	return limiter.Listener(inner, connlimit.HeadWeight)
}
