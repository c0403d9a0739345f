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

// A call whose caller's patience ended while the machine was suspended is handed to no server,
// and none is given more time than is left.
func TestACallsTimeGoesOnInASuspension(t *testing.T) {
	tests := []struct {
		name      string
		suspended time.Duration
		status    int
		runs      int
	}{
		{"it is over", promptTimeout + time.Second, http.StatusServiceUnavailable, 1},
		{"some is left", promptTimeout - time.Second, http.StatusOK, 2},
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
					if runs == 1 { // the machine sleeps while the first one refuses the call
						machine.Suspend(test.suspended)
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					_, _ = w.Write([]byte("answer"))
				}))
			}
			c := promptCatalog(g)
			gateway := promptGateway(newPlanProtocol(), f, emptyStore(c), c)
			answer := httptest.NewRecorder()
			gateway.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
			g.Expect(answer.Code).To(Equal(test.status))
			g.Expect(runs).To(Equal(test.runs))
		})
	}
}

// What a try may last is what is left of the call's time, by the clock that the runtime's
// timers know.
func TestATryEndsWithTheCallsTimeAfterASuspension(t *testing.T) {
	g := NewWithT(t)
	machine := suspendtest.New(t)
	machine.Suspend(time.Hour)
	c := promptCatalog(g)
	gateway := promptGateway(newPlanProtocol(), fleet.New(fleet.Config{}), emptyStore(c), c)
	x := gateway.newExchange(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://example.com/", nil).WithContext(context.Background()))
	g.Expect(gateway.accept(x)).To(BeTrue())
	tried := gateway.newTry(x, choice{})
	defer tried.cancel()
	ends, _ := tried.ctx.Deadline()
	g.Expect(time.Until(ends)).To(BeNumerically("~", promptTimeout+lateAnswer, 500*time.Millisecond))
}

// Timers stand still in a suspension, so a call that waits at a server would be held for as long
// again. On waking the box ends those whose time is over, and no others.
func TestCallsWhoseTimePassedInASuspensionEndOnWaking(t *testing.T) {
	tests := []struct {
		name      string
		suspended time.Duration
		status    int
	}{
		{"its time is over", promptTimeout + time.Second, http.StatusGatewayTimeout},
		{"some is left", promptTimeout / 2, http.StatusOK},
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
			gateway := promptGateway(newPlanProtocol(), f, emptyStore(c), c)
			answers := make(chan *httptest.ResponseRecorder, 1)
			go func() {
				answer := httptest.NewRecorder()
				gateway.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
				answers <- answer
			}()
			<-begun
			machine.Suspend(test.suspended)
			gateway.CancelExpired()
			if test.status == http.StatusOK {
				close(release)
			} else {
				defer close(release)
			}
			g.Expect((<-answers).Code).To(Equal(test.status))
		})
	}
}
