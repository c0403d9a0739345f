package callerconn_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/callerconn"
)

// connectionPair returns the server's end of a connection, accepted through a Listener, and the
// client's end.
func connectionPair(g *WithT) (server, client net.Conn) {
	return connectionPairWith(g, func() callerconn.Timeouts { return callerconn.Timeouts{} })
}

// connectionPairWith is connectionPair with timeouts.
func connectionPairWith(g *WithT, timeouts func() callerconn.Timeouts) (server, client net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	server, err = callerconn.Listener{Listener: listener, Timeouts: timeouts}.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	return server, client
}

func TestCloseKeepsConnectionWithPartialRequest(t *testing.T) {
	tests := []struct {
		name   string
		before func(server, client net.Conn)
		closed bool
	}{
		{"idle", func(server, _ net.Conn) { callerconn.TrackState(server, http.StateIdle) }, true},
		{"idle, with bytes received", func(server, client net.Conn) {
			callerconn.TrackState(server, http.StateIdle)
			_, _ = client.Write([]byte("GET"))
			_, _ = io.ReadFull(server, make([]byte, 3))
		}, false},
		{"active", func(server, client net.Conn) {
			callerconn.TrackState(server, http.StateActive)
			_, _ = client.Write([]byte("GET"))
			_, _ = io.ReadFull(server, make([]byte, 3))
		}, true},
		{"idle again after a call", func(server, client net.Conn) {
			_, _ = client.Write([]byte("GET"))
			_, _ = io.ReadFull(server, make([]byte, 3))
			callerconn.TrackState(server, http.StateIdle)
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			server, client := connectionPair(g)
			defer client.Close()
			test.before(server, client)
			g.Expect(server.Close()).To(Succeed())
			_, err := server.Write([]byte("answer"))
			g.Expect(err != nil).To(Equal(test.closed))
		})
	}
}

// startServer starts a server that responds immediately. Its own timeouts are an hour, so that only
// those of the listener take effect.
func startServer(t *testing.T, timeouts callerconn.Timeouts) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusNoContent)
		}),
		ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, ConnState: callerconn.TrackState,
	}
	go func() {
		_ = server.Serve(callerconn.Listener{Listener: listener, Timeouts: func() callerconn.Timeouts { return timeouts }})
	}()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func TestTimeoutsFollowConfiguration(t *testing.T) {
	const short, long = 100 * time.Millisecond, time.Hour
	const headers = "GET / HTTP/1.1\r\nHost: h\r\n"
	tests := []struct {
		name     string
		timeouts callerconn.Timeouts
		// sent is what the client sends first, and later what it sends after the first response. It
		// then sends nothing more. answers is the number of responses before the connection is closed.
		sent    string
		later   string
		answers int
	}{
		{"no request", callerconn.Timeouts{Header: short, Idle: long}, "", "", 0},
		{"partial request headers", callerconn.Timeouts{Header: short, Idle: long}, headers, "", 0},
		{"idle after a call", callerconn.Timeouts{Header: long, Idle: short}, headers + "\r\n", "", 1},
		{"partial headers of the second request", callerconn.Timeouts{Header: short, Idle: long}, headers + "\r\n" + headers, "", 1},
		{"two bytes of the second request", callerconn.Timeouts{Header: long, Idle: short}, headers + "\r\n", "GE", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			client, err := net.Dial("tcp", startServer(t, test.timeouts))
			g.Expect(err).NotTo(HaveOccurred())
			defer client.Close()
			_, err = client.Write([]byte(test.sent))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(client.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			var received bytes.Buffer
			for test.later != "" && !strings.HasSuffix(received.String(), "\r\n\r\n") {
				_, err = io.CopyN(&received, client, 1)
				g.Expect(err).NotTo(HaveOccurred())
			}
			_, err = client.Write([]byte(test.later))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(&received, client)
			g.Expect(err).NotTo(HaveOccurred(), "the server closes the connection")
			g.Expect(strings.Count(received.String(), "204 No Content")).To(Equal(test.answers))
		})
	}
}
