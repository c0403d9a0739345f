package connlimit_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/connlimit"
)

// listener accepts the server sides of pipes, and returns errors that are sent to it.
type listener struct {
	connections chan net.Conn
	errors      chan error
}

func newListener() *listener {
	return &listener{connections: make(chan net.Conn), errors: make(chan error, 1)}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection, open := <-l.connections:
		if !open {
			return nil, net.ErrClosed
		}
		return connection, nil
	case err := <-l.errors:
		return nil, err
	}
}

func (l *listener) Close() error   { return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// dial connects a client.
func (l *listener) dial() net.Conn {
	client, server := net.Pipe()
	l.connections <- server
	return client
}

func newLimiter(connections int, bytes int64) *connlimit.Limiter {
	return connlimit.New(connlimit.Config{MaxConnections: connections, MaxRequestBytes: bytes, Logger: zerolog.Nop()})
}

// isOpen reports whether the other side of a connection has not closed it.
func isOpen(connection net.Conn) bool {
	_ = connection.SetReadDeadline(time.Now().Add(time.Millisecond)) // a pipe supports deadlines
	_, err := connection.Read(make([]byte, 1))
	return os.IsTimeout(err)
}

// serve runs an HTTP server until the test ends. Calls of "/hold" are served until the listener is closed.
func serve(t *testing.T, limiter *connlimit.Limiter) *listener {
	inner := newListener()
	held := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			connlimit.Serving(r.Context())
			<-held
		}
		fmt.Fprint(w, "served")
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour}
	connlimit.Attach(server, nil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(limiter.Listener(inner, connlimit.HeadWeight)) // returns when the listener does
	}()
	t.Cleanup(func() {
		close(inner.connections)
		close(held)
		_ = server.Close()
		<-ended
	})
	return inner
}

// request sends a request and returns the status of the response, or 0 if the connection is closed.
func request(connection net.Conn, path string) int {
	if _, err := io.WriteString(connection, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // the status is all that counts
	return response.StatusCode
}

// Connections that were silent kept their places for as long as they liked, and ordinary callers got none.
func TestSilentConnectionsKeepOthersOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		port := serve(t, newLimiter(3, 0))
		served := port.dial()
		g.Expect(request(served, "/")).To(Equal(http.StatusOK))
		held := port.dial()
		_, err := io.WriteString(held, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		for range 10 {
			silent := port.dial()
			g.Expect(isOpen(silent)).To(BeTrue(), "a new connection takes the place of the silent one before it")
		}
		g.Expect(request(port.dial(), "/")).To(Equal(http.StatusOK))
		g.Expect(isOpen(held)).To(BeTrue(), "a call that is being served goes on")
		held.Close()
	})
}

// The connection of a call in progress must not be closed for a new one, even if there is no other.
func TestANewConnectionDisplacesACallInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		port := serve(t, newLimiter(1, 0))
		held := port.dial()
		_, err := io.WriteString(held, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		g.Expect(isOpen(port.dial())).To(BeFalse())
		g.Expect(isOpen(held)).To(BeTrue())
		held.Close()
	})
}

// Unfinished heads of short lines took thirty times their size.
func TestUnfinishedHeadsTakeAllMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const lines = 1000
		head := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\n", lines)
		weight := connlimit.HeadWeight([]byte(head))
		port := serve(t, newLimiter(0, 2*weight))
		var large []net.Conn
		for range 5 {
			client := port.dial()
			_, _ = io.WriteString(client, head) // fails when the connection is closed for another one
			synctest.Wait()
			large = append(large, client)
		}
		open := 0
		for _, client := range large {
			if isOpen(client) {
				open++
			}
		}
		g.Expect(open).To(BeNumerically("<=", 2))
		g.Expect(request(port.dial(), "/")).To(Equal(http.StatusOK), "a small request needs none of the memory for large ones")
		for _, client := range large {
			client.Close()
		}
		synctest.Wait()
		last := port.dial()
		_, err := io.WriteString(last, head+"\r\n")
		g.Expect(err).NotTo(HaveOccurred(), "what closed connections held is released")
		g.Expect(isOpen(last)).To(BeFalse()) // it has a response, which is not a timeout
	})
}

// A head that arrived together with the request before it counted as nothing.
func TestPipelinedHeadsAreNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const clients = 40
		pipelined := "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\n", 1000)
		weight := connlimit.HeadWeight([]byte(pipelined))
		port := serve(t, newLimiter(0, clients/4*weight))
		var connections []net.Conn
		for range clients {
			client := port.dial()
			go func() { _, _ = io.WriteString(client, pipelined) }() // the server may close the connection
			go func() { _, _ = io.Copy(io.Discard, client) }()
			connections = append(connections, client)
		}
		synctest.Wait()
		open := 0
		for _, client := range connections {
			if client.SetWriteDeadline(time.Now().Add(time.Millisecond)); isWritable(client) {
				open++
			}
			client.Close()
		}
		g.Expect(open).To(BeNumerically("<=", clients/2))
	})
}

// isWritable reports whether the other side still reads.
func isWritable(connection net.Conn) bool {
	_, err := io.WriteString(connection, "b")
	return err == nil
}

// A port for messages closed for good when the process had no descriptors left.
func TestAPortClosesForWantOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		inner := newListener()
		inner.errors <- os.NewSyscallError("accept4", syscall.EMFILE)
		go func() {
			time.Sleep(time.Second)
			inner.dial()
		}()
		_, err := newLimiter(0, 0).Listener(inner, connlimit.MessageWeight).Accept()
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// A client that reads nothing held its call for as long as it liked.
func TestAnUnreadResponseIsKeptForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		port := serve(t, newLimiter(0, 0))
		client := port.dial()
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * time.Minute)
		content, err := io.ReadAll(client)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(content).To(BeEmpty())
	})
}

// A slow client must get its whole response as long as it reads something in each minute.
func TestASlowReaderLosesItsResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		port := serve(t, newLimiter(0, 0))
		client := port.dial()
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		var content []byte
		for !strings.HasSuffix(string(content), "served") {
			time.Sleep(50 * time.Second)
			part := make([]byte, 64)
			n, err := client.Read(part)
			g.Expect(err).NotTo(HaveOccurred())
			content = append(content, part[:n]...)
		}
		client.Close()
	})
}

// An unfinished message must not keep out the messages of boxes that have sent valid ones.
func TestUnfinishedMessagesKeepOtherBoxesOut(t *testing.T) {
	g := NewWithT(t)
	inner := newListener()
	limited := newLimiter(2, 0).Listener(inner, connlimit.MessageWeight)
	accept := func() (client net.Conn, server net.Conn) {
		go func() { client = inner.dial(); close(inner.errors) }()
		server, err := limited.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		<-inner.errors
		inner.errors = make(chan error, 1)
		return client, server
	}
	box, served := accept()
	served.(interface{ MessageReceived() }).MessageReceived()
	first, _ := accept()
	second, _ := accept()
	g.Expect(isOpen(box)).To(BeTrue())
	g.Expect(isOpen(first)).To(BeFalse())
	g.Expect(isOpen(second)).To(BeTrue())
}

// The HTTP server could not end its direction before a close with unread bytes.
func TestAConnectionCannotCloseItsWrites(t *testing.T) {
	g := NewWithT(t)
	port, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer port.Close()
	client, err := net.Dial("tcp", port.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	server, err := newLimiter(1, 0).Listener(port, connlimit.HeadWeight).Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	closer, ok := server.(interface{ CloseWrite() error })
	g.Expect(ok).To(BeTrue())
	g.Expect(closer.CloseWrite()).To(Succeed())
	content, err := io.ReadAll(client)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(content).To(BeEmpty())
}

// A context without a connection, as in tests of handlers, must not matter.
func TestServingWithoutAConnection(*testing.T) { connlimit.Serving(context.Background()) }

// Small machines must still take the largest head with the shortest lines, and leave descriptors for connections
// that the process opens.
func TestTheLimitsOfSmallMachines(t *testing.T) {
	const largestHead = 68 << 10
	tests := []struct {
		name        string
		machine     connlimit.Machine
		connections int
	}{
		{"the platform's smallest", connlimit.Machine{MemoryBytes: 160 << 20, Descriptors: 4100}, 800},
		{"few descriptors", connlimit.Machine{MemoryBytes: 160 << 20, Descriptors: 512}, 200},
		{"little memory", connlimit.Machine{MemoryBytes: 64 << 20, Descriptors: 4100}, 300},
		{"no limit of descriptors", connlimit.Machine{MemoryBytes: 160 << 20}, 800},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			callers, boxes, operators := test.machine.Callers(), test.machine.Boxes(1<<20), test.machine.Operators()
			head := []byte(strings.Repeat("a:\n", largestHead/3))
			g.Expect(callers.MaxRequestBytes).To(BeNumerically(">=", connlimit.HeadWeight(head)))
			g.Expect(boxes.MaxRequestBytes).To(BeNumerically(">=", connlimit.MessageWeight(make([]byte, 1<<20))))
			g.Expect(callers.MaxConnections).To(BeNumerically(">=", test.connections))
			if test.machine.Descriptors > 0 {
				g.Expect(callers.MaxConnections + boxes.MaxConnections + operators.MaxConnections).To(BeNumerically("<=", test.machine.Descriptors*3/4))
			}
		})
	}
}
