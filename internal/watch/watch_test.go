package watch_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/watch"
	"github.com/cometlock/cometlock/internal/zone"
)

// oneRunner gives what a zone with one runner knows, and a count of the questions
// that the runner got.
func oneRunner(t *testing.T) (*zone.View, *atomic.Int64) {
	g := NewWithT(t)
	var asked atomic.Int64
	runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(runner.Close)
	file := &config.File{BackendServers: []config.BackendServer{{
		Name: "runner-1", Zone: "zone-a", Role: config.RoleRunner, Address: strings.TrimPrefix(runner.URL, "http://"),
	}}}
	entries, err := file.Entries()
	g.Expect(err).NotTo(HaveOccurred())
	snapshot, err := config.NewSnapshot(0, entries)
	g.Expect(err).NotTo(HaveOccurred())
	knowledge := zone.New(zone.Config{Zone: "zone-a"})
	knowledge.Configure(snapshot)
	return knowledge, &asked
}

func TestRunnersAreWatchedUntilTheEnd(t *testing.T) {
	cases := []struct {
		name string
		// closed says that the watcher was closed before the configuration came.
		closed bool
	}{
		{name: "configured before the end"},
		// The log may bring a configuration while a box stops. A goroutine that
		// began then raced with the waiting for the others, and could outlive it.
		{name: "configured after the end", closed: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			knowledge, asked := oneRunner(t)
			watcher := watch.New(watch.Config{Engines: engine.NewClient(engine.ClientConfig{}), Knowledge: knowledge})
			if c.closed {
				watcher.Close()
			}
			watcher.Configure(t.Context())
			if c.closed {
				g.Consistently(asked.Load, "200ms", "10ms").Should(BeZero())
				return
			}
			g.Eventually(asked.Load, "10s", "5ms").ShouldNot(BeZero())
			watcher.Close()
			known := asked.Load()
			g.Consistently(asked.Load, "700ms", "50ms").Should(Equal(known))
		})
	}
}
