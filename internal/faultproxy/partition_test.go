package faultproxy

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/reservedport"
)

// startServer starts a server that sends a byte on each connection, and returns its address.
func startServer(t *testing.T, g *WithT) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte("x"))
		}
	}()
	return listener.Addr().String()
}

// receive waits for a byte.
func receive(conn net.Conn, limit time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// The kernel gave the port of a partitioned proxy to another socket of the machine, and the partition could
// not be healed: the address was in use.
func TestAPartitionedProxyKeepsItsPort(t *testing.T) {
	for _, kind := range []Partition{PartitionReset, PartitionNew} {
		g := NewWithT(t)
		server := startServer(t, g)
		proxy, err := Start(server)
		g.Expect(err).NotTo(HaveOccurred())
		defer proxy.Close()
		g.Expect(proxy.Partition(kind)).To(Succeed())
		_, err = net.Dial("tcp", proxy.Address())
		g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
		port, err := net.ResolveTCPAddr("tcp", proxy.Address())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = (&net.Dialer{LocalAddr: port}).Dial("tcp", server)
		g.Expect(err).To(MatchError(syscall.EADDRINUSE))
		g.Expect(proxy.Heal()).To(Succeed())
		conn, err := net.Dial("tcp", proxy.Address())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(receive(conn, 10*time.Second)).To(Succeed())
	}
}

// A connection that the proxy had accepted, but not yet connected to the server, stayed open during a
// partition.
func TestAPartitionAppliesToConnectionsThatWereAcceptedBefore(t *testing.T) {
	tests := []struct {
		name   string
		kind   Partition
		during error
	}{
		{"silent", PartitionSilent, nil},
		{"reset", PartitionReset, syscall.ECONNRESET},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			echo, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer echo.Close()
			proxy, err := Start(echo.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer proxy.Close()
			port, err := reservedport.New()
			g.Expect(err).NotTo(HaveOccurred())
			defer port.Close()
			accepting, err := port.Listen()
			g.Expect(err).NotTo(HaveOccurred())
			defer accepting.Close()
			client, err := net.Dial("tcp", accepting.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer client.Close()
			accepted, err := accepting.AcceptTCP()
			g.Expect(err).NotTo(HaveOccurred())

			g.Expect(proxy.Partition(test.kind)).To(Succeed())
			go proxy.forwardConn(accepted)
			server, err := echo.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			defer server.Close()
			if test.during != nil {
				g.Expect(receive(client, 10*time.Second)).To(MatchError(test.during))
				return
			}
			g.Eventually(func() int {
				proxy.mu.Lock()
				defer proxy.mu.Unlock()
				return len(proxy.pairs)
			}, "10s").Should(Equal(1))
			_, err = client.Write([]byte("x"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(receive(server, 300*time.Millisecond)).NotTo(Succeed())
			g.Expect(proxy.Heal()).To(Succeed())
			g.Expect(receive(server, 10*time.Second)).To(Succeed())
		})
	}
}
