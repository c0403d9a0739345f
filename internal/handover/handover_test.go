package handover_test

import (
	"bufio"
	"context"
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

// server answers each call on each connection by a script that a test gives.
type server struct {
	address     string
	connections atomic.Int64
	calls       atomic.Int64
}

// serve starts a server; handle gets each call and writes to the connection, and
// says whether the connection goes on.
func serve(t *testing.T, handle func(call int, request *http.Request, connection net.Conn) bool) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: listener.Addr().String()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.answer(connection, handle)
		}
	}()
	return s
}

func (s *server) answer(connection net.Conn, handle func(int, *http.Request, net.Conn) bool) {
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

func call(s *server, id string) handover.Request {
	return handover.Request{
		Address: s.address, Method: http.MethodGet, Target: "/x", Host: "h.example",
		Header: http.Header{"X-Id": {id}}, MaxIdle: time.Minute,
		Matches: func(response *http.Response) bool { return response.Header.Get("X-Id") == id },
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func get(pool *handover.Pool, c handover.Request) (string, error) {
	sent, err := pool.Send(context.Background(), c)
	if err != nil {
		return "", err
	}
	defer sent.Close()
	body, err := io.ReadAll(sent.Body)
	return string(body), err
}

func TestConnectionsAreKeptAfterWholeAnswers(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, answer(r.Header.Get("X-Id"), "hello"))
		return true
	})
	pool := handover.NewPool(handover.PoolConfig{})
	for i := range 5 {
		body, err := get(pool, call(s, fmt.Sprint(i)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("hello"))
	}
	g.Expect(s.connections.Load()).To(BeEquivalentTo(1))
}

func TestWhatBelongsToAnotherCallIsDropped(t *testing.T) {
	tests := []struct {
		name   string
		script func(call int, id string) string
		bodies []string
	}{
		{
			"an extra answer in the place of the next", func(call int, id string) string {
				if call == 2 {
					return answer("1", "late") + answer(id, "mine")
				}
				return answer(id, "mine")
			}, []string{"mine", "mine", "mine"},
		},
		{
			"an extra answer at once", func(call int, id string) string {
				if call == 1 {
					return answer(id, "mine") + answer(id, "mine")
				}
				return answer(id, fmt.Sprint("call ", call))
			}, []string{"mine", "call 2", "call 3"},
		},
		{
			"more bytes than the answer has", func(_ int, id string) string {
				return answer(id, "mine") + "garbage"
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
				body, err := get(pool, call(s, fmt.Sprint(i+1)))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal(want))
			}
		})
	}
}

func TestAnAnswerThatBreaksOffIsAnError(t *testing.T) {
	tests := []struct{ name, bytes string }{
		{"short of its length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nfive5"},
		{"without the last chunk", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
		{"no answer in the protocol", "what is this\r\n\r\n"},
		{"nothing", ""},
		{"only answers to others", answer("8", "x") + answer("9", "x") + answer("7", "x") + answer("6", "x")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(_ int, _ *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, test.bytes)
				return false
			})
			_, err := get(handover.NewPool(handover.PoolConfig{}), call(s, "1"))
			g.Expect(err).To(HaveOccurred())
			g.Expect(err).NotTo(MatchError(handover.ErrNotSent))
		})
	}
}

func TestAnAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
		return false
	})
	sent, err := handover.NewPool(handover.PoolConfig{}).Send(context.Background(), call(s, "1"))
	g.Expect(err).NotTo(HaveOccurred())
	defer sent.Close()
	g.Expect(sent.Framed()).To(BeFalse())
	g.Expect(io.ReadAll(sent.Body)).To(BeEquivalentTo("all of it"))
}

// closedAddress is where nothing listens: the port is not among those that the system
// hands out, so no other process of a busy machine can be there by chance.
const closedAddress = "127.0.0.1:1"

func TestOnlyACallThatNeverLeftIsNotHanded(t *testing.T) {
	g := NewWithT(t)
	pool := handover.NewPool(handover.PoolConfig{})
	c := call(&server{address: closedAddress}, "1")
	_, err := pool.Send(context.Background(), c)
	g.Expect(err).To(MatchError(handover.ErrNotSent))

	hangsUp := serve(t, func(int, *http.Request, net.Conn) bool { return false })
	_, err = pool.Send(context.Background(), call(hangsUp, "1"))
	g.Expect(err).To(MatchError(handover.ErrNoResponse))
	g.Expect(hangsUp.calls.Load()).To(BeEquivalentTo(1), "a call is written once")
}

func TestAKeptConnectionThatTheServerClosedIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(call int, r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, answer(r.Header.Get("X-Id"), "hello"))
		return call != 1
	})
	pool := handover.NewPool(handover.PoolConfig{})
	_, err := get(pool, call(s, "1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() error {
		_, err := get(pool, call(s, "2"))
		return err
	}).Should(Succeed())
	g.Expect(s.connections.Load()).To(BeNumerically(">=", 2))
}

func TestAnEarlyAnswerEndsItsConnection(t *testing.T) {
	g := NewWithT(t)
	taken := make(chan struct{}) // the rest of the body is read only once the answer was taken
	s := serve(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, answer(r.Header.Get("X-Id"), "too long"))
		<-taken
		return true
	})
	pool := handover.NewPool(handover.PoolConfig{})
	long := call(s, "1")
	long.Method, long.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
	body, err := get(pool, long)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("too long"))
	close(taken)
	body, err = get(pool, call(s, "2"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("too long"))
	g.Expect(s.connections.Load()).To(BeEquivalentTo(2))
}

func TestTheEndOfTheContextEndsTheCall(t *testing.T) {
	g := NewWithT(t)
	gone := make(chan struct{})
	s := serve(t, func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
		_, _ = c.Read(make([]byte, 1))
		close(gone)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	sent, err := handover.NewPool(handover.PoolConfig{}).Send(ctx, call(s, "1"))
	g.Expect(err).NotTo(HaveOccurred())
	defer sent.Close()
	cancel()
	_, err = io.ReadAll(sent.Body)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(gone).Should(BeClosed())
}

// A call that waits for a silent server has the system probe the connection: a process that
// stands still keeps it, and one whose machine is gone loses it within seconds, where the call
// would have waited for the whole of its time.
func TestASilentConnectionIsProbedWhenAsked(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }))
	defer server.Close()
	pool := handover.NewPool(handover.PoolConfig{})
	var probe func() error
	call := handover.Request{
		Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", MaxIdle: time.Second,
		OnConnect: func(found func() error) { probe = found },
	}
	answer, err := pool.Send(t.Context(), call)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(handover.KeepAlive(answer)).To(BeZero(), "not before it is asked for")
	g.Expect(probe()).To(Succeed())
	g.Expect(handover.KeepAlive(answer)).To(Equal(1))
	_, err = io.ReadAll(answer.Body)
	g.Expect(err).NotTo(HaveOccurred())
	answer.Close()
}
