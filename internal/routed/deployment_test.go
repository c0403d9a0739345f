// Shared by the tests of this package: fake backend servers, a router in front of them with routes
// of each kind, and a caller.

package routed_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/reservedport"
	"github.com/cometlock/cometlock/internal/retrybudget"
	"github.com/cometlock/cometlock/internal/routed"
)

// server is a fake backend server that records the headers of its calls. answer writes its answer,
// by default one line with the server's name.
type server struct {
	name   string
	answer http.HandlerFunc
	http   *httptest.Server
	// unreachable is the address of a server that nothing can connect to, which has no http.
	unreachable string

	mu      sync.Mutex
	headers []http.Header
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.headers = append(s.headers, r.Header.Clone())
	answer := s.answer
	s.mu.Unlock()
	if answer != nil {
		answer(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %s", s.name, r.Method, r.URL.RequestURI(), body)
}

func (s *server) address() string {
	if s.http == nil {
		return s.unreachable
	}
	return s.http.Listener.Addr().String()
}

func (s *server) calls() int { return len(s.receivedHeaders()) }

func (s *server) receivedHeaders() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.headers...)
}

// deployment is a router in front of some servers.
type deployment struct {
	router  *routed.Router
	servers map[string]*server
	front   *httptest.Server
	version int64
}

// fileText configures two shops, one new shop, and two engines.
const fileText = `deployment: test
zones: [{name: a, region: r}]
limits: {body_bytes: 1000}
organisations:
  - name: north
    key_hashes:
      - 2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683 # of key
      - 7c36b0a9dedde119c75165957c6c9c187e65df1ee5db87c4c58ad503ad88cbe3 # of key-2
  - name: south
    key_hashes: [8dc890e0d2817648a754f4ea717915ba2afbf2f736d7bfdd47dfe993f7fc17e7] # of key-south
    priority: instant
models: [{name: m, weights: v1}]
backend_servers:
  - {name: shop-1, zone: a, role: plain-service, address: SHOP-1}
  - {name: shop-2, zone: a, role: plain-service, address: SHOP-2}
  - {name: shop-new, zone: a, role: plain-service, address: SHOP-NEW}
  - {name: engine-1, zone: a, role: plain-service, address: ENGINE-1, models: [m]}
  - {name: engine-2, zone: a, role: plain-service, address: ENGINE-2, models: [m]}
plain_services:
  - {name: shop, servers: [shop-1, shop-2]}
  - {name: shop-next, servers: [shop-new]}
  - {name: engines, servers: [engine-1, engine-2], context_tokens: 100000}
routes:
  - {name: pages, host: Shop.Example, path_prefix: /, kind: repeatable, time_limit_ms: 2000, splits: [{service: shop}]}
  - {name: new-pages, host: shop.example, path_prefix: /new/, kind: repeatable, splits: [{service: shop, weight: 3}, {service: shop-next, weight: 1}]}
  - {name: charges, host: shop.example, path_prefix: /charges/, kind: once, time_limit_ms: 600, splits: [{service: shop}]}
  - {name: open, host: shop.example, path_prefix: /open/, kind: repeatable, public: true, splits: [{service: shop}]}
  - {name: prompts, host: engines.example, path_prefix: /, kind: stream, resumable: true, splits: [{service: engines}]}
  - {name: reviews, host: engines.example, path_prefix: /review/, kind: stream, priority: review, splits: [{service: engines}]}
`

var serverNames = []string{"shop-1", "shop-2", "shop-new", "engine-1", "engine-2"}

// listenAtReservedPort replaces a listener by one whose port refuses connections once it is closed, until the
// end of the test.
func listenAtReservedPort(t *testing.T, g *WithT, unused net.Listener) net.Listener {
	t.Helper()
	g.Expect(unused.Close()).To(Succeed())
	port, err := reservedport.New()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(port.Close)
	listener, err := port.Listen()
	g.Expect(err).NotTo(HaveOccurred())
	return listener
}

func startDeployment(t *testing.T, g *WithT) *deployment {
	t.Helper()
	s := &deployment{servers: map[string]*server{}}
	for _, name := range serverNames {
		fake := &server{name: name}
		fake.http = httptest.NewUnstartedServer(fake)
		fake.http.Config.DisableGeneralOptionsHandler = true // an unresponsive server answers no OPTIONS request
		fake.http.Listener = listenAtReservedPort(t, g, fake.http.Listener)
		fake.http.Start()
		t.Cleanup(fake.http.Close)
		s.servers[name] = fake
	}
	s.router = routed.New(routed.Config{
		Logger: zerolog.Nop(), Scope: tally.NoopScope, Zone: "a", BoxCount: func() int { return 1 },
		Budget: retrybudget.New(retrybudget.Config{}), Next: http.NotFoundHandler(),
	})
	s.configure(g, func(*config.File) {})
	s.front = httptest.NewServer(s.router)
	t.Cleanup(s.front.Close)
	return s
}

// configure applies the configuration file with a change.
func (s *deployment) configure(g *WithT, change func(*config.File)) {
	text := fileText
	for name, server := range s.servers {
		text = strings.Replace(text, "address: "+strings.ToUpper(name)+",", "address: '"+server.address()+"',", 1)
		text = strings.Replace(text, "address: "+strings.ToUpper(name)+"}", "address: '"+server.address()+"'}", 1)
	}
	file, err := config.Parse([]byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	change(file)
	entries, err := file.Entries()
	g.Expect(err).NotTo(HaveOccurred())
	s.version++
	snapshot, err := config.NewSnapshot(s.version, entries)
	g.Expect(err).NotTo(HaveOccurred())
	s.router.Configure(snapshot)
}

// answer is what a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// send makes a call. Headers come in pairs and replace those of organisation north.
func (s *deployment) send(method, host, target, body string, headers ...string) answer {
	request, err := http.NewRequest(method, s.front.URL+target, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer key")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(content), err}
}

// calls returns the number of calls that the servers received.
func (s *deployment) calls(servers ...string) int {
	total := 0
	for _, name := range servers {
		total += s.servers[name].calls()
	}
	return total
}

func (s *deployment) answerWith(handler http.HandlerFunc, servers ...string) {
	for _, name := range servers {
		s.servers[name].mu.Lock()
		s.servers[name].answer = handler
		s.servers[name].mu.Unlock()
	}
}
