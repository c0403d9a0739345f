// Package handover gives a call to a backend server over a kept connection, once,
// and says exactly what became of it.
//
// Go's HTTP client is not used for this: it may send a call a second time on its
// own, and it does not tell whether a byte of the call has left. Here a call is
// written once, answers are parsed by net/http, and each answer is checked to be
// the one that belongs to the call before anything of it is used.
package handover

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of a call.
var (
	// ErrNotSent says that no byte of the call left this process.
	ErrNotSent = merry.Sentinel("the backend server could not be reached")
	// ErrNoResponse says that the call was handed over, at least in part, and
	// nothing is known of what became of it.
	ErrNoResponse = merry.Sentinel("the backend server gave no answer")
)

// Request is one call as it goes to a backend server.
type Request struct {
	Address string
	Method  string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest rest of a kept connection that may carry the call.
	// A server may close a resting connection just as the call is written.
	MaxIdle time.Duration
	// Matches reports whether an answer is the one to this call. A server may
	// put an answer to an earlier call in its place; such an answer is dropped.
	Matches func(response *http.Response) bool
	// OnConnect is told of the connection before the call is written, by what has the system
	// probe it (see probe); it may be nil.
	OnConnect func(probe func() error)
}

// maxForeignAnswers bounds the answers that are dropped while the call's own is
// looked for; servers send at most one extra answer.
const maxForeignAnswers = 2

// smallMessage is the length in bytes up to which a call fits into a socket's
// buffer, so that writing it does not wait for the server to read.
const smallMessage = 2 << 10

// maxForeignBytes bounds the body of an answer that is dropped.
const maxForeignBytes = 1 << 20

// Response is a backend server's answer. Close must be called once.
type Response struct {
	Status int
	Header http.Header
	// Body gives the whole body, or an error where the server broke off.
	Body io.Reader

	pool       *Pool
	connection *connection
	response   *http.Response
	written    chan error
	unwatch    func() bool
	whole      bool
}

// Send hands a call over. When ctx ends, the connection is closed, which tells the
// server to stop. The error is ErrNotSent or ErrNoResponse.
func (p *Pool) Send(ctx context.Context, call Request) (*Response, error) {
	c, err := p.connect(ctx, call)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.AppendMessage(err.Error()))
	}
	if call.OnConnect != nil {
		call.OnConnect(c.probe)
	}
	unwatch := context.AfterFunc(ctx, c.close) // makes reads and writes under way fail
	written := make(chan error, 1)
	if message := append(head(call), call.Body...); len(message) <= smallMessage {
		c.runWrite(message, written)
	} else {
		go c.runWrite(message, written)
	}
	response, err := c.readOwn(call)
	if err != nil {
		unwatch()
		c.close()
		return nil, merry.Wrap(ErrNoResponse, merry.AppendMessage(err.Error()))
	}
	answer := &Response{
		Status: response.StatusCode, Header: response.Header,
		pool: p, connection: c, response: response, written: written, unwatch: unwatch,
	}
	answer.Body = wholeReader{answer}
	return answer, nil
}

// head writes the request line and the headers.
func head(call Request) []byte {
	var buffer bytes.Buffer
	buffer.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	_ = call.Header.Write(&buffer) // a bytes.Buffer takes everything
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

// runWrite writes a call. A long one is written by a goroutine of its own, because
// a server may answer before it has read the whole body.
func (c *connection) runWrite(message []byte, written chan<- error) {
	_, err := c.Write(message)
	written <- err
}

// readOwn reads answers until the one that belongs to the call.
func (c *connection) readOwn(call Request) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	for range maxForeignAnswers + 1 {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		if call.Matches == nil || call.Matches(response) {
			return response, nil
		}
		c.tainted = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil || response.Close {
			return nil, merry.New("the answer belongs to another call")
		}
	}
	return nil, merry.New("the answers belong to other calls")
}

// wholeReader notes when the body has been read to its proper end.
type wholeReader struct{ answer *Response }

func (r wholeReader) Read(p []byte) (int, error) {
	n, err := r.answer.response.Body.Read(p)
	if err == io.EOF {
		r.answer.whole = true
	}
	return n, err
}

// Framed reports whether the answer says itself where it ends. The end of one
// that does not is the end of its connection.
func (a *Response) Framed() bool {
	return a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
}

// Close ends the use of the answer. The connection is kept when both directions
// are known to be at the end of this call and nothing more.
func (a *Response) Close() {
	watching := a.unwatch()
	select {
	case err := <-a.written:
		if err == nil && watching && a.keepable() {
			a.pool.keep(a.connection, keepAlive(a.Header))
			return
		}
	default:
	}
	a.connection.close()
}

func (a *Response) keepable() bool {
	c := a.connection
	return a.whole && !a.response.Close && !c.tainted && c.reader.Buffered() == 0
}
