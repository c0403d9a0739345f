package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// routeTimeout is short, so that the test is.
const routeTimeout = 200 * time.Millisecond

// A call was sent at 1.501 s to a small box that was busy starting. It came to its server at
// 2.337 s and had run at 2.376 s; its caller got a 504 at 2.477 s, when its route's time was
// over, 55 times in a day's first seconds. The answer was on its way or lay unread at the
// box, which had not had the processor to take it. A server stops at the time that it was
// given, so whatever it made comes within moments of it.
func TestAnAnswerThatIsReadyAtTheDeadlineIsDelivered(t *testing.T) {
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
			c := promptCatalogFor(g, routeTimeout)
			gateway := promptGateway(newPlanProtocol(), f, emptyStore(c), c)
			answer := httptest.NewRecorder()
			began := time.Now()
			gateway.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
			g.Expect(answer.Code).To(Equal(test.status))
			g.Expect(time.Since(began)).To(BeNumerically("<", routeTimeout+400*time.Millisecond), "no call is held for long")
		})
	}
}
