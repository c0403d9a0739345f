package faultproxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/faultproxy"
)

// startEchoServer starts a server that sends back what it receives, and returns its address.
func startEchoServer(t *testing.T, g *WithT) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// exchange sends a byte and waits until the server has sent it back.
func exchange(conn net.Conn, limit time.Duration) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	return receive(conn, limit)
}

func receive(conn net.Conn, limit time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestConnectionFaults(t *testing.T) {
	const soon, long = 100 * time.Millisecond, 5 * time.Second
	// limit is longer for bytes that must arrive: a busy machine may take its time to forward them.
	limit := func(arrives bool) time.Duration {
		if arrives {
			return long
		}
		return soon
	}
	tests := []struct {
		name string
		do   func(*faultproxy.Proxy)
		// passes reports whether an open connection forwards bytes during the fault, later whether
		// it does so after the link is restored, and fresh whether a new connection does during the
		// fault.
		passes, later, fresh bool
	}{
		{"nothing", func(*faultproxy.Proxy) {}, true, true, true},
		{"hold to the server", func(p *faultproxy.Proxy) { p.SetLink(faultproxy.Link{HoldToServer: true}) }, false, true, false},
		{"hold to the client", func(p *faultproxy.Proxy) { p.SetLink(faultproxy.Link{HoldToClient: true}) }, false, true, false},
		{"blackhole open connections", func(p *faultproxy.Proxy) { p.Blackhole() }, false, false, true},
		{"resets", func(p *faultproxy.Proxy) { p.Reset() }, false, false, true},
		{"delay beyond the time limit", func(p *faultproxy.Proxy) { p.SetLink(faultproxy.Link{Delay: soon}) }, false, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			proxy, err := faultproxy.Start(startEchoServer(t, g))
			g.Expect(err).NotTo(HaveOccurred())
			defer proxy.Close()
			conn, err := net.Dial("tcp", proxy.Address())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(exchange(conn, long)).To(Succeed())

			test.do(proxy)
			g.Expect(exchange(conn, limit(test.passes)) == nil).To(Equal(test.passes))
			another, err := net.Dial("tcp", proxy.Address())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(exchange(another, limit(test.fresh)) == nil).To(Equal(test.fresh))
			proxy.SetLink(faultproxy.Link{})
			if !test.passes {
				g.Expect(receive(conn, limit(test.later)) == nil).To(Equal(test.later))
			}
		})
	}
}
