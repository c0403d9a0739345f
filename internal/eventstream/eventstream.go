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

// ordinaryEventBytes is the size of the buffer for events that needs no memory of a call's budget.
const ordinaryEventBytes = 8 << 10

// initialEventBytes is the first size of the buffer.
const initialEventBytes = 512

// Errors of Next.
var (
	// ErrTooLong is returned if an event is longer than MaxEventBytes.
	ErrTooLong = merry.Sentinel("an event of the stream is too long")
	// ErrNoMemory is returned if there is no memory for an event.
	ErrNoMemory = merry.Sentinel("no memory for an event of the stream")
)

// Memory accounts for the memory that a call holds, in bytes. Grow returns false if there is no room.
type Memory interface {
	Grow(bytes int64) bool
	Release(bytes int64)
}

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
	memory Memory
	// held is the memory that was accounted for.
	held int64
}

// NewReader creates a reader of events from source, which must be closed. Long events are accounted for in memory.
func NewReader(source io.Reader, memory Memory) *Reader {
	return &Reader{source: bufio.NewReader(source), memory: memory}
}

// Close releases the reader's memory.
func (r *Reader) Close() {
	r.memory.Release(r.held)
	r.raw, r.held = nil, 0
}

// Next returns the next complete event. It returns io.EOF if the stream ended after a complete event, and
// io.ErrUnexpectedEOF if it ended within one.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var id string
	for {
		line, err := r.source.ReadSlice('\n')
		if len(r.raw)+len(line) > MaxEventBytes {
			return Event{}, ErrTooLong
		}
		if !r.append(line) {
			return Event{}, ErrNoMemory
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

// append adds bytes to the event, and reports whether there is memory for them.
func (r *Reader) append(line []byte) bool {
	if needed := len(r.raw) + len(line); needed > cap(r.raw) {
		size := max(2*cap(r.raw), needed, initialEventBytes)
		grown := int64(size)
		if size <= ordinaryEventBytes {
			grown = 0
		}
		// The old buffer is held until its content has been copied.
		if grown > 0 && !r.memory.Grow(grown) {
			return false
		}
		r.raw = append(make([]byte, 0, size), r.raw...)
		if r.held > 0 {
			r.memory.Release(r.held)
		}
		r.held = grown
	}
	r.raw = append(r.raw, line...)
	return true
}

func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(r.raw) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
