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

// The kernel reports its timeout once, to the write of a long body; the read that waits for the response
// then sees the end of the connection, as if the server had closed it.
func TestATimeoutAmidALongBodyIsNotTheServersClose(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		dropFor(t, connection.(*net.TCPConn), time.Hour)
		<-t.Context().Done()
	}()
	r := request(&server{address: listener.Addr().String()}, "1")
	r.Method, r.Body = http.MethodPost, make([]byte, 16<<20)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err = handover.NewPool(handover.PoolConfig{}).Send(ctx, r)
	g.Expect(err).To(MatchError(handover.ErrNoResponse))
	g.Expect(handover.TimedOut(err)).To(BeTrue(), "%v", err)
}
