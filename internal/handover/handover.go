// Package handover sends a call to a backend server over a pooled connection, exactly once, and
// reports precisely whether the call was sent.
//
// Go's HTTP client is not used for this: it may send a request a second time by itself, and it does
// not report whether any byte was sent. Here a call is written once, responses are parsed by
// net/http, and each response is checked to belong to the call before any of it is used.
package handover

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/responsehead"
)

// Errors of Send.
var (
	// ErrNotSent is returned if no byte of the call was sent.
	ErrNotSent = merry.Sentinel("the backend server could not be reached")
	// ErrNoResponse is returned if the call was sent, at least in part, and its outcome is unknown.
	ErrNoResponse = merry.Sentinel("the backend server sent no response")
)

// TimedOut reports whether an error of Send or of a response's body is that of a connection which
// the kernel has closed, because nothing from the server's machine arrived for too long.
func TimedOut(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }

// ConnectTimedOut reports whether an error of Send means that the server did not accept a connection in
// time. A server that refuses connections, or whose address has no route, is not meant.
func ConnectTimedOut(err error) bool {
	var timeout net.Error
	return errors.Is(err, ErrNotSent) && errors.As(err, &timeout) && timeout.Timeout()
}

// faults has the rules that a response may break, with their names in logs.
var faults = []struct {
	err  error
	name string
}{
	{responsehead.ErrVersion, "version"},
	{responsehead.ErrStatus, "status"},
	{responsehead.ErrName, "field_name"},
	{responsehead.ErrFoldedLine, "folded_line"},
	{responsehead.ErrEncoding, "encoding"},
	{errHeadTooLong, "head_too_long"},
	{errInterimTooLong, "interim_too_long"},
}

// Fault returns the name of the rule that a response has broken by an error of Send, or "" if it was not rejected by one. The
// error itself may hold parts of the response, which do not belong into logs.
func Fault(err error) string {
	for _, fault := range faults {
		if errors.Is(err, fault.err) {
			return fault.name
		}
	}
	return ""
}

// Request is one call as it is sent to a backend server.
type Request struct {
	Address string
	Method  string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest idle time of a pooled connection that may carry the call. A server may
	// close an idle connection just as the call is written.
	MaxIdle time.Duration
	// Matches reports whether a response belongs to this call. A server may send a response to an
	// earlier call instead; such a response is dropped.
	Matches func(response *http.Response) bool
	// Memory accounts for heads of responses that are longer than usual; nil means that their size alone is bounded.
	Memory Memory
	// OnConnect is called before the call is written, with a function that turns on keep-alive for
	// the connection (see enableKeepAlive); it may be nil.
	OnConnect func(enableKeepAlive func() error)
	// DialTimeout bounds the time to connect; zero selects that of the pool.
	DialTimeout time.Duration
	// TLS returns the configuration for a new connection; nil means that the connection is not
	// encrypted. All calls to an address must agree on that.
	TLS func() *tls.Config
}

// maxForeignResponses bounds the responses to other calls that are dropped while waiting for the
// right one; servers send one extra response at most.
const maxForeignResponses = 2

// maxInlineWrite is the size in bytes up to which a call fits into a socket's send buffer, so that
// writing it does not wait for the server to read.
const maxInlineWrite = 2 << 10

// maxForeignBytes bounds the body of a response that is dropped.
const maxForeignBytes = 1 << 20

// Response is a backend server's response. Close must be called once.
type Response struct {
	Status int
	Header http.Header
	// Body returns the whole body, or an error if the server broke off.
	Body io.Reader

	pool       *Pool
	conn       *connection
	parsed     *http.Response
	written    chan error
	stopCancel func() bool
	complete   bool
}

// Send sends a call. When ctx ends, the connection is reset, so that the server stops. The error
// is ErrNotSent or ErrNoResponse.
func (p *Pool) Send(ctx context.Context, request Request) (*Response, error) {
	c, err := p.connect(ctx, request)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.AppendMessage(err.Error()), merry.WithCause(err))
	}
	if len(request.Body) > longBodyBytes {
		if err := c.turnUserTimeoutOff(); err != nil {
			c.close()
			return nil, merry.Wrap(ErrNotSent, merry.AppendMessage(err.Error()))
		}
	}
	if request.OnConnect != nil {
		request.OnConnect(c.enableKeepAlive)
	}
	c.head.memory = request.Memory
	stopCancel := context.AfterFunc(ctx, c.abort) // makes reads and writes in progress fail
	written := make(chan error, 1)
	if head := encodeHead(request); len(head)+len(request.Body) <= maxInlineWrite {
		c.runWrite(written, append(head, request.Body...))
	} else {
		go c.runWrite(written, head, request.Body) // a long body is not copied
	}
	parsed, err := c.readMatching(request)
	if err != nil {
		stopCancel()
		c.head.release()
		c.abort() // also ends the write
		if writeErr := <-written; TimedOut(writeErr) {
			err = writeErr // the kernel reports the timeout once, here to the write
		}
		return nil, merry.Wrap(ErrNoResponse, merry.AppendMessage(err.Error()), merry.WithCause(err))
	}
	response := &Response{
		Status: parsed.StatusCode, Header: parsed.Header,
		pool: p, conn: c, parsed: parsed, written: written, stopCancel: stopCancel,
	}
	response.Body = completeReader{response}
	return response, nil
}

// encodeHead encodes the request line and the headers.
func encodeHead(request Request) []byte {
	var buffer bytes.Buffer
	buffer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&buffer) // writes to a bytes.Buffer do not fail
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

// runWrite writes a call. A long one is written in a separate goroutine, because a server may
// respond before it has read the whole body.
func (c *connection) runWrite(written chan<- error, parts ...[]byte) {
	for _, part := range parts {
		if _, err := c.Write(part); err != nil {
			written <- err
			return
		}
	}
	written <- nil
}

// readMatching reads responses until one belongs to the call.
func (c *connection) readMatching(request Request) (*http.Response, error) {
	for range maxForeignResponses + 1 {
		response, err := c.readFinal(request.Method)
		if err != nil {
			return nil, err
		}
		if request.Matches == nil || request.Matches(response) {
			return response, nil
		}
		c.tainted = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil || response.Close {
			return nil, merry.New("the response belongs to another call")
		}
	}
	return nil, merry.New("the responses belong to other calls")
}

// readFinal reads the next response that is not an interim one (1xx). A server may send many of those, but one in trouble
// sends them without end.
func (c *connection) readFinal(method string) (*http.Response, error) {
	for interimBytes := 0; interimBytes <= maxInterimBytes; interimBytes += c.head.size() {
		c.head.begin(c.takeBuffered())
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		c.head.end()
		if err != nil {
			return nil, err
		}
		if err := responsehead.Check(response); err != nil {
			return nil, err
		}
		if response.StatusCode/100 != 1 {
			return response, nil
		}
	}
	return nil, errInterimTooLong
}

// takeBuffered returns what has been read from the connection and is still in the buffer of its reader.
func (c *connection) takeBuffered() []byte {
	count := c.reader.Buffered()
	if count == 0 {
		return nil
	}
	rest := make([]byte, count)
	_, _ = io.ReadFull(c.reader, rest) // reads from the buffer only
	return rest
}

// completeReader records when the body has been read to its proper end.
type completeReader struct{ response *Response }

func (r completeReader) Read(p []byte) (int, error) {
	n, err := r.response.parsed.Body.Read(p)
	if err == io.EOF {
		r.response.complete = true
	}
	return n, err
}

// Length returns the announced length of the body in bytes, or -1 if there is none.
func (r *Response) Length() int64 {
	length, err := strconv.ParseInt(r.Header.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return max(length, -1)
}

// Framed reports whether the response states its length or is chunked. Any other response ends when
// the connection is closed.
func (r *Response) Framed() bool {
	return r.parsed.ContentLength >= 0 || len(r.parsed.TransferEncoding) > 0
}

// writtenTimeout bounds the wait for the end of a write after the response has been read. Usually only the
// goroutine that writes has yet to report it; a server may also respond before it has read the whole call.
const writtenTimeout = 50 * time.Millisecond

// Close releases the response. The connection goes back to the pool if the response was read completely,
// nothing more was received, and the call is written by then or soon after.
func (r *Response) Close() {
	notCancelled := r.stopCancel()
	r.conn.head.release()
	switch {
	case !r.complete:
		r.conn.abort()
		return
	case !notCancelled || !r.reusable():
		r.conn.close()
		return
	}
	select {
	case err := <-r.written:
		r.release(err)
	default:
		go r.runRelease()
	}
}

// runRelease waits for the end of the write and releases the connection.
func (r *Response) runRelease() {
	timer := time.NewTimer(writtenTimeout)
	defer timer.Stop()
	select {
	case err := <-r.written:
		r.release(err)
	case <-timer.C:
		r.conn.abort()
	}
}

// release puts the connection into the pool if the call was written.
func (r *Response) release(writeErr error) {
	if writeErr != nil {
		r.conn.close()
		return
	}
	r.pool.putIdle(r.conn, announcedMaxIdle(r.Header))
}

func (r *Response) reusable() bool {
	c := r.conn
	return r.complete && !r.parsed.Close && !c.tainted && c.reader.Buffered() == 0 && c.head.buffered() == 0
}
