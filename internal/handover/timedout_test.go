package handover_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/handover"
)

// The kernel reports its timeout once, to the write of a body that waits for the server; the read that waits
// for the response then sees the end of the connection, as if the server had closed it.
func TestATimeoutAmidALongBodyIsNotTheServersClose(t *testing.T) {
	const calls = 30 // which of the two gets the timeout is left to chance
	g := NewWithT(t)
	accepted := make(chan *net.TCPConn, 1)
	s := serveAccepted(t, accepted, func(int, *http.Request, net.Conn) bool { return false })
	pool := handover.NewPool(handover.PoolConfig{MaxIdlePerServer: calls})
	handover.SetSendBuffer(pool, 4<<10)
	for range calls {
		g.Expect(pool.Probe(t.Context(), s.address)).To(Succeed())
		dropFor(t, <-accepted, time.Hour)
	}
	r := request(s, "1")
	r.Method, r.Body = http.MethodPost, make([]byte, handover.LongBodyBytes)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ends := make(chan error)
	for range calls {
		go func() {
			_, err := pool.Send(ctx, r)
			ends <- err
		}()
	}
	for range calls {
		err := <-ends
		g.Expect(err).To(MatchError(handover.ErrNoResponse))
		g.Expect(handover.TimedOut(err)).To(BeTrue(), "%v", err)
	}
}
