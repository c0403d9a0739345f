// Package eventstream cuts a server-sent event stream into whole events.
//
// A box passes an event on only when all of it has come, so that a server that
// stops in the middle of one leaves nothing behind that another server's event
// could be joined to.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// MaxEventBytes bounds one event; an engine's events are a few kilobytes.
const MaxEventBytes = 1 << 20

// ErrTooLong says that an event is longer than MaxEventBytes.
var ErrTooLong = merry.Sentinel("an event of the stream is too long")

// Event is one event as it came, with the empty line that ends it.
type Event struct {
	// Raw holds the bytes; it is valid until the next call of Next.
	Raw []byte
	// ID is the event's id, or nothing.
	ID string
}

// Reader reads events.
type Reader struct {
	source *bufio.Reader
	raw    []byte
}

// NewReader reads events from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReader(source)}
}

// Next gives the next whole event. It gives io.EOF when the stream ended after a
// whole event, and io.ErrUnexpectedEOF when it ended within one.
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
			return Event{}, r.ended(err)
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

func (r *Reader) ended(err error) error {
	if errors.Is(err, io.EOF) && len(r.raw) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
