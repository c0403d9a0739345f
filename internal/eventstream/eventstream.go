// Package eventstream splits a stream of server-sent events into complete events.
//
// A box forwards an event only after receiving all of it. If a server stops in the middle of an event,
// the caller therefore gets no fragment that the next event of another server would be appended to.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// MaxEventBytes bounds the size of one event. The events of an engine have a few kilobytes.
const MaxEventBytes = 1 << 20

// ErrTooLong is returned if an event is longer than MaxEventBytes.
var ErrTooLong = merry.Sentinel("an event of the stream is too long")

// Event is one event.
type Event struct {
	// Raw holds the event's bytes as received, with the empty line that ends it. It is valid until the
	// next call of Next.
	Raw []byte
	// ID is the event ID, or empty if the event has none.
	ID string
}

// Reader reads events from a stream.
type Reader struct {
	source *bufio.Reader
	raw    []byte
}

// NewReader creates a reader of events from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReader(source)}
}

// Next returns the next complete event. It returns io.EOF if the stream ended after a complete event, and
// io.ErrUnexpectedEOF if it ended within one.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var id string
	for {
		line, err := r.source.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		if len(r.raw) > MaxEventBytes {
			return Event{}, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return Event{}, r.endError(err)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return Event{Raw: r.raw, ID: id}, nil
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
}

func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(r.raw) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
