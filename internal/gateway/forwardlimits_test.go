package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/membudget"
	"github.com/cometlock/cometlock/internal/quarantine"
)

// The headers between boxes must have no effect if callers or servers send them, and reach neither.
func TestForeignForwardHeadersHaveAnEffect(t *testing.T) {
	foreign := []string{
		headerForwardRemaining, "1", headerForwardServers, "9", headerForwardResume, "3", headerForwardOutcome, string(outcomeRefused),
		headerForwardReason, reasonUnreachable, headerForwardReached, "0", headerForwardRetry, "5", headerForwardService, "another", "Connection", headerForwardReached,
	}
	server := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			for i := 0; i < len(foreign); i += 2 {
				w.Header().Set(foreign[i], foreign[i+1])
			}
			sign(w, r)
			w.WriteHeader(status)
			_, _ = w.Write([]byte("body"))
		}
	}
	hasForwardHeader := func(header http.Header) bool {
		for name := range header {
			if strings.HasPrefix(http.CanonicalHeaderKey(name), forwardHeaderPrefix) {
				return true
			}
		}
		return false
	}
	for _, forwarded := range []bool{false, true} {
		for _, path := range []string{pathOnce, pathAny, pathStream} {
			for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
				t.Run(fmt.Sprintf("forwarded %t %s %d", forwarded, path, status), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					var servers forwardServers
					servers.start(t, "server", server(status))
					servers.start(t, "second", server(status))
					first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: servers.entries})
					second := startForwardBox(t, g, forwardBoxConfig{name: "second", servers: servers.entries})
					if forwarded {
						first.forwardTo(second)
						first.partition(g)
					}
					response := first.send(t.Context(), path, "q", "body", foreign...)
					g.Expect(response.err).NotTo(HaveOccurred())
					g.Expect(response.status).To(Equal(status))
					g.Expect(response.body).To(Equal("body"))
					g.Expect(hasForwardHeader(response.header)).To(BeFalse(), "%v", response.header)
					g.Expect(servers.arrived("q")).To(BeNumerically("<=", forwardMaxServers))
					for _, header := range servers.received() {
						g.Expect(hasForwardHeader(header)).To(BeFalse(), "%v", header)
						got := headerProtocol{}.ReadRequest(header)
						g.Expect(got.ResumeAfter).To(BeEmpty())
						g.Expect(got.MaxWait).To(BeNumerically(">", forwardTimeout/2))
					}
				})
			}
		}
	}
}

// What another box refuses for want of capacity comes back with its time to return, and is not tried at
// boxes that know the same.
func TestARefusalForWantOfCapacityIsTriedElsewhere(t *testing.T) {
	var held quarantine.Request
	tests := []struct {
		name   string
		server http.HandlerFunc
		change func(*Config)
		reason string
	}{
		{"the servers refuse", refuseSigned, nil, ""},
		{"no memory", nil, func(cfg *Config) {
			cfg.Memory = membudget.New(membudget.Limits{Total: 100, PerOrganisation: 100, PerCall: 1 << 20})
		}, reasonMemory},
		{"quarantined", nil, func(cfg *Config) {
			held = fingerprint.Of(fingerprint.Request{Caller: "org", Method: http.MethodPost, Host: "example.com", Target: pathOnce, Body: []byte("body")})
			cfg.Quarantine = quarantine.New(quarantine.Config{MayRetry: func(quarantine.Request) bool { return false }})
			for incarnation := range uint64(quarantine.HoldThreshold) {
				cfg.Quarantine.NoteCrash(quarantine.Crash{Request: held, Caller: 1, Incarnation: incarnation + 1})
			}
		}, reasonCrashesServers},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var servers forwardServers
			servers.start(t, "server", test.server)
			first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: unreachableServers("a")})
			var others []*forwardBox
			for i := range 3 {
				other := startForwardBox(t, g, forwardBoxConfig{name: fmt.Sprint("other-", i), servers: servers.entries, change: test.change})
				others = append(others, other)
				first.forwardTo(other)
			}
			first.partition(g)
			response := first.send(t.Context(), pathOnce, "q", "body")
			g.Expect(response.status).To(Equal(http.StatusServiceUnavailable), response.body)
			g.Expect(response.header.Get(testRetry)).NotTo(BeElementOf("", "0"))
			if test.reason != "" {
				g.Expect(response.code()).To(Equal(test.reason))
			}
			hops := int64(0)
			for _, other := range others {
				hops += other.forwarded.Load()
				other.expectIdle(g)
			}
			g.Expect(hops).To(BeEquivalentTo(1))
			first.expectIdle(g)
		})
	}
}

// Another box may have an older or newer configuration: what it rejects must not be rejected for the caller.
func TestAnotherConfigurationRejectsAProperCall(t *testing.T) {
	tests := []struct {
		name   string
		change func(*catalog.Config)
	}{
		{"no route", func(cfg *catalog.Config) { cfg.Routes = nil }},
		{"no key", func(cfg *catalog.Config) { cfg.Organisations = nil }},
		{"shorter headers", func(cfg *catalog.Config) { cfg.Limits.HeaderBytes = 10 }},
		{"shorter bodies", func(cfg *catalog.Config) { cfg.Limits.BodyBytes = 1 }},
	}
	for _, test := range tests {
		for _, sound := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, another box sound %t", test.name, sound), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				var servers forwardServers
				servers.start(t, "server", nil)
				first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: unreachableServers("a")})
				for i := range 2 {
					first.forwardTo(startForwardBox(t, g, forwardBoxConfig{name: fmt.Sprint("old-", i), servers: servers.entries, catalog: forwardCatalog(g, test.change)}))
				}
				wanted := http.StatusServiceUnavailable
				if sound {
					first.forwardTo(startForwardBox(t, g, forwardBoxConfig{name: "sound", servers: servers.entries}))
					wanted = http.StatusOK
				}
				first.partition(g)
				for i := range 5 {
					response := first.send(t.Context(), pathOnce, fmt.Sprint(i), "body")
					g.Expect(response.status).To(Equal(wanted), response.body)
				}
				first.expectIdle(g)
			})
		}
	}
}

// A box at its limit of forwarded calls refuses more, which other boxes serve; its own callers are served.
func TestForwardedCallsCrowdOutABoxsOwn(t *testing.T) {
	g := NewWithT(t)
	var servers forwardServers
	servers.start(t, "server", nil)
	first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: unreachableServers("a")})
	second := startForwardBox(t, g, forwardBoxConfig{name: "second", servers: servers.entries})
	first.forwardTo(second)
	first.partition(g)
	second.gateway.forwarded.Add(minForwarded - 1)
	g.Expect(first.send(t.Context(), pathOnce, "last", "body").status).To(Equal(http.StatusOK))
	second.gateway.forwarded.Add(1)
	g.Expect(first.send(t.Context(), pathOnce, "over", "body").status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(servers.arrived("over")).To(BeZero())
	g.Expect(second.send(t.Context(), pathOnce, "own", "body").status).To(Equal(http.StatusOK))
	third := startForwardBox(t, g, forwardBoxConfig{name: "third", servers: servers.entries})
	first.forwardTo(third)
	time.Sleep(1100 * time.Millisecond) // the list of boxes is read each second
	for i := range 4 {
		g.Expect(first.send(t.Context(), pathOnce, fmt.Sprint(i), "body").status).To(Equal(http.StatusOK))
	}
	second.gateway.forwarded.Add(-minForwarded)
	first.expectIdle(g)
	second.expectIdle(g)
}

// A box that stops must end the forwarded calls that it has, and those that come later must be served by
// others.
func TestABoxThatStopsCutsForwardedCalls(t *testing.T) {
	g := NewWithT(t)
	var servers forwardServers
	release := make(chan struct{})
	servers.start(t, "server", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testID) == "slow" {
			select {
			case <-release:
			case <-t.Context().Done():
			}
		}
		serveBody(w, r)
	})
	first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: unreachableServers("a")})
	stopping := startForwardBox(t, g, forwardBoxConfig{name: "stopping", servers: servers.entries})
	first.forwardTo(stopping)
	first.partition(g)
	slow := make(chan callerResponse, 1)
	go func() { slow <- first.send(t.Context(), pathOnce, "slow", "body") }()
	g.Eventually(stopping.gateway.forwarded.Load).Should(BeEquivalentTo(1))
	stopped := make(chan error, 1)
	go func() { stopped <- stopping.peers.Config.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	response := first.send(t.Context(), pathOnce, "later", "body")
	g.Expect(response.status).To(Equal(http.StatusServiceUnavailable), "it can go elsewhere")
	g.Expect(servers.arrived("later")).To(BeZero())
	close(release)
	g.Expect((<-slow).status).To(Equal(http.StatusOK))
	g.Expect(<-stopped).To(Succeed())
}
