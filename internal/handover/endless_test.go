package handover

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a server that sends a head without end: its bytes were held until the call's deadline, so
// that a few calls took all memory of the box.
func TestAHeadWithoutEndTakesMemory(t *testing.T) {
	tests := []struct{ name, begin, repeated string }{
		{"headers", "HTTP/1.1 200 OK\r\n", "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"},
		{"one line", "HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("x", 1000)},
		{"a status line", "HTTP/1.1 200 ", strings.Repeat("x", 1000)},
		{"the head after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"},
		{"bytes of no protocol", "", strings.Repeat("\x00", 1000)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			sent := make(chan int, 1)
			address := serveEndless(t, g, test.begin, test.repeated, sent)
			pool := NewPool(PoolConfig{OnDial: func() {}})
			began := time.Now()
			_, err := pool.Send(t.Context(), Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
			g.Expect(errors.Is(err, ErrNoResponse)).To(BeTrue(), "%v", err)
			g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
			g.Eventually(sent, 5*time.Second).Should(Receive(BeNumerically("<", maxHeadBytes+(8<<20))), "what fits into the sockets' buffers")
		})
	}
}

// The largest head that is allowed must be read, also on a connection that is used again.
func TestALargeHeadIsRead(t *testing.T) {
	g := NewWithT(t)
	value := strings.Repeat("x", maxHeadBytes/2)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Filler", value)
		_, _ = w.Write([]byte(strings.Repeat("y", 2*maxHeadBytes)))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	dials := 0
	pool := NewPool(PoolConfig{OnDial: func() { dials++ }})
	for range 3 {
		response, err := pool.Send(t.Context(), Request{Address: listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", MaxIdle: time.Minute})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Header.Get("X-Filler")).To(Equal(value))
		read := bufio.NewReader(response.Body)
		count, err := read.WriteTo(discard{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(count).To(BeEquivalentTo(2 * maxHeadBytes))
		response.Close()
	}
	g.Expect(dials).To(Equal(1))
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// serveEndless accepts connections and sends bytes on them until the other side closes, then reports how many.
func serveEndless(t *testing.T, g *WithT, begin, repeated string, sent chan<- int) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		count, _ := connection.Write([]byte(begin))
		for err == nil && count < 256<<20 {
			var n int
			n, err = connection.Write([]byte(repeated))
			count += n
		}
		sent <- count
	}()
	return listener.Addr().String()
}
