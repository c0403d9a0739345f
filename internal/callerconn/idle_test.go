package callerconn_test

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/callerconn"
)

const (
	wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	shortIdle    = 50 * time.Millisecond
	// farDeadline is later than any that the timeouts of these tests set.
	farDeadline = time.Hour
)

// A request that had arrived before the idle timeout was dropped unread, if the process got no CPU time
// until the timeout was over: the connection was closed with the request in its receive buffer.
func TestARequestReceivedBeforeTheIdleTimeoutIsRead(t *testing.T) {
	g := NewWithT(t)
	server, client := connectionPairWith(g, func() callerconn.Timeouts { return callerconn.Timeouts{Idle: shortIdle} })
	defer client.Close()
	callerconn.TrackState(server, http.StateIdle)
	g.Expect(server.SetReadDeadline(time.Now().Add(farDeadline))).To(Succeed())
	_, err := io.WriteString(client, wholeRequest)
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(2 * shortIdle)
	received := make([]byte, len(wholeRequest))
	_, err = io.ReadFull(server, received)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(received)).To(Equal(wholeRequest))
}

// A connection that was idle when the configuration got a longer idle timeout was closed by the shorter
// one, while its caller still used it. So was one whose idle timeout the configuration no longer had.
func TestALongerIdleTimeoutAppliesToIdleConnections(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
	}{{"longer", farDeadline}, {"that of the server", 0}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var idle atomic.Int64
			idle.Store(int64(shortIdle))
			server, client := connectionPairWith(g, func() callerconn.Timeouts { return callerconn.Timeouts{Idle: time.Duration(idle.Load())} })
			defer client.Close()
			callerconn.TrackState(server, http.StateIdle)
			g.Expect(server.SetReadDeadline(time.Now().Add(farDeadline))).To(Succeed())
			idle.Store(int64(test.after))
			sent := make(chan error, 1)
			time.AfterFunc(2*shortIdle, func() {
				_, err := io.WriteString(client, wholeRequest)
				sent <- err
			})
			received := make([]byte, len(wholeRequest))
			_, err := io.ReadFull(server, received)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(<-sent).To(Succeed())
			g.Expect(string(received)).To(Equal(wholeRequest))
		})
	}
}

// A request that had arrived on a new connection was dropped unread in the same way, if the process got no
// CPU time until the header timeout was over.
func TestARequestReceivedBeforeTheHeaderTimeoutIsRead(t *testing.T) {
	g := NewWithT(t)
	server, client := connectionPairWith(g, func() callerconn.Timeouts { return callerconn.Timeouts{Header: shortIdle} })
	defer client.Close()
	g.Expect(server.SetReadDeadline(time.Now().Add(farDeadline))).To(Succeed())
	_, err := io.WriteString(client, wholeRequest)
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(2 * shortIdle)
	received := make([]byte, len(wholeRequest))
	_, err = io.ReadFull(server, received)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(received)).To(Equal(wholeRequest))
}

// A caller that sends its headers slowly must not keep the connection open with each of its bytes.
func TestTheHeaderTimeoutIsExtendedOnce(t *testing.T) {
	g := NewWithT(t)
	server, client := connectionPairWith(g, func() callerconn.Timeouts { return callerconn.Timeouts{Header: shortIdle} })
	defer client.Close()
	g.Expect(server.SetReadDeadline(time.Now().Add(farDeadline))).To(Succeed())
	read := func() error {
		_, err := io.WriteString(client, "G")
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(5 * shortIdle) // longer than the extension
		_, err = server.Read(make([]byte, 1))
		return err
	}
	g.Expect(read()).To(Succeed())
	g.Expect(read()).To(MatchError(os.ErrDeadlineExceeded))
}
