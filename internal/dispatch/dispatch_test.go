package dispatch_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/dispatch"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/reservedport"
	"github.com/cometlock/cometlock/internal/retrybudget"
)

// The behaviour of an engine when it receives a run.
const (
	gone    = "gone"    // refuses connections
	refuses = "refuses" // responds with status 503
	rejects = "rejects" // responds with status 400
	drops   = "drops"   // accepts the run and closes the connection
)

// reservePort reserves a port until the end of the test.
func reservePort(t *testing.T) *reservedport.Port {
	t.Helper()
	port, err := reservedport.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(port.Close)
	return port
}

func newServer(t *testing.T, behaviour string) *config.BackendServer {
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet:
			w.WriteHeader(http.StatusNotFound) // it has no run with this ID
		case behaviour == refuses:
			w.WriteHeader(http.StatusServiceUnavailable)
		case behaviour == rejects:
			w.WriteHeader(http.StatusBadRequest)
		default:
			panic(http.ErrAbortHandler)
		}
	}
	if behaviour == gone {
		return &config.BackendServer{Name: behaviour, Address: reservePort(t).Address()}
	}
	server := httptest.NewServer(http.HandlerFunc(handler))
	t.Cleanup(server.Close)
	return &config.BackendServer{Name: behaviour, Address: server.Listener.Addr().String()}
}

// The outcome of a request that no engine accepts depends on all attempts, not only on
// the last one.
func TestTheOutcomeDependsOnAllAttempts(t *testing.T) {
	cases := []struct {
		name       string
		behaviours []string
		repeatable bool
		want       apierror.Outcome
	}{
		{"all gone", []string{gone, gone, gone}, true, apierror.NotRun},
		{"all refuse", []string{refuses, refuses, refuses}, true, apierror.NotRun},
		{"the first may have run it, the others refuse", []string{drops, refuses, refuses}, true, apierror.Unknown},
		{"the first may have run it, the others are gone", []string{drops, gone, gone}, true, apierror.Unknown},
		{"the first may have run it, the next rejects it", []string{drops, rejects}, true, apierror.Unknown},
		{"the last may have run it", []string{refuses, gone, drops}, true, apierror.Unknown},
		{"it may not be repeated, and the first may have run it", []string{drops, refuses}, false, apierror.Unknown},
		{"it may not be repeated, and no engine accepted it", []string{gone, refuses, gone}, false, apierror.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			request := flow.NewRequest(t.Context())
			request.Path, request.Repeatable = "/v1/completions", c.repeatable
			request.SetEncoder(func() []byte { return []byte("{}") })
			tried := 0
			choose := func(request *flow.Request, _ []string) *apierror.Error {
				if tried == len(c.behaviours) {
					return apierror.ServiceUnavailable("none", 0, "no more")
				}
				request.Placement.Server = newServer(t, c.behaviours[tried])
				tried++
				return nil
			}
			g.Expect(choose(request, nil)).To(BeNil())
			d := dispatch.New(dispatch.Config{
				Engines: engine.NewClient(engine.ClientConfig{}), Choose: choose, OnFailure: func(string) {}, Budget: retrybudget.New(retrybudget.Config{}),
			})
			_, failure := d.Dispatch(request)
			g.Expect(failure).NotTo(BeNil())
			g.Expect(failure.Outcome).To(Equal(c.want))
		})
	}
}

// A retry withdrawn from the budget must be refunded if there is no other engine. Otherwise the
// budget lacks it for requests that could be retried a moment later.
func TestARetryWithoutAnEngineIsRefunded(t *testing.T) {
	g := NewWithT(t)
	request := flow.NewRequest(t.Context())
	request.Path, request.Repeatable = "/v1/completions", true
	request.SetEncoder(func() []byte { return []byte("{}") })
	request.Placement.Server = newServer(t, drops)
	budget := retrybudget.New(retrybudget.Config{})
	d := dispatch.New(dispatch.Config{
		Engines: engine.NewClient(engine.ClientConfig{}), OnFailure: func(string) {}, Budget: budget,
		Choose: func(*flow.Request, []string) *apierror.Error {
			return apierror.ServiceUnavailable("none", 0, "no more")
		},
	})
	_, failure := d.Dispatch(request)
	g.Expect(failure).NotTo(BeNil())
	g.Expect(budget.State().Balance).To(BeEquivalentTo(retrybudget.DefaultBurst))
}
