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
			stream := stallingStream(silence, started, nil)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				connection := r.Context().Value(connectionKey{}).(syscall.Conn)
				time.AfterFunc(outageStart, func() {
					restore, err := blackhole.Drop(connection)
					if err != nil {
						t.Error(err)
						return
					}
					time.AfterFunc(outageLength, func() { _ = restore() }) // the box may have closed the connection
				})
				stream(w, r)
			}))
			server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, connectionKey{}, c)
			}
			server.Start()
			t.Cleanup(server.Close)
			f.Apply([]fleet.Update{{Key: "first", Offset: 1, Server: &fleet.Server{
				Incarnation: "first", Service: "r", Address: server.Listener.Addr().String(), Slots: 4, Weights: map[string]int{"m": 1},
			}}})
			c := resumableCatalog(g, 1)
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			var logged syncBuffer
			gateway.cfg.Logger = zerolog.New(&logged)
			g.Expect(serveStream(gateway)).To(Equal(fullStream("first", started)), logged.String)
		})
	}
}
