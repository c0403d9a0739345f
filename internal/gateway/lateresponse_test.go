package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// routeTimeout is short, to keep the test fast.
const routeTimeout = 200 * time.Millisecond

// A small box that was still starting up was so short of CPU that the responses of calls that had
// run well in time were in transit or in its socket buffer when the route's timeout passed; the
// callers got a 504. For example, a call sent at 1.501 s reached its server at 2.337 s and finished
// at 2.376 s, but got a 504 at 2.477 s; this happened 55 times in the first seconds of a day. A
// server stops a call at its deadline, so whatever it has produced arrives shortly after that.
func TestAResponseThatIsReadyAtTheDeadlineIsDelivered(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration
		status int
	}{
		{"well before", 0, http.StatusOK},
		{"a moment late", routeTimeout + 50*time.Millisecond, http.StatusOK},
		{"far too late", routeTimeout + 600*time.Millisecond, http.StatusGatewayTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			startRunner(t, f, "r", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(test.after)
				_, _ = w.Write([]byte("answer"))
			}))
			c := promptCatalogWithTimeout(g, routeTimeout)
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			recorder := httptest.NewRecorder()
			began := time.Now()
			gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
			g.Expect(recorder.Code).To(Equal(test.status))
			g.Expect(time.Since(began)).To(BeNumerically("<", routeTimeout+400*time.Millisecond), "no call waits much longer")
		})
	}
}
