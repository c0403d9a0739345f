// Connections of HTTP servers.

package connlimit

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// headerLineBytes is the memory of a header line besides its text: an entry of the map and of its values.
	headerLineBytes = 128
	// bytesPerByte is the memory of the text: in the buffer of the connection and as strings.
	bytesPerByte = 2
)

// HeadWeight returns the memory of a part of a request's head. A line may be as short as three bytes.
func HeadWeight(part []byte) int64 {
	return int64(bytesPerByte*len(part) + headerLineBytes*bytes.Count(part, []byte{'\n'}))
}

// messageBytesPerByte is the memory of a message that is being received: in segments, and joined at its end.
const messageBytesPerByte = 2

// MessageWeight returns the memory of a part of a message.
func MessageWeight(part []byte) int64 { return int64(messageBytesPerByte * len(part)) }

// Attach makes a server with listeners of a limiter report the states of their connections, also where another
// package has wrapped them. A handler that has read a request calls Serving. track is another hook of the server; it
// may be nil.
func Attach(server *http.Server, track func(net.Conn, http.ConnState)) {
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, limited(connection))
	}
	server.ConnState = func(connection net.Conn, state http.ConnState) {
		if c := limited(connection); c != nil {
			c.track(state)
		}
		if track != nil {
			track(connection, state)
		}
	}
}

// limited returns the connection of a limiter within others that wrap it, or nil if there is none.
func limited(connection net.Conn) *conn {
	for {
		if c, ok := connection.(*conn); ok {
			return c
		}
		wrapped, ok := connection.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		connection = wrapped.NetConn()
	}
}

// track follows the state of the connection.
func (c *conn) track(state http.ConnState) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.closed {
		return
	}
	c.http = true
	c.idle = state == http.StateIdle
	c.inRequest = state == http.StateNew || state == http.StateIdle
	if state == http.StateIdle {
		c.hold(c.lastWeight)
		c.idleDeadlines, c.serving, c.waitingSince = 0, false, time.Now()
	}
}

// LimitBody returns a handler for requests whose bodies are not used: the server reads what has arrived of a body
// before it responds, and would wait for the rest without a bound.
func LimitBody(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// Only the response writers of tests do not support deadlines.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
		}
		next.ServeHTTP(w, r)
	})
}

type connectionKey struct{}

// Serving notes that the request of a context has been read and is being served: its connection does not wait
// for its client any more, and is not closed for others. Its head counts until the response has been sent.
func Serving(ctx context.Context) { serving(ctx, false) }

// Admitted is Serving for a request whose head counts elsewhere from now on (HeadMemory).
func Admitted(ctx context.Context) { serving(ctx, true) }

func serving(ctx context.Context, release bool) {
	c, ok := ctx.Value(connectionKey{}).(*conn)
	if !ok || c == nil {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.closed {
		return
	}
	if release {
		c.hold(0)
	}
	c.serving, c.proven = true, true
}

// Abort ends the response to a request, of which the client has a part. It does not return. A client of HTTP/1.0, which
// gets no chunks, takes the end of the connection for that of the response, so its connection is reset.
func Abort(r *http.Request) {
	if c, ok := r.Context().Value(connectionKey{}).(*conn); ok && c != nil && !r.ProtoAtLeast(1, 1) {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}

const (
	// ordinaryLines and ordinaryBytes are the head of an ordinary request, which does not count.
	ordinaryLines = 64
	ordinaryBytes = 4 << 10
	// servedLineBytes and servedTextBytes are the memory of a header line and of a byte of its text while a request
	// is served: in the request and in its copy for a server.
	servedLineBytes = 256
	servedTextBytes = 3
)

// HeadMemory returns the memory of the head of a request that is being served, beyond that of an ordinary one.
func HeadMemory(r *http.Request) int64 {
	lines, text := 0, len(r.RequestURI)
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			text += len(name) + len(value)
		}
	}
	return int64(servedLineBytes*max(lines-ordinaryLines, 0) + servedTextBytes*max(text-ordinaryBytes, 0))
}
