// Test helpers: boxes that forward calls to each other over real connections, and their servers.

package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/handover"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/peerpath"
	"github.com/cometlock/cometlock/internal/reach"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/retrybudget"
)

// Headers of headerProtocol.
const (
	testID        = "X-Id"
	testKey       = "X-Key"
	testRemaining = "X-Remaining"
	testResume    = "Last-Event-Id"
	testNotRun    = "X-Unrun"
	testSigned    = "X-Signed"
	testRetry     = "X-Retry"
)

// headerProtocol is a protocol with one header for each field that forwarding concerns.
type headerProtocol struct{}

func (headerProtocol) ReadRequest(header http.Header) call.RequestInfo {
	remaining, _ := strconv.Atoi(header.Get(testRemaining))
	return call.RequestInfo{
		RequestID: header.Get(testID), Key: header.Get(testKey), ResumeAfter: header.Get(testResume),
		MaxWait: time.Duration(remaining) * time.Millisecond,
	}
}

func (headerProtocol) WriteForwardInfo(header http.Header, forward call.ForwardInfo) {
	header.Del(testKey)
	header.Set(testRemaining, strconv.FormatInt(forward.Remaining.Milliseconds(), 10))
	header.Set(testResume, forward.ResumeAfter)
}

func (headerProtocol) ReadResponse(_ int, header http.Header) call.ResponseInfo {
	return call.ResponseInfo{NotRun: header.Get(testNotRun) != "", Genuine: header.Get(testSigned) != "", RequestID: header.Get(testID)}
}

func (headerProtocol) WriteFailure(header http.Header, failure call.FailureInfo) {
	header.Set(testRetry, strconv.FormatInt(failure.RetryAfter.Milliseconds(), 10))
}

// Paths of the routes of forwardCatalog, by what their calls allow.
const (
	pathOnce   = "/once/"
	pathAny    = "/any/"
	pathStream = "/stream/"
)

const (
	forwardMaxServers = 2
	forwardTimeout    = 4 * time.Second
	forwardBodyBytes  = 4 << 20
	forwardKey        = "key"
)

// forwardCatalog has a route of each kind, all to the plain service "s".
func forwardCatalog(g *WithT, change ...func(*catalog.Config)) *catalog.Catalog {
	cfg := catalog.Config{
		Version: 1, Limits: catalog.Limits{HeaderBytes: 1 << 16, BodyBytes: forwardBodyBytes}, KeysRequired: true,
		Services:      []catalog.Service{{Name: "s", ConnectionLimit: 1000}},
		Organisations: []catalog.Organisation{{Name: "org", Keys: []string{forwardKey}}},
	}
	for path, kind := range map[string]catalog.Kind{pathOnce: catalog.AtMostOnce, pathAny: catalog.Repeatable, pathStream: catalog.Stream} {
		cfg.Routes = append(cfg.Routes, catalog.Route{
			Name: path, Host: "example.com", PathPrefix: path, Kind: kind, Resumable: true, MaxServers: forwardMaxServers,
			Objective: 200 * time.Millisecond, Timeout: forwardTimeout, Splits: []catalog.Split{{Service: "s", Weight: 1}},
		})
	}
	for _, apply := range change {
		apply(&cfg)
	}
	made, err := catalog.New(cfg)
	g.ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return made
}

// forwardServers are the servers of a test, and what they got.
type forwardServers struct {
	mu       sync.Mutex
	arrivals map[string]int
	headers  []http.Header
	entries  []fleet.Server
}

// start starts a server. A nil handler serves all calls.
func (s *forwardServers) start(t *testing.T, name string, handler http.HandlerFunc) {
	t.Helper()
	if handler == nil {
		handler = serveBody
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.arrivals == nil {
			s.arrivals = map[string]int{}
		}
		s.arrivals[r.Header.Get(testID)]++
		s.headers = append(s.headers, r.Header.Clone())
		s.mu.Unlock()
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	s.entries = append(s.entries, fleet.Server{Incarnation: name, Service: "s", Address: server.Listener.Addr().String()})
}

func (s *forwardServers) arrived(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[id]
}

func (s *forwardServers) received() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.headers...)
}

// sign sets the headers of a genuine response.
func sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testSigned, "1")
	w.Header().Set(testID, r.Header.Get(testID))
}

func serveBody(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	sign(w, r)
	_, _ = w.Write(append([]byte("served "), body...))
}

func failSigned(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	sign(w, r)
	w.WriteHeader(http.StatusInternalServerError)
}

// abortRead breaks off after it has read the call.
func abortRead(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func refuseSigned(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	sign(w, r)
	w.Header().Set(testNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serveEventsAfter serves the events that follow the last one of the caller.
func serveEventsAfter(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get(testResume))
	sign(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	for number := last + 1; number <= streamEvents; number++ {
		sendEvent(w, "event", number)
	}
}

// allEvents is the stream of serveEventsAfter.
func allEvents() string {
	var all strings.Builder
	for number := 1; number <= streamEvents; number++ {
		fmt.Fprintf(&all, "id: %d\ndata: event\n\n", number)
	}
	return all.String()
}

// forwardBox is a box with its ports for callers and for other boxes.
type forwardBox struct {
	name    string
	gateway *Gateway
	paths   *peerpath.Paths
	reach   *reach.Monitor
	budget  *retrybudget.Budget
	callers *httptest.Server
	peers   *httptest.Server
	// forwarded counts the calls from other boxes, and pathsAsked how often this box looked for others.
	forwarded, pathsAsked atomic.Int64
	// responses counts the responses that its callers have begun to receive.
	responses atomic.Int64
	// partitioned makes probes of this box fail.
	partitioned atomic.Bool
	others      []peerpath.Box
	logged      syncBuffer
}

// forwardBoxConfig configures a forwardBox.
type forwardBoxConfig struct {
	name    string
	servers []fleet.Server
	catalog *catalog.Catalog
	// retries is the number of saved retries.
	retries float64
	// wrap replaces what the box does with forwarded calls.
	wrap func(next http.Handler) http.Handler
	// change changes the gateway's configuration.
	change func(*Config)
}

func startForwardBox(t *testing.T, g *WithT, cfg forwardBoxConfig) *forwardBox {
	t.Helper()
	b := &forwardBox{name: cfg.name}
	f := fleet.New(fleet.Config{})
	for _, server := range cfg.servers {
		f.Apply([]fleet.Update{{Key: server.Incarnation, Offset: 1, Server: &server}})
	}
	b.reach = reach.New(reach.Config{
		Logger: zerolog.Nop(), Sample: func(string, int) []string { return []string{"any"} },
		Probe: func(context.Context, string) error {
			if b.partitioned.Load() {
				return errors.New("partitioned")
			}
			return nil
		},
	})
	t.Cleanup(b.reach.Stop)
	b.paths = peerpath.New(peerpath.Config{Self: cfg.name, Others: func() []peerpath.Box {
		b.pathsAsked.Add(1)
		return b.others
	}})
	if cfg.catalog == nil {
		cfg.catalog = forwardCatalog(g)
	}
	if cfg.retries == 0 {
		cfg.retries = 5
	}
	b.budget = retrybudget.New(retrybudget.Config{PerRequest: 1e-9, Burst: cfg.retries})
	known := registry.New(registry.Config{Logger: zerolog.Nop()})
	gatewayConfig := Config{
		Protocol: headerProtocol{}, Pool: handover.NewPool(handover.PoolConfig{}), Fleet: f, Parts: partindex.New(partindex.Config{}),
		Budget: oneBudget(b.budget), BoxCount: func() int { return 1 }, BoxName: cfg.name, Logger: zerolog.New(&b.logged), Scope: tally.NoopScope,
		Catalog: func() *catalog.Catalog { return cfg.catalog }, Weights: known, Reach: b.reach, Peers: b.paths,
		Retire: retire.New(retire.Config{Registry: known, Peers: func() []retire.Peer { return nil }, Boxes: func() int { return 1 }}),
	}
	if cfg.change != nil {
		cfg.change(&gatewayConfig)
	}
	b.gateway = New(gatewayConfig)
	b.callers = httptest.NewServer(b.gateway)
	t.Cleanup(b.callers.Close)
	var handler http.Handler = http.HandlerFunc(b.gateway.ServeForwarded)
	if cfg.wrap != nil {
		handler = cfg.wrap(handler)
	}
	b.peers = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.forwarded.Add(1)
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(b.peers.Close)
	return b
}

// partition makes the box find that it does not reach the service. A response may have arrived just before.
func (b *forwardBox) partition(g *WithT) { b.partitionFrom(g, "s") }

// partitionFrom is partition for a service.
func (b *forwardBox) partitionFrom(g *WithT, service string) {
	b.partitioned.Store(true)
	g.EventuallyWithOffset(2, func() bool {
		for range 3 {
			b.reach.NoteFailure(service)
		}
		return b.reach.Unreachable(service)
	}).Should(BeTrue())
}

// partitionAmidStream is partitionFrom for a server that is responding. Its caller has a part of the response by then,
// so the box has noted the contact, which would otherwise end the partition.
func (b *forwardBox) partitionAmidStream(g *WithT, service string) {
	g.EventuallyWithOffset(1, b.responses.Load).Should(BeNumerically(">", 0))
	b.partitionFrom(g, service)
}

// heal ends the partition.
func (b *forwardBox) heal() {
	b.partitioned.Store(false)
	b.reach.NoteContact("s")
}

// forwardTo sets the boxes that the box may forward calls to.
func (b *forwardBox) forwardTo(others ...*forwardBox) {
	for _, other := range others {
		b.others = append(b.others, peerpath.Box{Name: other.name, Address: other.peers.Listener.Addr().String()})
	}
}

// closeLastOther replaces the address of the last one of the other boxes by one where nothing listens. A port
// that is closed could be opened again by another test.
func (b *forwardBox) closeLastOther() {
	b.others[len(b.others)-1].Address = unreachableAddress
}

// unreachableServers returns the entries of servers that the box cannot connect to.
func unreachableServers(names ...string) []fleet.Server {
	var servers []fleet.Server
	for _, name := range names {
		servers = append(servers, fleet.Server{Incarnation: name, Service: "s", Address: unreachableAddress})
	}
	return servers
}

// callerResponse is what a caller gets; err is set if the response broke off.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// code returns the reason of a box's own error response.
func (r callerResponse) code() string {
	var body errorBody
	_ = json.Unmarshal([]byte(r.body), &body) // other responses have no code
	return body.Error.Code
}

// send makes a call with a key.
func (b *forwardBox) send(ctx context.Context, path, id, body string, header ...string) callerResponse {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { b.responses.Add(1) }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, b.callers.URL+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{err: err}
	}
	request.Host = "example.com"
	request.Header.Set(testID, id)
	request.Header.Set(testKey, forwardKey)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := b.callers.Client().Do(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(got), err}
}

// expectIdle expects that no call is in flight, also on the paths to other boxes.
func (b *forwardBox) expectIdle(g *WithT) {
	g.EventuallyWithOffset(1, b.gateway.InFlight).Should(BeZero())
	g.EventuallyWithOffset(1, b.gateway.forwarded.Load).Should(BeZero())
	g.EventuallyWithOffset(1, func() int { return inFlight(b.gateway.cfg.Fleet) }).Should(BeZero())
	g.EventuallyWithOffset(1, func() int64 { return b.gateway.cfg.Memory.Held() }).Should(BeZero())
}
