// Package largebody reads the bodies of responses to a process's own requests, such as lists and reports.
//
// Each body is bounded, but servers in trouble may all send the longest ones at the same time. So only few long bodies are
// read at a time; the others wait, which their requests' timeouts bound.
package largebody

import (
	"context"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/semaphore"
)

const (
	// ordinaryBytes is the length up to which bodies are read without waiting. Lists of some thousand elements are shorter.
	ordinaryBytes = 256 << 10
	// maxLong is the number of longer bodies that are read at a time.
	maxLong = 2
	// maxFailureBytes bounds the body of a failure, which names an offset or a reason. The rest is left unread.
	maxFailureBytes = 16 << 10
)

// ErrTooLong is returned for a body that is longer than allowed.
var ErrTooLong = merry.Sentinel("the body of the response is too long")

// Reader reads bodies. Its methods may be called concurrently.
type Reader struct {
	maxBytes int64
	long     *semaphore.Weighted
}

// NewReader returns a reader of bodies of at most maxBytes.
func NewReader(maxBytes int64) *Reader {
	return &Reader{maxBytes: maxBytes, long: semaphore.NewWeighted(maxLong)}
}

// ReadAll reads the body of a response. It returns ErrTooLong, the error of ctx, or that of the body.
func (r *Reader) ReadAll(ctx context.Context, response *http.Response) ([]byte, error) {
	body := response.Body
	if response.StatusCode/100 != 2 {
		return io.ReadAll(io.LimitReader(body, maxFailureBytes))
	}
	start, err := io.ReadAll(io.LimitReader(body, ordinaryBytes))
	if err != nil || len(start) < ordinaryBytes {
		return start, err
	}
	if err := r.long.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	defer r.long.Release(1)
	rest, err := io.ReadAll(io.LimitReader(body, r.maxBytes-ordinaryBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(start)+len(rest)) > r.maxBytes {
		return nil, ErrTooLong
	}
	return append(start, rest...), nil
}
