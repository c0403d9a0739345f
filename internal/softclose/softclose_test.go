package softclose_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/softclose"
)

// pair gives the server's end of a connection through a Listener, and the other.
func pair(g *WithT) (server, client net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	server, err = softclose.Listener{Listener: listener}.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	return server, client
}

func TestACallThatHasBegunToComeIsNotCutOff(t *testing.T) {
	tests := []struct {
		name   string
		before func(server, client net.Conn)
		closed bool
	}{
		{"at rest", func(server, _ net.Conn) { softclose.Track(server, http.StateIdle) }, true},
		{"at rest, and bytes came", func(server, client net.Conn) {
			softclose.Track(server, http.StateIdle)
			_, _ = client.Write([]byte("GET"))
			_, _ = io.ReadFull(server, make([]byte, 3))
		}, false},
		{"at work", func(server, client net.Conn) {
			softclose.Track(server, http.StateActive)
			_, _ = client.Write([]byte("GET"))
			_, _ = io.ReadFull(server, make([]byte, 3))
		}, true},
		{"at rest again", func(server, client net.Conn) {
			_, _ = client.Write([]byte("GET"))
			_, _ = io.ReadFull(server, make([]byte, 3))
			softclose.Track(server, http.StateIdle)
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
