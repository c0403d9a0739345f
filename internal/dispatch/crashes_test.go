package dispatch_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/dispatch"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/retrybudget"
)

// newCrashingServer starts an engine that closes its listener and connection as soon as it receives a
// run.
func newCrashingServer(t *testing.T, name string) *config.BackendServer {
	t.Helper()
	var server *httptest.Server
	server = httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	_ = server.Listener.Close() // it was never used
	var err error
	if server.Listener, err = reservePort(t).Listen(); err != nil {
		t.Fatal(err)
	}
	server.Start()
	t.Cleanup(server.Close)
	return &config.BackendServer{Name: name, Address: server.Listener.Addr().String()}
}

// Without a quarantine a repeatable request that crashes engines crashes one in each attempt, each
// time it is sent. A review, which is retried as long as it waits, would crash three engines every
// 30 seconds without end.
func TestARequestThatCrashesEnginesIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	crashed := 0
	choose := func(request *flow.Request, _ []string) *apierror.Error {
		crashed++
		request.Placement.Server = newCrashingServer(t, fmt.Sprint("engine-", crashed))
		return nil
	}
	d := dispatch.New(dispatch.Config{
		Engines: engine.NewClient(engine.ClientConfig{}), Choose: choose, OnFailure: func(string) {}, Budget: retrybudget.New(retrybudget.Config{}),
	})
	var last *apierror.Error
	for range 6 {
		request := flow.NewRequest(t.Context())
		request.Path = "/v1/completions"
		request.SetEncoder(func() []byte { return []byte(`{"prompt":"the same"}`) })
		request.Placement.Server = newCrashingServer(t, fmt.Sprint("placed-", crashed))
		_, last = d.Dispatch(request)
		g.Expect(last).NotTo(BeNil())
		if last.Outcome != apierror.NotRun {
			crashed++ // the server of the first placement
		}
	}
	g.Expect(crashed).To(BeNumerically("<=", 3))
	g.Expect(last.Code).To(Equal("ends_servers"))
	g.Expect(last.Outcome).To(Equal(apierror.NotRun))
	g.Expect(last.RetryAfter).To(BeNumerically(">", 0))
}
