// Calls that a router forwards to another one, because it reaches no server of their service.

package routed_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/peerpath"
	"github.com/cometlock/cometlock/internal/retrybudget"
	"github.com/cometlock/cometlock/internal/routed"
)

// startPartitioned returns a deployment, and one with the same routes that is partitioned and forwards its
// calls to the first one.
func startPartitioned(t *testing.T, g *WithT) (sound, partitioned *deployment) {
	t.Helper()
	sound = startDeployment(t, g)
	return sound, partition(t, g, forwardedTo(t, "sound", sound))
}

// forwardedTo returns a deployment as a box that takes forwarded calls.
func forwardedTo(t *testing.T, name string, s *deployment) peerpath.Box {
	t.Helper()
	port := httptest.NewServer(http.HandlerFunc(s.router.ServeForwarded))
	t.Cleanup(port.Close)
	return peerpath.Box{Name: name, Zone: "a", Address: port.Listener.Addr().String()}
}

// partition returns a deployment whose servers are all unreachable, and which forwards its calls to others.
func partition(t *testing.T, g *WithT, others ...peerpath.Box) *deployment {
	t.Helper()
	partitioned := &deployment{servers: map[string]*server{}}
	for i, name := range serverNames {
		// Nothing listens on these ports. One that is closed could be opened again by another server.
		partitioned.servers[name] = &server{name: name, unreachable: fmt.Sprint("127.0.0.2:", 1+i)}
	}
	partitioned.router = routed.New(routed.Config{
		Logger: zerolog.Nop(), Scope: tally.NoopScope, Zone: "a", BoxCount: func() int { return 2 },
		Budget: retrybudget.New(retrybudget.Config{}), Next: http.NotFoundHandler(),
		Forwarding: &routed.Forwarding{Box: "partitioned", Others: func() []peerpath.Box { return others }},
	})
	t.Cleanup(partitioned.router.Close)
	partitioned.configure(g, func(*config.File) {})
	partitioned.front = httptest.NewServer(partitioned.router)
	t.Cleanup(partitioned.front.Close)
	return partitioned
}

// A box that has not detected yet that it is partitioned must not look like a fleet without capacity.
func TestACallForwardedToAPartitionedBoxIsForwardedToAnother(t *testing.T) {
	for range 10 { // the first box is chosen at random
		g := NewWithT(t)
		sound := startDeployment(t, g)
		alsoPartitioned := partition(t, g)
		partitioned := partition(t, g, forwardedTo(t, "partitioned too", alsoPartitioned), forwardedTo(t, "sound", sound))
		got := partitioned.send("POST", "shop.example", "/charges/1", "text")
		g.Expect(got.status).To(Equal(http.StatusOK), got.body)
	}
}

func TestForwardedCallsKeepTheirIDAndHeaders(t *testing.T) {
	for _, test := range []struct {
		name    string
		headers []string
	}{
		{"an ordinary call", nil},
		{"forged headers between boxes", []string{"Cometlock-Forward-Remaining", "1", "Cometlock-Forward-Servers", "9"}},
		{"headers that are declared as the connection's", []string{"Connection", "Cometlock-Request-Id, Authorization, Cometlock-Deadline"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			sound, partitioned := startPartitioned(t, g)
			got := partitioned.send("POST", "shop.example", "/charges/1", "text", append([]string{"X-Organisation", "south"}, test.headers...)...)
			g.Expect(got.err).NotTo(HaveOccurred())
			g.Expect(got.status).To(Equal(http.StatusOK), got.body)
			g.Expect(got.body).To(ContainSubstring("POST /charges/1 text"))
			id := got.header.Get("Cometlock-Request-Id")
			g.Expect(id).To(HavePrefix("req_"))
			g.Expect(sound.calls("shop-1", "shop-2")).To(Equal(1))
			for _, name := range []string{"shop-1", "shop-2"} {
				for _, head := range sound.servers[name].receivedHeaders() {
					g.Expect(head.Get("Cometlock-Request-Id")).To(Equal(id))
					g.Expect(head.Get("X-Organisation")).To(Equal("north"))
					g.Expect(head).NotTo(HaveKey("Authorization"))
					g.Expect(head).NotTo(HaveKey("Cometlock-Forward-Remaining"))
				}
			}
			for name := range got.header {
				g.Expect(name).NotTo(HavePrefix("Cometlock-Forward-"))
			}
		})
	}
}

func TestForwardedCallsCountInTheLimitOfTheirCallersBoxOnly(t *testing.T) {
	g := NewWithT(t)
	sound, partitioned := startPartitioned(t, g)
	for _, s := range []*deployment{sound, partitioned} {
		s.configure(g, func(file *config.File) {
			file.Organisations[0].MaxInFlight = 2
			for i := range file.Routes {
				file.Routes[i].TimeLimitMillis = 30_000
			}
		})
	}
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	t.Cleanup(release) // also when an expectation fails
	sound.answerWith(func(w http.ResponseWriter, _ *http.Request) {
		<-released
		_, _ = fmt.Fprint(w, "done")
	}, "shop-1", "shop-2")
	var pending sync.WaitGroup
	answers := make(chan answer, 4)
	for _, s := range []*deployment{partitioned, partitioned, sound, sound} {
		pending.Go(func() { answers <- s.send("POST", "shop.example", "/charges/1", "") })
	}
	g.Eventually(func() int { return sound.calls("shop-1", "shop-2") }, 5*time.Second, time.Millisecond).Should(Equal(4), "two from each box")
	for _, s := range []*deployment{partitioned, sound} {
		got := s.send("POST", "shop.example", "/charges/1", "", "Cometlock-Deadline", "0.5")
		g.Expect(got.status).To(Equal(http.StatusTooManyRequests))
		g.Expect(got.header.Get("Cometlock-Outcome")).To(Equal("not-run"))
		g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	release()
	pending.Wait()
	for range 4 {
		g.Expect((<-answers).body).To(Equal("done"))
	}
	g.Expect(partitioned.send("POST", "shop.example", "/charges/1", "").body).To(Equal("done"), "the limit is free again")
}

func TestCallsThatNoBoxCanServeAreAnsweredAsNotRun(t *testing.T) {
	g := NewWithT(t)
	sound, partitioned := startPartitioned(t, g)
	for _, server := range sound.servers {
		server.http.Close()
	}
	got := partitioned.send("POST", "shop.example", "/charges/1", "")
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
	g.Expect(got.header.Get("Cometlock-Outcome")).To(Equal("not-run"))
	g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(got.header.Get("Cometlock-Request-Id")).To(HavePrefix("req_"))
}

func TestALostForwardedCallThatMustRunOnceIsUnknown(t *testing.T) {
	g := NewWithT(t)
	sound, partitioned := startPartitioned(t, g)
	sound.answerWith(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "shop-1", "shop-2")
	got := partitioned.send("POST", "shop.example", "/charges/1", "")
	g.Expect(got.status).To(Equal(http.StatusBadGateway), got.body)
	g.Expect(got.header.Get("Cometlock-Outcome")).To(Equal("unknown"))
	g.Expect(sound.calls("shop-1", "shop-2")).To(Equal(1))
}
