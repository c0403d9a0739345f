// Package gateway is the way of a routed call through an entry box:
//
//	accept ─▶ authorise ─▶ [ place ─▶ hand over ─▶ relay ]… ─▶ settle
//
// The stages work one after the other on one exchange, plain data in which each
// writes its own fields. All wait for sockets or need a microsecond, so they run
// on the goroutine that the HTTP server gave the call. What is in brackets repeats
// while another backend server may be tried. Only while a server says nothing, another one is
// asked beside it (watch.go).
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/handover"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/places"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/retrybudget"
)

// Config sets up a Gateway.
type Config struct {
	Protocol call.Protocol
	Pool     *handover.Pool
	Fleet    *fleet.Fleet
	Parts    *partindex.Index
	Budget   *retrybudget.Budget
	// Boxes gives the number of entry boxes, this one included.
	Boxes func() int
	// Lag gives how old the word of other boxes on their work is, of those of this box's
	// zone or of the others; nil stands for none.
	Lag func(ownZone bool) time.Duration
	// Places gives the places of long prompts, for calls of this Box; nil where this box
	// chooses for itself.
	Places *places.Places
	Box    string
	// Off holds mechanisms that are switched off.
	Off mechanism.Off
	// Headroom reports whether a server's headroom belongs to this box.
	Headroom func(server string) bool
	Logger   zerolog.Logger
	Scope    tally.Scope
	// Zone is the availability zone of this box.
	Zone string
	// Regions gives the region of each zone.
	Regions map[string]string
	// Catalog gives the configuration in force, or nil before the first.
	Catalog func() *catalog.Catalog
	// Weights knows which versions of weights were named.
	Weights Weights
	// Retire says which kept parts may be fetched.
	Retire *retire.Policy
	// ServersAge gives how old the knowledge of the backend servers is; nil when it has no
	// age.
	ServersAge func() time.Duration
	// OutdatedAfter is when answers by older weights have lost all their worth.
	OutdatedAfter time.Duration
	// Answers reports whether a runner answers at all, whatever it is busy with; nil where none
	// can be asked.
	Answers func(ctx context.Context, server fleet.Server) bool
	// Quarantine knows which requests end servers, Crashed reports whether the server of a
	// call that broke off has ended; nil where nothing of it is known.
	Quarantine *quarantine.Set
	Crashed    func(ctx context.Context, loss crash.BrokenCall) bool
}

// Weights knows which versions of weights were named.
type Weights interface {
	// Weights gives the newest version named for a model.
	Weights(model string) registry.NamedWeights
	// OutdatedSince gives the first version named after the given one, if any.
	OutdatedSince(model string, version int) (registry.NamedWeights, bool)
}

// Gateway serves routed calls.
type Gateway struct {
	cfg      Config
	metrics  metrics
	inFlight atomic.Int64
	waiting  atomic.Int64
	number   atomic.Uint64
	// queues holds the calls that wait for room, by service.
	queues  sync.Map
	running running
}

// New makes a gateway.
func New(cfg Config) *Gateway {
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantine.New(quarantine.Config{})
	}
	return &Gateway{cfg: cfg, metrics: newMetrics(cfg.Scope), running: newRunning()}
}

// InFlight counts the calls under way.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Waiting counts the calls that are being placed; seen at any moment, most of them wait
// for room at a server.
func (g *Gateway) Waiting() int64 { return g.waiting.Load() }

// ServeHTTP takes one call through the stages.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := g.newExchange(w, r)
	defer x.stop(nil)
	defer g.settle(x)
	if !g.accept(x) || !g.authorise(x) || !g.readBody(x) {
		return
	}
	g.serve(x)
}

// exchange is one call on its way. Each group of fields is written by the stage
// named with it.
type exchange struct {
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time
	number  uint64
	// ctx ends with the caller's patience for the connection, or by stop.
	ctx  context.Context
	stop context.CancelCauseFunc

	// Written by accept.
	catalog *catalog.Catalog
	facts   call.Facts
	route   *catalog.Route
	service *catalog.Service
	// deadline ends the caller's patience or the route's timeout.
	deadline time.Time

	// Written by authorise.
	organisation *catalog.Organisation
	urgency      int

	// Written by readBody.
	body        []byte
	readAt      time.Time
	fingerprint fingerprint.Fingerprint

	// Written while the call is handed over.
	tried []string
	// handed counts the servers that the call was handed to: those tried but for such as
	// no connection was made to.
	handed int
	// paid says that the try under way, or that is being placed, was taken from the retry budget.
	paid bool
	// mayHaveRun says that no later refusal makes the call "not run".
	mayHaveRun bool
	// resumeAfter is the last event that the caller has; the lock of the present try's watch
	// guards it.
	resumeAfter string
	// answering says that a part of an answer has reached the caller.
	answering bool
	// lostBy says who ended the last try that was lost.
	lostBy side
	// failure is a backend server's answer that says that it failed; it is passed
	// on unless another server does better.
	failure *wholeAnswer
	// choice is the last placement, for the log; placeTime is what all of them took.
	choice    choice
	placeTime time.Duration
	// placedBy says who chose its server, and unplaced why the last owner that failed to did not.
	placedBy string
	unplaced string
	// shortage says why the call was placed nowhere, when it was not.
	shortage fleet.Shortage

	// Written by whoever ends the call, for settle.
	status     int
	outcome    outcome
	reason     string
	firstEvent time.Time
	events     int
	bytesOut   int64
}

// outcome says what became of a call.
type outcome string

// Outcomes of calls.
const (
	outcomeServed   outcome = "served"   // a whole answer reached the caller
	outcomeFailed   outcome = "failed"   // a backend server's failure was passed on
	outcomeRefused  outcome = "refused"  // the call did not run
	outcomeUnknown  outcome = "unknown"  // the call may have run, and there is no answer
	outcomeBroken   outcome = "broken"   // the answer broke off after a part of it
	outcomeGone     outcome = "gone"     // the caller left
	outcomeRejected outcome = "rejected" // the call itself is at fault
)

func (g *Gateway) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{writer: w, request: r, arrived: boottime.Now(), number: g.number.Add(1)}
	x.ctx, x.stop = context.WithCancelCause(r.Context())
	return x
}
