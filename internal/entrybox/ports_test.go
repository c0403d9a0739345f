package entrybox

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

func TestABoxThatCannotOpenAllPortsClosesThoseItOpened(t *testing.T) {
	g := NewWithT(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer taken.Close()
	b := &Box{settings: Settings{CallerAddress: "127.0.0.1:0", ReadyAddress: taken.Addr().String(), PeerAddress: "127.0.0.1:0", ReaderAddress: "127.0.0.1:0", PlacesAddress: "127.0.0.1:0"}}
	g.Expect(b.openPorts()).To(MatchError(ContainSubstring("open the port for ready")))
	_, err = b.ports.callers.Accept()
	g.Expect(err).To(MatchError(net.ErrClosed))
}
