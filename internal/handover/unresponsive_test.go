package handover_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/blackhole"
	"github.com/cometlock/cometlock/internal/handover"
)

// Connections to sound servers broke: with a TCP user timeout, the kernel gives up after a single
// unanswered keep-alive probe, and retransmits no more after 1.4 s.
func TestAShortOutageOfAServersMachineKeepsItsCalls(t *testing.T) {
	tests := []struct {
		name string
		// from and until bound the outage, counted from when the request is written; answered is when
		// the server responds.
		from, until, answered time.Duration
		probed                bool
	}{
		{"while it is probed", 300 * time.Millisecond, 1400 * time.Millisecond, 2700 * time.Millisecond, true},
		{"while it is probed for the second time", 1300 * time.Millisecond, 2700 * time.Millisecond, 3500 * time.Millisecond, true},
		{"while the request is written", 0, 1700 * time.Millisecond, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			accepted := make(chan *net.TCPConn, 1)
			s := serveAccepted(t, accepted, func(_ int, r *http.Request, c net.Conn) bool {
				time.Sleep(test.answered)
				_, _ = io.WriteString(c, responseText(r.Header.Get("X-Id"), "hello"))
				return true
			})
			pool := handover.NewPool(handover.PoolConfig{})
			g.Expect(pool.Probe(t.Context(), s.address)).To(Succeed())
			connection := <-accepted
			outage := time.AfterFunc(test.from, func() { dropFor(t, connection, test.until-test.from) })
			defer outage.Stop()
			if test.from == 0 {
				outage.Stop()
				dropFor(t, connection, test.until)
			}
			r := request(s, "1")
			if test.probed {
				r.OnConnect = func(enableKeepAlive func() error) { g.Expect(enableKeepAlive()).To(Succeed()) }
			}
			body, err := get(pool, r)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("hello"))
		})
	}
}

// A call must not wait until its deadline at a server whose machine has failed.
func TestAFailedMachineIsDetected(t *testing.T) {
	const maxDetection = 8 * time.Second
	tests := []struct {
		name string
		// written means that the machine fails before the request is written, and probed that probes are
		// turned on, after some time.
		written bool
		probed  bool
		after   time.Duration
	}{
		{"while the request is written", true, false, 0},
		{"while the request is written, before probes are turned on", true, true, 500 * time.Millisecond},
		{"while the server works", false, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			accepted := make(chan *net.TCPConn, 1)
			received := make(chan struct{})
			s := serveAccepted(t, accepted, func(int, *http.Request, net.Conn) bool {
				close(received)
				<-t.Context().Done()
				return false
			})
			pool := handover.NewPool(handover.PoolConfig{})
			g.Expect(pool.Probe(t.Context(), s.address)).To(Succeed())
			connection := <-accepted
			if test.written {
				dropFor(t, connection, time.Hour)
			} else {
				go func() {
					<-received
					dropFor(t, connection, time.Hour)
				}()
			}
			r := request(s, "1")
			r.OnConnect = func(enableKeepAlive func() error) {
				switch {
				case test.probed && test.after > 0:
					time.AfterFunc(test.after, func() { g.Expect(enableKeepAlive()).To(Succeed()) })
				case test.probed:
					g.Expect(enableKeepAlive()).To(Succeed())
				}
			}
			ctx, cancel := context.WithTimeout(t.Context(), maxDetection)
			defer cancel()
			_, err := pool.Send(ctx, r)
			g.Expect(err).To(MatchError(handover.ErrNoResponse))
			g.Expect(handover.TimedOut(err)).To(BeTrue(), "%v", err)
		})
	}
}

// A call that does not turn probes on was lost in an outage if an earlier call on its connection had.
func TestProbesEndWithTheirCall(t *testing.T) {
	const outage, answered = 5 * time.Second, 6 * time.Second
	g := NewWithT(t)
	accepted := make(chan *net.TCPConn, 1)
	s := serveAccepted(t, accepted, func(_ int, r *http.Request, c net.Conn) bool {
		if r.Header.Get("X-Id") == "2" {
			time.Sleep(answered)
		}
		_, _ = io.WriteString(c, responseText(r.Header.Get("X-Id"), "hello"))
		return true
	})
	pool := handover.NewPool(handover.PoolConfig{})
	first := request(s, "1")
	first.OnConnect = func(enableKeepAlive func() error) { g.Expect(enableKeepAlive()).To(Succeed()) }
	_, err := get(pool, first)
	g.Expect(err).NotTo(HaveOccurred())
	connection := <-accepted
	time.AfterFunc(300*time.Millisecond, func() { dropFor(t, connection, outage) })
	body, err := get(pool, request(s, "2"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("hello"))
	g.Expect(accepted).To(BeEmpty(), "the connection was reused")
}

// serveAccepted is serve, and passes the accepted connections on.
func serveAccepted(t *testing.T, accepted chan<- *net.TCPConn, handle func(int, *http.Request, net.Conn) bool) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- connection.(*net.TCPConn)
			go s.serveConnection(connection, handle)
		}
	}()
	return s
}

// dropFor makes a connection drop what it receives for some time.
func dropFor(t *testing.T, connection *net.TCPConn, length time.Duration) {
	restore, err := blackhole.Drop(connection)
	if err != nil {
		t.Error(err)
		return
	}
	time.AfterFunc(length, func() { _ = restore() }) // the test may have closed the connection
}

// Keep-alive was turned on for a connection that had been idle for almost the user timeout, and the
// kernel closed it a second later, after a single unanswered probe.
func TestAShortOutageKeepsACallThatIsProbedLate(t *testing.T) {
	const outageStart, probedFrom, outageEnd, answered = 3300 * time.Millisecond, 3500 * time.Millisecond, 4700 * time.Millisecond, 6 * time.Second
	t.Parallel()
	g := NewWithT(t)
	accepted := make(chan *net.TCPConn, 1)
	s := serveAccepted(t, accepted, func(_ int, r *http.Request, c net.Conn) bool {
		time.Sleep(answered)
		_, _ = io.WriteString(c, responseText(r.Header.Get("X-Id"), "hello"))
		return true
	})
	pool := handover.NewPool(handover.PoolConfig{})
	g.Expect(pool.Probe(t.Context(), s.address)).To(Succeed())
	connection := <-accepted
	outage := time.AfterFunc(outageStart, func() { dropFor(t, connection, outageEnd-outageStart) })
	defer outage.Stop()
	r := request(s, "1")
	r.OnConnect = func(enableKeepAlive func() error) {
		time.AfterFunc(probedFrom, func() { g.Expect(enableKeepAlive()).To(Succeed()) })
	}
	body, err := get(pool, r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("hello"))
}

// A stopped server reads nothing, so its receive window closes amid a long body. The kernel counted
// that as unacknowledged, although the server's machine answered each window probe.
func TestAStalledServerKeepsACallWithALongBody(t *testing.T) {
	const stall, bodyBytes = 6 * time.Second, 1 << 20
	t.Parallel()
	g := NewWithT(t)
	accepted := make(chan *net.TCPConn, 1)
	s := serveAccepted(t, accepted, func(_ int, r *http.Request, c net.Conn) bool {
		time.Sleep(stall)
		received, err := io.Copy(io.Discard, r.Body)
		if err != nil || received != bodyBytes {
			return false
		}
		_, _ = io.WriteString(c, responseText(r.Header.Get("X-Id"), "hello"))
		return true
	})
	pool := handover.NewPool(handover.PoolConfig{})
	r := request(s, "1")
	r.Method, r.Body = http.MethodPost, make([]byte, bodyBytes)
	body, err := get(pool, r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("hello"))
}

// Without a user timeout, a call on a reused connection would wait until its deadline at a failed machine.
func TestAReusedConnectionHasAUserTimeout(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, responseText(r.Header.Get("X-Id"), "hello"))
		return true
	})
	pool := handover.NewPool(handover.PoolConfig{})
	timeout := func(r handover.Request) int {
		response, err := pool.Send(t.Context(), r)
		g.Expect(err).NotTo(HaveOccurred())
		defer response.Close()
		_, err = io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		handover.AwaitWritten(response)
		return handover.UserTimeout(response)
	}
	plain, long, probed := request(s, "1"), request(s, "2"), request(s, "3")
	long.Method, long.Body = http.MethodPost, make([]byte, 1<<20)
	probed.OnConnect = func(enableKeepAlive func() error) { g.Expect(enableKeepAlive()).To(Succeed()) }
	usual := timeout(plain)
	g.Expect(usual).To(BeNumerically(">", 0))
	g.Expect(timeout(long)).To(BeZero())
	g.Expect(timeout(plain)).To(Equal(usual))
	g.Expect(timeout(probed)).To(BeZero())
	g.Expect(timeout(plain)).To(Equal(usual))
	g.Expect(s.connections.Load()).To(BeEquivalentTo(1))
}
