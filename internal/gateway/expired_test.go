package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
)

// slowWriter pauses after each read deadline that is set, as at a box that lacks CPU.
type slowWriter struct{ http.ResponseWriter }

func (w slowWriter) SetReadDeadline(deadline time.Time) error {
	err := http.NewResponseController(w.ResponseWriter).SetReadDeadline(deadline)
	time.Sleep(5 * time.Millisecond)
	return err
}

func (w slowWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// The read deadline for the body also applied to calls without one. If it had passed, it ended
// net/http's background read, which detects that the caller disconnects, and the caller got an empty 200.
func TestACallWithoutABodyIsNotTakenForOneWhoseCallerLeft(t *testing.T) {
	const calls = 20
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	startRunner(t, f, "r", serveEvents("first", 0))
	c := promptCatalogWithTimeout(g, time.Nanosecond)
	gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
	var logged syncBuffer
	gateway.cfg.Logger = zerolog.New(&logged)
	box := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Host = "example.com"
		gateway.ServeHTTP(slowWriter{w}, r)
	}))
	t.Cleanup(box.Close)
	empty := 0
	for range calls {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, box.URL, nil)
		g.Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(r)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
		if response.StatusCode == http.StatusOK && len(body) == 0 {
			empty++
		}
	}
	g.Expect(empty).To(BeZero(), "of %d calls", calls)
	g.Expect(logged.String()).NotTo(ContainSubstring(`"outcome":"gone"`))
}
