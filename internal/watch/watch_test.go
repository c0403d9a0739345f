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

// viewOfOneRunner returns the view of a zone with one runner, and a counter of the requests that
// the runner received.
func viewOfOneRunner(t *testing.T) (*zone.View, *atomic.Int64) {
	g := NewWithT(t)
	var requests atomic.Int64
	runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
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
	view := zone.New(zone.Config{Zone: "zone-a"})
	view.Configure(snapshot)
	return view, &requests
}

func TestRunnersArePolledUntilClose(t *testing.T) {
	cases := []struct {
		name string
		// closed is set if the watcher is closed before the configuration arrives.
		closed bool
	}{
		{name: "configured before Close"},
		// A configuration may arrive from the log while a box stops. A goroutine that started then would
		// race with the wait for the others, and could outlive it.
		{name: "configured after Close", closed: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			view, requests := viewOfOneRunner(t)
			watcher := watch.New(watch.Config{Engines: engine.NewClient(engine.ClientConfig{}), View: view})
			if c.closed {
				watcher.Close()
			}
			watcher.Configure(t.Context())
			if c.closed {
				g.Consistently(requests.Load, "200ms", "10ms").Should(BeZero())
				return
			}
			g.Eventually(requests.Load, "10s", "5ms").ShouldNot(BeZero())
			watcher.Close()
			last := requests.Load()
			g.Consistently(requests.Load, "700ms", "50ms").Should(Equal(last))
		})
	}
}
