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

// pair gives the server's end of a connection through a Listener, and the other.
func pair(g *WithT) (server, client net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	server, err = callerconn.Listener{Listener: listener, Timeouts: func() callerconn.Timeouts { return callerconn.Timeouts{} }}.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	return server, client
}

func TestACallThatHasBegunToComeIsNotCutOff(t *testing.T) {
	tests := []struct {
		name   string
		before func(server, client net.Conn)
		closed bool
	}{
		{"at rest", func(server, _ net.Conn) { callerconn.TrackState(server, http.StateIdle) }, true},
		{"at rest, and bytes came", func(server, client net.Conn) {
			callerconn.TrackState(server, http.StateIdle)
			_, _ = client.Write([]byte("GET"))
			_, _ = io.ReadFull(server, make([]byte, 3))
		}, false},
		{"at work", func(server, client net.Conn) {
			callerconn.TrackState(server, http.StateActive)
			_, _ = client.Write([]byte("GET"))
			_, _ = io.ReadFull(server, make([]byte, 3))
		}, true},
		{"at rest again", func(server, client net.Conn) {
			_, _ = client.Write([]byte("GET"))
			_, _ = io.ReadFull(server, make([]byte, 3))
			callerconn.TrackState(server, http.StateIdle)
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			server, client := pair(g)
			defer client.Close()
			test.before(server, client)
			g.Expect(server.Close()).To(Succeed())
			_, err := server.Write([]byte("answer"))
			g.Expect(err != nil).To(Equal(test.closed))
		})
	}
}

// startServer serves calls at once, with limits of its own that no test waits for.
func startServer(t *testing.T, limits callerconn.Timeouts) string {
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
		_ = server.Serve(callerconn.Listener{Listener: listener, Timeouts: func() callerconn.Timeouts { return limits }})
	}()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func TestLimitsOfRestsAndHeadsFollowTheConfiguration(t *testing.T) {
	const short, long = 100 * time.Millisecond, time.Hour
	const head = "GET / HTTP/1.1\r\nHost: h\r\n"
	tests := []struct {
		name   string
		limits callerconn.Timeouts
		// sent is what the caller sends, and later what it sends when it has the first
		// answer, before it falls silent; answers is how many answers come before the
		// connection is closed.
		sent    string
		later   string
		answers int
	}{
		{"no call", callerconn.Timeouts{Header: short, Idle: long}, "", "", 0},
		{"a head that stops", callerconn.Timeouts{Header: short, Idle: long}, head, "", 0},
		{"a rest", callerconn.Timeouts{Header: long, Idle: short}, head + "\r\n", "", 1},
		{"the second head stops", callerconn.Timeouts{Header: short, Idle: long}, head + "\r\n" + head, "", 1},
		{"the second head stops after two bytes", callerconn.Timeouts{Header: long, Idle: short}, head + "\r\n", "GE", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			client, err := net.Dial("tcp", startServer(t, test.limits))
			g.Expect(err).NotTo(HaveOccurred())
			defer client.Close()
			_, err = client.Write([]byte(test.sent))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(client.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			var came bytes.Buffer
			for test.later != "" && !strings.HasSuffix(came.String(), "\r\n\r\n") {
				_, err = io.CopyN(&came, client, 1)
				g.Expect(err).NotTo(HaveOccurred())
			}
			_, err = client.Write([]byte(test.later))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(&came, client)
			g.Expect(err).NotTo(HaveOccurred(), "the server closes the connection")
			g.Expect(strings.Count(came.String(), "204 No Content")).To(Equal(test.answers))
		})
	}
}
