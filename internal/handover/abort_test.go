package handover

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A call whose caller had left was still sent by the kernel after the end of a cut, since its connection was closed
// without a reset.
func TestACallArrivesAfterItWasGivenUp(t *testing.T) {
	tests := []struct {
		name string
		// respond is what the server sends before the call is given up.
		respond string
		body    int
	}{
		{"no response", "", 100},
		{"no response to a long body", "", 8 << 20},
		{"a part of the response", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart", 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer listener.Close()
			pool := NewPool(PoolConfig{})
			ctx, giveUp := context.WithCancel(t.Context())
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				response, err := pool.Send(ctx, Request{Address: listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, test.body)})
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body) // ends with the call
					response.Close()
				}
			}()
			connection, err := listener.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			defer connection.Close()
			_, err = io.WriteString(connection, test.respond)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(100 * time.Millisecond)
			giveUp()
			<-sent
			g.Expect(connection.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			received, err := io.Copy(io.Discard, connection)
			g.Expect(err).To(MatchError(syscall.ECONNRESET))
			if test.body > 1<<20 {
				g.Expect(received).To(BeNumerically("<", test.body))
			}
		})
	}
}

// A connection that is closed after a whole response must not be reset: the server may still be reading.
func TestAConnectionIsResetAfterAWholeResponse(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	ended := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer connection.Close()
		reader := bufio.NewReader(connection)
		if _, err := http.ReadRequest(reader); err != nil {
			ended <- err
			return
		}
		if _, err = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"); err == nil {
			_, err = io.Copy(io.Discard, reader)
		}
		ended <- err
	}()
	response, err := NewPool(PoolConfig{}).Send(t.Context(), Request{Address: listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("ok"))
	response.Close()
	g.Expect(<-ended).NotTo(HaveOccurred())
}
