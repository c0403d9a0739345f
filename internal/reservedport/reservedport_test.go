package reservedport_test

import (
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/reservedport"
)

// Another socket at the port would answer in place of a server that should refuse connections, and a server
// could not be started again.
func TestNoOtherSocketGetsAReservedPort(t *testing.T) {
	g := NewWithT(t)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer other.Close()
	port, err := reservedport.New()
	g.Expect(err).NotTo(HaveOccurred())
	defer port.Close()
	from, err := net.ResolveTCPAddr("tcp", port.Address())
	g.Expect(err).NotTo(HaveOccurred())
	for range 3 {
		_, err = net.Dial("tcp", port.Address())
		g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
		_, err = (&net.Dialer{LocalAddr: from}).Dial("tcp", other.Addr().String())
		g.Expect(err).To(MatchError(syscall.EADDRINUSE))
		listener, err := port.Listen()
		g.Expect(err).NotTo(HaveOccurred())
		conn, err := net.Dial("tcp", port.Address())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.Close()).To(Succeed())
		g.Expect(listener.Close()).To(Succeed())
	}
	port.Close()
	port.Close()
}
