// The memory that calls hold (package membudget): their bodies and the forms in which they are sent on.

package api

import (
	"context"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/connlimit"
	"github.com/cometlock/cometlock/internal/membudget"
)

const (
	// callOverhead is the memory of a call besides its body and its answer.
	callOverhead = 16 << 10
	// bodyCopies is how often a body is in memory: as it came, parsed, and as it is sent to an engine.
	bodyCopies = 3
	// firstBodyBytes is allocated for a body whose length is not known or has not been received yet.
	firstBodyBytes = 64 << 10
)

// heldMemory is the memory of one call. Only the goroutine of its handler uses it.
type heldMemory struct{ call *membudget.Call }

type memoryKey struct{}

// releaseMemory is the middleware that releases the memory of a call after its handler.
func releaseMemory(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		held := &heldMemory{}
		defer func() { held.call.Close() }()
		r := c.Request()
		c.SetRequest(r.WithContext(context.WithValue(r.Context(), memoryKey{}, held)))
		return next(c)
	}
}

// errNoMemory is the error of a body of unknown length for which there is no memory.
var errNoMemory = merry.Sentinel("no memory for the body")

// admitMemory reserves the memory for a body of at most limit bytes; one of unknown length reserves it as it is
// read. A call without room is refused before its body is read.
func (s *Server) admitMemory(r *http.Request, organisation string, limit int64) (*membudget.Call, *apierror.Error) {
	if r.ContentLength > limit {
		return nil, bodyTooLarge("the body has more than %d bytes", limit)
	}
	wanted := callOverhead + connlimit.HeadMemory(r) + bodyCopies*max(r.ContentLength, 0)
	if !s.memory.FitsCall(wanted) {
		return nil, bodyTooLarge("the body is larger than this entry box has memory for")
	}
	call, admitted := s.memory.Admit(organisation, wanted)
	if !admitted {
		return nil, s.refuseMemory(organisation, wanted)
	}
	if held, ok := r.Context().Value(memoryKey{}).(*heldMemory); ok {
		held.call = call
	}
	return call, nil
}

// refuseMemory returns the refusal of a call for which there is no memory.
func (s *Server) refuseMemory(organisation string, wanted int64) *apierror.Error {
	wait := s.memory.RetryAfter(organisation, wanted)
	return apierror.ServiceUnavailable("memory", wait, "the calls in progress hold the memory of this entry box")
}

// growingReader reserves memory for what it reads.
type growingReader struct {
	io.Reader
	call *membudget.Call
}

func (g growingReader) Read(p []byte) (int, error) {
	n, err := g.Reader.Read(p)
	if n > 0 && !g.call.GrowNew(bodyCopies*int64(n)) {
		return 0, errNoMemory
	}
	return n, err
}

// bodyTooLarge returns the refusal of a body that is too large.
func bodyTooLarge(format string, args ...any) *apierror.Error {
	refusal := apierror.BadRequest("body_too_large", format, args...)
	refusal.Status = http.StatusRequestEntityTooLarge
	return refusal
}
