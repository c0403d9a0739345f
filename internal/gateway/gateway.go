// Package gateway serves a routed call at an entry box, as a reverse proxy with retries and
// hedging:
//
//	accept ─▶ authorise ─▶ [ place ─▶ forward ─▶ relay ]… ─▶ record
//
// The stages run one after the other on one exchange, a plain struct in which each stage writes its
// own fields. All of them wait for sockets or take a microsecond, so they run on the goroutine that
// the HTTP server started for the call. The stages in brackets repeat while another backend server
// may be tried. Attempts run one at a time, except while a server is unresponsive and a hedge is
// sent to another one (watch.go).
package gateway

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/fairshare"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/handover"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/membudget"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/peerpath"
	"github.com/cometlock/cometlock/internal/places"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/reach"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/retrybudget"
	"github.com/cometlock/cometlock/internal/streamorigin"
)

// Config configures a Gateway.
type Config struct {
	Protocol call.Protocol
	Pool     *handover.Pool
	Fleet    *fleet.Fleet
	Parts    *partindex.Index
	// Budget returns the retry budget of a service.
	Budget func(service string) *retrybudget.Budget
	// BoxCount returns the number of entry boxes, this one included.
	BoxCount func() int
	// LoadReportAge returns the age of the load reports from other boxes, either those of this
	// box's zone or those of other zones; nil means that there are none.
	LoadReportAge func(ownZone bool) time.Duration
	// Places requests places for long prompts from the owner boxes of runners, on behalf of the box
	// BoxName; nil where this box places all calls itself.
	Places  *places.Placer
	BoxName string
	// Excess returns how much an organisation uses of its fair share of a service, for the calls that
	// this box places itself; 1 or less means that it is within it. Nil means that there are no
	// shares. Admitted is called for each such call with a prompt that is placed, and Queued for each
	// one that is not placed at once; both may be nil.
	Excess   func(service, organisation string) float64
	Admitted func(placed fairshare.Call)
	Queued   func(waiting fairshare.Call)
	// Mechanisms records which mechanisms are switched off.
	Mechanisms mechanism.Switches
	// OwnsHeadroom reports whether a server's headroom is assigned to this box.
	OwnsHeadroom func(server string) bool
	Logger       zerolog.Logger
	Scope        tally.Scope
	// Zone is the availability zone of this box.
	Zone string
	// Regions maps each zone to its region.
	Regions map[string]string
	// Catalog returns the configuration in force, or nil before the first one.
	Catalog func() *catalog.Catalog
	// Weights looks up the announced versions of weights.
	Weights WeightVersions
	// Retire decides which stored prompt parts may be fetched.
	Retire *retire.Policy
	// ServerListAge returns the age of this box's list of backend servers; nil where the list has
	// no age.
	ServerListAge func() time.Duration
	// OutdatedAfter is how long after a newer version of weights was announced responses by older
	// ones are worthless.
	OutdatedAfter time.Duration
	// IsResponsive reports whether a runner responds to a health check, however busy it is; nil
	// where runners cannot be checked.
	IsResponsive func(ctx context.Context, server fleet.Server) bool
	// Quarantine holds the requests that crash servers. ConfirmCrash reports whether the server of
	// a lost call has crashed; nil where that cannot be checked.
	Quarantine *quarantine.Set
	// PartQuarantine is the same for the parts of prompts.
	PartQuarantine *quarantine.Set
	// AwaitQuarantine waits until this box has what the log has of both, for a bounded time after its start;
	// nil where nothing is to be awaited.
	AwaitQuarantine func(ctx context.Context)
	ConfirmCrash    func(ctx context.Context, loss crash.BrokenCall) bool
	// Origins has the software versions that began streams; nil where servers state none.
	Origins *streamorigin.Origins
	// Memory bounds the memory that calls hold; nil means that there is no bound.
	Memory *membudget.Budget
	// Reach detects services that this box does not reach, and Peers has the boxes through which
	// calls for them are forwarded. Both are nil where calls are not forwarded.
	Reach *reach.Monitor
	Peers *peerpath.Paths
	// IsInformed reports whether this box has received the other boxes' reports of rate limits since it
	// started; nil means that it has.
	IsInformed func() bool
	// PeerTLS returns the TLS configuration for connections to other boxes; nil without TLS.
	PeerTLS func() *tls.Config
}

// WeightVersions looks up the announced versions of weights.
type WeightVersions interface {
	// Weights returns the newest announced version of a model's weights.
	Weights(model string) registry.DeclaredWeights
	// OutdatedSince returns the first version that was announced after the given one, if any.
	OutdatedSince(model string, version int) (registry.DeclaredWeights, bool)
}

// Gateway serves routed calls.
type Gateway struct {
	cfg       Config
	metrics   metrics
	inFlight  atomic.Int64
	waiting   atomic.Int64
	callCount atomic.Uint64
	// forwarded is the number of calls in flight that other boxes have forwarded to this one.
	forwarded atomic.Int64
	// tieSeed makes the tie-breakers of this box different from those of other boxes.
	tieSeed uint64
	// queues holds the calls that wait for capacity, by service.
	queues sync.Map
	active activeCalls
}

// New creates a gateway.
func New(cfg Config) *Gateway {
	if cfg.Memory == nil {
		cfg.Memory = membudget.New(membudget.Limits{})
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantine.New(quarantine.Config{})
	}
	if cfg.PartQuarantine == nil {
		cfg.PartQuarantine = quarantine.New(quarantine.Config{Threshold: quarantine.PartThreshold})
	}
	if cfg.AwaitQuarantine == nil {
		cfg.AwaitQuarantine = func(context.Context) {}
	}
	return &Gateway{cfg: cfg, tieSeed: xxhash.Sum64String(cfg.BoxName), metrics: newMetrics(cfg.Scope), active: newActiveCalls()}
}

// InFlight returns the number of calls in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Waiting returns the number of calls that are being placed; at any moment, most of them wait for
// capacity at a server.
func (g *Gateway) Waiting() int64 { return g.waiting.Load() }

// ServeHTTP takes one call through the stages.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.serveExchange(g.newExchange(w, r), false)
}

// serveExchange takes a call through the stages. overLimit means that it is a forwarded one for which this
// box has no capacity.
func (g *Gateway) serveExchange(x *exchange, overLimit bool) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer x.cancel(nil)
	defer g.recordCall(x)
	defer g.completeOrigin(x)
	defer x.finishWriting()
	if !g.accept(x) || !g.authorise(x) || g.refuseForwarded(x, overLimit) || !g.admitMemory(x) || !g.readBody(x) || !g.findSoftware(x) {
		return
	}
	g.serve(x)
}

// exchange is the state of one call. Each group of fields is written by the stage named above it.
type exchange struct {
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time
	number  uint64
	// ctx ends when the caller's connection does, or by cancel.
	ctx    context.Context
	cancel context.CancelCauseFunc

	// forwarded is set for a call that another box has forwarded.
	forwarded bool
	// shareOnly is set for a forwarded call whose first box has no share left, but reaches the service.
	shareOnly bool

	// Written by accept. serversAllowed is the number of servers that another box allows for a call
	// that it has forwarded; 0 means that the route decides.
	serversAllowed int
	// forwardService is the service that another box has chosen; empty if it names none.
	forwardService string
	catalog        *catalog.Catalog
	info           call.RequestInfo
	route          *catalog.Route
	service        *catalog.Service
	// deadline is the earlier one of the caller's and the route's deadline.
	deadline time.Time

	// Written by authorise.
	organisation *catalog.Organisation
	priority     int
	// rank orders calls for capacity; 0 goes first.
	rank int

	// Written by admitMemory. memory accounts for the memory that the call holds.
	memory *membudget.Call

	// Written by readBody.
	body        []byte
	bodyReadAt  time.Time
	fingerprint fingerprint.Fingerprint
	// parts identify the parts of the prompt that other prompts may have too.
	parts []fingerprint.Fingerprint
	// isRunning is set while a server has been sending events of the call's stream for spareAfter.
	isRunning atomic.Bool

	// Written while the call is forwarded.
	attempted []string
	// serversReached counts the servers that the call was sent to: those attempted, except those
	// that no connection was made to.
	serversReached int
	// slowServer is the last server that accepted no connection in time, until the call is sent there again.
	// reconnects counts how often that was.
	slowServer string
	reconnects int
	// unreached counts the failed connections to servers, and pathsTried the boxes that
	// the call was forwarded to. pathRefusal is why the last of them refused it.
	unreached   int
	pathsTried  int
	pathRefusal pathRefusal
	// tookRetry is set if the current attempt, or the one that is being placed, took a retry from
	// the budget.
	tookRetry bool
	// fallback is the unresponsive server that the call was switched away from, and to which it may
	// return; empty if there is none. returned is set once it has returned.
	fallback string
	returned bool
	// mayHaveRun is set once the call can no longer be reported as "not run", whatever servers
	// respond later.
	mayHaveRun bool
	// resumeAfter is the id of the last event that the caller has; the lock of the current
	// attempt's watch guards it.
	resumeAfter string
	// software is the software version that must serve the call, since the caller has events of it or beginAt is set; nil
	// while any may. The lock of the current attempt's watch guards it.
	software *string
	// beginAt is the version at which a stream begins anew that was given up for want of a record; nil if any may.
	beginAt *string
	// announcement has the software versions of the servers that the call was sent to.
	announcement streamorigin.Announcement
	// responseStarted is set once a part of a response has been sent to the caller.
	responseStarted bool
	// lossClosedBy is the side that closed the connection of the last lost attempt.
	lossClosedBy side
	// stream writes a stream to the caller; nil before its first event.
	stream *streamBuffer
	// serverFailure is a backend server's error response; it is sent to the caller unless another
	// server succeeds.
	serverFailure *bufferedResponse
	// placement is the last one, for the log; placeTime is the total time of all placements.
	placement placement
	placeTime time.Duration
	// placedBy is placedByThisBox or placedByOwner; ownerError is why the last owner that got a request
	// chose no server.
	placedBy   string
	ownerError string
	// returnAfter is when the queue that refused the call wants it to be sent again; zero if none did.
	returnAfter time.Duration
	// aboveShare means that the organisation was above its fair share when a queue refused the call.
	aboveShare bool
	// shortage is why the call was not placed at any server.
	shortage fleet.Shortage

	// Written where the call ends, for recordCall.
	status       int
	outcome      outcome
	reason       string
	firstEventAt time.Time
	eventsSent   int
	bytesSent    int64
}

// outcome is the final result of a call.
type outcome string

// Outcomes of calls.
const (
	outcomeServed   outcome = "served"   // a complete response was sent to the caller
	outcomeFailed   outcome = "failed"   // a backend server's error response was passed on
	outcomeRefused  outcome = "refused"  // the call did not run
	outcomeUnknown  outcome = "unknown"  // the call may have run, and there is no response
	outcomeBroken   outcome = "broken"   // the response was cut after a part of it
	outcomeGone     outcome = "gone"     // the caller disconnected
	outcomeRejected outcome = "rejected" // the call itself is invalid
)

func (g *Gateway) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{writer: w, request: r, arrived: boottime.Now(), number: g.callCount.Add(1)}
	x.ctx, x.cancel = context.WithCancelCause(r.Context())
	return x
}
