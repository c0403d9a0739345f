package handover_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/handover"
)

// server responds to each call on each connection with a script of the test.
type server struct {
	address     string
	connections atomic.Int64
	calls       atomic.Int64
}

// serve starts a server. handle gets each call, writes to the connection, and returns whether the
// connection stays open.
func serve(t *testing.T, handle func(call int, request *http.Request, connection net.Conn) bool) *server {
	t.Helper()
	return serveWith(t, nil, handle)
}

// serveWith starts a server with TLS, if secured is set.
func serveWith(t *testing.T, secured *tls.Config, handle func(call int, request *http.Request, connection net.Conn) bool) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: listener.Addr().String()}
	if secured != nil {
		listener = tls.NewListener(listener, secured)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serveConnection(connection, handle)
		}
	}()
	return s
}

func (s *server) serveConnection(connection net.Conn, handle func(int, *http.Request, net.Conn) bool) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !handle(int(s.calls.Add(1)), request, connection) {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

func request(s *server, id string) handover.Request {
	return handover.Request{
		Address: s.address, Method: http.MethodGet, Target: "/x", Host: "h.example",
		Header: http.Header{"X-Id": {id}}, MaxIdle: time.Minute,
		Matches: func(response *http.Response) bool { return response.Header.Get("X-Id") == id },
	}
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func get(pool *handover.Pool, request handover.Request) (string, error) {
	response, err := pool.Send(context.Background(), request)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestConnectionsAreReusedAfterCompleteResponses(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, responseText(r.Header.Get("X-Id"), "hello"))
		return true
	})
	pool := handover.NewPool(handover.PoolConfig{})
	for i := range 5 {
		body, err := get(pool, request(s, fmt.Sprint(i)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("hello"))
	}
	g.Expect(s.connections.Load()).To(BeEquivalentTo(1))
}

func TestResponsesToOtherCallsAreDropped(t *testing.T) {
	tests := []struct {
		name   string
		script func(call int, id string) string
		bodies []string
	}{
		{
			"an extra response before the next one", func(call int, id string) string {
				if call == 2 {
					return responseText("1", "late") + responseText(id, "mine")
				}
				return responseText(id, "mine")
			}, []string{"mine", "mine", "mine"},
		},
		{
			"an extra response at once", func(call int, id string) string {
				if call == 1 {
					return responseText(id, "mine") + responseText(id, "mine")
				}
				return responseText(id, fmt.Sprint("call ", call))
			}, []string{"mine", "call 2", "call 3"},
		},
		{
			"extra bytes after the response", func(_ int, id string) string {
				return responseText(id, "mine") + "garbage"
			}, []string{"mine", "mine", "mine"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(call int, r *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, test.script(call, r.Header.Get("X-Id")))
				return true
			})
			pool := handover.NewPool(handover.PoolConfig{})
			for i, want := range test.bodies {
				body, err := get(pool, request(s, fmt.Sprint(i+1)))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal(want))
			}
		})
	}
}

func TestATruncatedResponseIsAnError(t *testing.T) {
	tests := []struct{ name, bytes string }{
		{"short of its length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nfive5"},
		{"without the last chunk", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
		{"not an HTTP response", "what is this\r\n\r\n"},
		{"nothing", ""},
		{"only responses to other calls", responseText("8", "x") + responseText("9", "x") + responseText("7", "x") + responseText("6", "x")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(_ int, _ *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, test.bytes)
				return false
			})
			_, err := get(handover.NewPool(handover.PoolConfig{}), request(s, "1"))
			g.Expect(err).To(HaveOccurred())
			g.Expect(err).NotTo(MatchError(handover.ErrNotSent))
		})
	}
}

func TestAResponseWithoutALengthEndsWithItsConnection(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
		return false
	})
	response, err := handover.NewPool(handover.PoolConfig{}).Send(context.Background(), request(s, "1"))
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Close()
	g.Expect(response.Framed()).To(BeFalse())
	g.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("all of it"))
}

// closedAddress is an address where nothing listens. The port is outside the ephemeral range, so no
// other process gets it by chance.
const closedAddress = "127.0.0.1:1"

func TestErrNotSentMeansThatNoByteWasSent(t *testing.T) {
	g := NewWithT(t)
	pool := handover.NewPool(handover.PoolConfig{})
	c := request(&server{address: closedAddress}, "1")
	_, err := pool.Send(context.Background(), c)
	g.Expect(err).To(MatchError(handover.ErrNotSent))

	hangsUp := serve(t, func(int, *http.Request, net.Conn) bool { return false })
	_, err = pool.Send(context.Background(), request(hangsUp, "1"))
	g.Expect(err).To(MatchError(handover.ErrNoResponse))
	g.Expect(hangsUp.calls.Load()).To(BeEquivalentTo(1), "a call is written once")
}

func TestAnIdleConnectionClosedByTheServerIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(call int, r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, responseText(r.Header.Get("X-Id"), "hello"))
		return call != 1
	})
	pool := handover.NewPool(handover.PoolConfig{})
	_, err := get(pool, request(s, "1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() error {
		_, err := get(pool, request(s, "2"))
		return err
	}).Should(Succeed())
	g.Expect(s.connections.Load()).To(BeNumerically(">=", 2))
}

func TestAnEarlyResponseClosesItsConnection(t *testing.T) {
	g := NewWithT(t)
	received := make(chan struct{}) // the rest of the body is read only after the response was received
	s := serve(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, responseText(r.Header.Get("X-Id"), "too long"))
		<-received
		return true
	})
	pool := handover.NewPool(handover.PoolConfig{})
	long := request(s, "1")
	long.Method, long.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
	body, err := get(pool, long)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("too long"))
	close(received)
	body, err = get(pool, request(s, "2"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("too long"))
	g.Expect(s.connections.Load()).To(BeEquivalentTo(2))
}

func TestCancellingTheContextClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	gone := make(chan struct{})
	s := serve(t, func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
		_, _ = c.Read(make([]byte, 1))
		close(gone)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	response, err := handover.NewPool(handover.PoolConfig{}).Send(ctx, request(s, "1"))
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Close()
	cancel()
	_, err = io.ReadAll(response.Body)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(gone).Should(BeClosed())
}

// A call that waits for an unresponsive server turns on TCP keep-alive. A stopped process keeps its
// connection. If the machine has failed, the connection breaks within seconds, where the call would
// otherwise have waited until its deadline.
func TestKeepAliveIsEnabledOnRequest(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }))
	defer server.Close()
	pool := handover.NewPool(handover.PoolConfig{})
	var enableKeepAlive func() error
	request := handover.Request{
		Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", MaxIdle: time.Second,
		OnConnect: func(enable func() error) { enableKeepAlive = enable },
	}
	response, err := pool.Send(t.Context(), request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(handover.KeepAlive(response)).To(BeZero(), "off by default")
	g.Expect(enableKeepAlive()).To(Succeed())
	g.Expect(handover.KeepAlive(response)).To(Equal(1))
	_, err = io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	response.Close()
}
