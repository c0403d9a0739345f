package frame_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/frame"
)

// The other box may close an idle connection just as it is used again. The request must then be sent on a new
// connection, and a box that never answers must not hold the caller.
func TestARequestIsLostOnAClosedIdleConnection(t *testing.T) {
	g := NewWithT(t)
	var served atomic.Int64
	server := frame.NewServer(zerolog.Nop(), func(_ context.Context, connection net.Conn, reader *frame.Reader) {
		var received testMessage
		if frame.Read(reader, &received, maxBytes) == nil {
			served.Add(1)
			_ = frame.Write(connection, &received, time.Second) // then the connection is closed
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(t.Context())
	defer server.Wait()
	defer stop()
	go server.LoopAccept(ctx, listener)
	client := frame.NewClient(frame.ClientConfig{MaxIdle: 1, MaxIdleTime: time.Minute, MaxResponseBytes: maxBytes})
	defer client.CloseIdle()
	for range 3 {
		var answer testMessage
		g.Expect(client.Exchange(t.Context(), listener.Addr().String(), &testMessage{Box: "a"}, &answer, time.Second)).To(Succeed())
		g.Expect(answer.Box).To(Equal("a"))
	}
	g.Expect(served.Load()).To(BeEquivalentTo(3))
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer silent.Close()
	began := time.Now()
	g.Expect(client.Exchange(t.Context(), silent.Addr().String(), &testMessage{}, &testMessage{}, 100*time.Millisecond)).NotTo(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
}
