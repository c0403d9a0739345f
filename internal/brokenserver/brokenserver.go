// Package brokenserver has a stand-in for a backend server in trouble, for tests of what reads its responses. It sends bytes
// as they are given, which need not be a response of HTTP, and ends its connections as a crashed process does.
package brokenserver

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// End is what a server does with a connection after its response.
type End int

// Ends of a connection.
const (
	// KeepOpen keeps the connection open until the client closes it, without reading on.
	KeepOpen End = iota
	// Finish ends the server's direction, and reads the rest of the request.
	Finish
	// FinishAndReset ends the server's direction and resets the connection a moment later, as HTTP servers do that have not
	// read the request.
	FinishAndReset
	// Reset resets the connection, as the kernel does for a process that ends before it has read the request.
	Reset
)

// resetDelay is the time between the end of the server's direction and the reset.
const resetDelay = time.Millisecond

// Response is what a server sends in response to a request.
type Response struct {
	// Bytes is sent once the head of the request has been read.
	Bytes string
	// Repeated is sent after that until the client closes the connection, or Limit bytes have been sent; nothing is if it is
	// empty.
	Repeated string
	// Limit is the number of bytes after which a server that repeats itself sends nothing more; 0 means maxRepeatedBytes.
	Limit int
	// Delay is the time between the last byte and the end of the connection.
	Delay time.Duration
	End   End
}

// maxRepeatedBytes bounds what a server sends on a connection in place of something without end.
const maxRepeatedBytes = 256 << 20

// Server is a running server.
type Server struct {
	listener  net.Listener
	responses func(request *http.Request) Response
	requests  atomic.Int64
}

// Start starts a server that sends the same response to each request, on a connection of its own.
func Start(t testing.TB, response Response) *Server {
	t.Helper()
	return StartFunc(t, func(*http.Request) Response { return response })
}

// StartFunc is Start with a response that depends on the head of the request.
func StartFunc(t testing.TB, responses func(request *http.Request) Response) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: listener, responses: responses}
	t.Cleanup(func() { _ = listener.Close() })
	go s.run()
	return s
}

// Address returns the IP address and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests whose heads the server has read.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// run accepts connections until the listener is closed.
func (s *Server) run() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return // the test has ended
		}
		go s.serve(connection.(*net.TCPConn))
	}
}

// serve responds to one request and ends its connection. Errors mean that the client has closed it.
func (s *Server) serve(connection *net.TCPConn) {
	defer connection.Close()
	reader := bufio.NewReaderSize(connection, 1<<10)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	s.requests.Add(1)
	response := s.responses(request)
	if _, err := io.WriteString(connection, response.Bytes); err != nil {
		return
	}
	if response.Repeated != "" {
		repeat(connection, response.Repeated, cmp.Or(response.Limit, maxRepeatedBytes))
	}
	time.Sleep(response.Delay)
	switch response.End {
	case KeepOpen:
		_, _ = io.Copy(io.Discard, connection)
	case Finish:
		_ = connection.CloseWrite()
		_, _ = io.Copy(io.Discard, connection)
	case FinishAndReset:
		_ = connection.CloseWrite()
		time.Sleep(resetDelay)
		_ = connection.SetLinger(0)
	case Reset:
		_ = connection.SetLinger(0)
	}
}

// repeat sends a text again and again, up to a number of bytes.
func repeat(connection net.Conn, text string, limit int) {
	for sent := 0; sent < limit; {
		n, err := io.WriteString(connection, text[:min(len(text), limit-sent)])
		if err != nil {
			return
		}
		sent += n
	}
}
