package frame_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/reservedport"
)

// A server that is started again at its port must not find it in use by the one that has ended.
func TestAPortIsStillInUseAfterItsServerHasEnded(t *testing.T) {
	g := NewWithT(t)
	port, err := reservedport.New()
	g.Expect(err).NotTo(HaveOccurred())
	defer port.Close()
	for range 2000 {
		listener, err := port.Listen()
		g.Expect(err).NotTo(HaveOccurred())
		server := frame.NewServer(zerolog.Nop(), func(context.Context, net.Conn, *frame.Reader) {})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			server.LoopAccept(ctx, listener)
			close(ended)
		}()
		stop()
		<-ended
	}
}
