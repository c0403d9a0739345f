package gateway

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
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
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/retrybudget"
)

// planProtocol is a protocol that records which parts servers are asked to save and to fetch. A
// response with status 503 means that the call did not run.
type planProtocol struct {
	info call.RequestInfo
	// failure is the last failure that the box itself reported.
	failure call.FailureInfo

	mu      sync.Mutex
	saves   [][]string
	fetches [][]string
}

func (p *planProtocol) ReadRequest(http.Header) call.RequestInfo { return p.info }

func (p *planProtocol) WriteForwardInfo(_ http.Header, forward call.ForwardInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saves = append(p.saves, slices.Clone(forward.Model.Save))
	p.fetches = append(p.fetches, slices.Clone(forward.Model.Fetch))
}

func (p *planProtocol) ReadResponse(status int, _ http.Header) call.ResponseInfo {
	return call.ResponseInfo{NotRun: status == http.StatusServiceUnavailable, Genuine: true}
}

func (p *planProtocol) WriteFailure(_ http.Header, failure call.FailureInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failure = failure
}

// newPlanProtocol makes a protocol whose calls all have a prompt with one shared part.
func newPlanProtocol() *planProtocol {
	return &planProtocol{info: call.RequestInfo{
		RequestID: "q", Prompt: &call.Prompt{Model: "m", Tokens: 5100, Parts: []call.Part{{ID: "shared", Tokens: 5000}, {ID: "own", Tokens: 100}}},
	}}
}

const storeAddress = "10.0.0.1:1"

// report is a store box's report that these parts were added since the last report.
func report(changes ...partindex.Change) partindex.Report {
	return partindex.Report{AsOf: time.Now(), Epoch: 1, ClockMillis: 1, Changes: changes}
}

// startRunner serves a handler as a runner and adds it to the fleet.
func startRunner(t *testing.T, f *fleet.Fleet, name string, handler http.Handler) {
	t.Helper()
	startRunnerIn(t, f, "", name, handler)
}

// startRunnerIn is startRunner for a zone.
func startRunnerIn(t *testing.T, f *fleet.Fleet, zone, name string, handler http.Handler) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	f.Apply([]fleet.Update{{Key: name, Offset: 1, Server: &fleet.Server{
		Incarnation: name, Service: "r", Zone: zone, Address: server.Listener.Addr().String(), Slots: 4, Weights: map[string]int{"m": 1},
	}}})
}

// serveOne makes one call and expects it to succeed.
func serveOne(g *WithT, gateway *Gateway) {
	recorder := httptest.NewRecorder()
	gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
	g.Expect(recorder.Code).To(Equal(http.StatusOK))
}

// promptTimeout is the timeout of the route of promptCatalog.
const promptTimeout = 5 * time.Second

// promptCatalog has one route to the service of runners "r", and one store box.
func promptCatalog(g *WithT) *catalog.Catalog { return promptCatalogWithTimeout(g, promptTimeout) }

// promptCatalogWithTimeout is promptCatalog with another timeout for the route.
func promptCatalogWithTimeout(g *WithT, timeout time.Duration) *catalog.Catalog {
	made, err := catalog.New(catalog.Config{
		Version: 1, Limits: catalog.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 16},
		Services: []catalog.Service{
			{Name: "r", Engine: &catalog.Engine{CapacityTokens: 100_000, BytesPerToken: 1000}},
			{Name: "store", Store: &catalog.Store{Address: storeAddress, CapacityTokens: 100_000, LinkMbps: 100_000}},
		},
		Routes: []catalog.Route{{
			Name: "prompts", Host: "example.com", PathPrefix: "/", Kind: catalog.Stream, Resumable: true, MaxServers: 2,
			Objective: time.Second, Timeout: timeout, Splits: []catalog.Split{{Service: "r", Weight: 1}}, Public: true,
		}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	return made
}

// emptyIndex is an index of one store box that has been known for a long time and holds no parts.
func emptyIndex(c *catalog.Catalog) *partindex.Index {
	index := partindex.New(partindex.Config{})
	index.Configure(c.Services())
	index.Replace(storeAddress, report())
	return index
}

// oneBudget returns the same retry budget for each service.
func oneBudget(budget *retrybudget.Budget) func(service string) *retrybudget.Budget {
	return func(string) *retrybudget.Budget { return budget }
}

func promptGateway(protocol call.Protocol, f *fleet.Fleet, index *partindex.Index, c *catalog.Catalog) *Gateway {
	known := registry.New(registry.Config{Logger: zerolog.Nop()})
	return New(Config{
		Protocol: protocol, Pool: handover.NewPool(handover.PoolConfig{OnDial: func() {}}), Fleet: f, Parts: index,
		Budget: oneBudget(retrybudget.New(retrybudget.Config{PerRequest: 1, Burst: 5})), BoxCount: func() int { return 1 },
		Logger: zerolog.Nop(), Scope: tally.NoopScope, Catalog: func() *catalog.Catalog { return c }, Weights: known,
		Retire: retire.New(retire.Config{Registry: known, Peers: func() []retire.Peer { return nil }, Boxes: func() int { return 1 }}),
	})
}
