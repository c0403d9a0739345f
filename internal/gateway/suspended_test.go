package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/suspendtest"
)

// A call whose deadline passed while the machine was suspended is not sent to another server, and
// no server gets a longer timeout than the time left.
func TestDeadlinesCountTimeInSuspension(t *testing.T) {
	tests := []struct {
		name      string
		suspended time.Duration
		status    int
		runs      int
	}{
		{"the deadline has passed", promptTimeout + time.Second, http.StatusServiceUnavailable, 1},
		{"time is left", promptTimeout - time.Second, http.StatusOK, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			machine := suspendtest.New(t)
			f := fleet.New(fleet.Config{})
			runs := 0
			for _, name := range []string{"r1", "r2"} {
				startRunner(t, f, name, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					runs++
					if runs == 1 { // the machine is suspended while the first server refuses the call
						machine.Suspend(test.suspended)
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					_, _ = w.Write([]byte("answer"))
				}))
			}
			c := promptCatalog(g)
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			recorder := httptest.NewRecorder()
			gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
			g.Expect(recorder.Code).To(Equal(test.status))
			g.Expect(runs).To(Equal(test.runs))
		})
	}
}

// The timeout of an attempt is the time left for the call, on the clock that the runtime's timers
// use.
func TestAnAttemptEndsWithTheCallsDeadlineAfterASuspension(t *testing.T) {
	g := NewWithT(t)
	machine := suspendtest.New(t)
	machine.Suspend(time.Hour)
	c := promptCatalog(g)
	gateway := promptGateway(newPlanProtocol(), fleet.New(fleet.Config{}), emptyIndex(c), c)
	x := gateway.newExchange(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://example.com/", nil).WithContext(context.Background()))
	g.Expect(gateway.accept(x)).To(BeTrue())
	a := gateway.newAttempt(x, placement{})
	defer a.cancel()
	ends, _ := a.ctx.Deadline()
	g.Expect(time.Until(ends)).To(BeNumerically("~", promptTimeout+lateResponseLimit, 500*time.Millisecond))
}

// Timers do not count time in suspension, so a call that waits at a server would wait that much
// longer. On resume the box cancels the calls whose deadline has passed, and no others.
func TestCallsThatExpireDuringASuspensionAreCancelledOnResume(t *testing.T) {
	tests := []struct {
		name      string
		suspended time.Duration
		status    int
	}{
		{"the deadline has passed", promptTimeout + time.Second, http.StatusGatewayTimeout},
		{"time is left", promptTimeout / 2, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			machine := suspendtest.New(t)
			f := fleet.New(fleet.Config{})
			begun, release := make(chan struct{}), make(chan struct{})
			startRunner(t, f, "r", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				close(begun)
				<-release
				_, _ = w.Write([]byte("answer"))
			}))
			c := promptCatalog(g)
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			responses := make(chan *httptest.ResponseRecorder, 1)
			go func() {
				recorder := httptest.NewRecorder()
				gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
				responses <- recorder
			}()
			<-begun
			machine.Suspend(test.suspended)
			gateway.CancelExpired()
			if test.status == http.StatusOK {
				close(release)
			} else {
				defer close(release)
			}
			g.Expect((<-responses).Code).To(Equal(test.status))
		})
	}
}
