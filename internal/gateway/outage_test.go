package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/blackhole"
	"github.com/cometlock/cometlock/internal/fleet"
)

type connectionKey struct{}

// A server's machine was unreachable for a moment, the kernel closed the connection after a single
// unanswered probe, and no second server was allowed: the stream was cut, or the call got a 502.
func TestAShortOutageOfAServersMachineEndsNoCall(t *testing.T) {
	const outageStart, outageLength, silence = 400 * time.Millisecond, 1100 * time.Millisecond, 2700 * time.Millisecond
	for _, started := range []bool{false, true} {
		t.Run(fmt.Sprintf("started %t", started), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			startUnreachableFor(t, f, stallingStream(silence, started, nil), outageStart, outageLength)
			c := resumableCatalog(g, 1)
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			var logged syncBuffer
			gateway.cfg.Logger = zerolog.New(&logged)
			g.Expect(serveStream(gateway)).To(Equal(fullStream("first", started)), logged.String)
		})
	}
}

// startUnreachableFor starts the server "first", which is unreachable for some time in each call.
func startUnreachableFor(t *testing.T, f *fleet.Fleet, handler http.Handler, from, length time.Duration) {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection := r.Context().Value(connectionKey{}).(syscall.Conn)
		time.AfterFunc(from, func() {
			restore, err := blackhole.Drop(connection)
			if err != nil {
				t.Error(err)
				return
			}
			time.AfterFunc(length, func() { _ = restore() }) // the box may have closed the connection
		})
		handler.ServeHTTP(w, r)
	}))
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	server.Start()
	t.Cleanup(server.Close)
	f.Apply([]fleet.Update{{Key: "first", Offset: 1, Server: &fleet.Server{
		Incarnation: "first", Service: "r", Address: server.Listener.Addr().String(), Slots: 4, Weights: map[string]int{"m": 1},
	}}})
}

// A call with a long objective looks for another server late. When probes began only then, nothing had
// arrived for longer than the kernel waits for, so a single unanswered probe ended the connection.
func TestAnOutageLateInALongCallEndsNoCall(t *testing.T) {
	const outageLength, silence = 1200 * time.Millisecond, 6500 * time.Millisecond
	for _, objective := range []time.Duration{1700 * time.Millisecond, 2 * time.Second} {
		t.Run(objective.String(), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			startUnreachableFor(t, f, stallingStream(silence, false, nil), 2*objective-100*time.Millisecond, outageLength)
			c := resumableCatalogWith(g, 1, objective)
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			var logged syncBuffer
			gateway.cfg.Logger = zerolog.New(&logged)
			g.Expect(serveStream(gateway)).To(Equal(fullStream("first", false)), logged.String)
		})
	}
}

// When probes began only once a call looked for another server, a call with a long objective waited for a
// machine that was gone for longer than its objective.
func TestAMachineThatIsGoneIsNoticedLongBeforeALongObjective(t *testing.T) {
	t.Parallel()
	const objective, timeout = 8 * time.Second, 8 * time.Second
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	startUnreachableFor(t, f, stallingStream(timeout, false, nil), 100*time.Millisecond, timeout)
	c := resumableCatalogWith(g, 2, objective)
	gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
	bodies := make(chan string, 1)
	go func() { bodies <- serveStream(gateway) }()
	g.Eventually(func() int { return inFlight(f) }).Should(Equal(1))
	startSecond(t, f, serveEvents("second", 0))
	g.Eventually(bodies, timeout).Should(Receive(Equal(fullStream("second", false))))
}
