// Reading the head of a response. A server in trouble may send bytes without end, and net/http holds a head until it is
// complete, short lines with a multiple of their size.

package handover

import (
	"bufio"
	"bytes"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/responsehead"
)

const (
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 256 << 10
	// maxInterimBytes bounds the heads of all interim responses before a response: some 9,000 without fields.
	maxInterimBytes = 256 << 10
	// ordinaryHeadBytes and ordinaryHeadLines are the size of a head that needs no memory of a call's budget.
	ordinaryHeadBytes = 4 << 10
	ordinaryHeadLines = 64
	// headByteMemory is the memory in bytes of each byte of a longer head, which net/http copies once, and headLineMemory
	// that of each line: its entry in the map, its list of values and the space that the map grows by.
	headByteMemory = 2
	headLineMemory = 400
	// maxHeadMemory bounds the memory of a head. Only a server in trouble sends thousands of lines.
	maxHeadMemory = 1 << 20
)

// Memory accounts for the memory that a call holds, in bytes. Grow returns false if there is no room.
type Memory interface {
	Grow(bytes int64) bool
	Release(bytes int64)
}

var (
	errHeadTooLong    = merry.Sentinel("the head of the response is too long")
	errInterimTooLong = merry.Sentinel("the interim responses are too long")
)

// ErrNoMemory is a cause of ErrNoResponse: there was no memory for a head of usual size. It says nothing of the server.
var ErrNoMemory = merry.Sentinel("no memory for the head of the response")

// headReader reads from a connection. Between begin and end it returns the bytes of one head and none after it, and fails
// after maxHeadBytes or at an invalid line.
type headReader struct {
	source *bufio.Reader
	// inHead is set while a head is read, of which left bytes may follow.
	inHead bool
	left   int
	lines  responsehead.Lines
	// memory accounts for what the head holds; nil means that nothing does. held is what has been accounted for.
	memory Memory
	held   int64
}

func newHeadReader(connection io.Reader) *headReader {
	return &headReader{source: bufio.NewReaderSize(connection, readBufferSize)}
}

// begin starts a head, and end ends it. rest is what follows the response before and has been read with it.
func (h *headReader) begin(rest []byte) {
	if len(rest) > 0 {
		h.source = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(rest), h.source), readBufferSize)
	}
	h.release() // what is left of the response before is not needed
	h.inHead, h.left, h.lines = true, maxHeadBytes, responsehead.Lines{}
}

func (h *headReader) end() { h.inHead = false }

// size returns the length in bytes of the head that was read last.
func (h *headReader) size() int { return maxHeadBytes - h.left }

// release releases the memory of the head that was read last.
func (h *headReader) release() {
	if h.held > 0 {
		h.memory.Release(h.held)
		h.held = 0
	}
}

// reserve accounts for the memory of the head as far as it has been read.
func (h *headReader) reserve() error {
	bytes, lines := max(maxHeadBytes-h.left-ordinaryHeadBytes, 0), max(h.lines.Count()-ordinaryHeadLines, 0)
	needed := int64(headByteMemory*bytes + headLineMemory*lines)
	if needed > maxHeadMemory {
		return errHeadTooLong
	}
	grown := needed - h.held
	if h.memory == nil || grown <= 0 {
		return nil
	}
	if !h.memory.Grow(grown) {
		return ErrNoMemory
	}
	h.held += grown
	return nil
}

// buffered returns the number of bytes that were received and not read yet.
func (h *headReader) buffered() int { return h.source.Buffered() }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.inHead {
		return h.source.Read(p)
	}
	if h.left <= 0 {
		return 0, errHeadTooLong
	}
	if _, err := h.source.Peek(1); err != nil {
		return 0, err
	}
	received, err := h.source.Peek(min(h.source.Buffered(), len(p), h.left))
	if err != nil {
		return 0, err
	}
	count, err := h.lines.Scan(received)
	if err != nil {
		return 0, err
	}
	h.left -= count
	if err := h.reserve(); err != nil {
		return 0, err
	}
	copy(p, received[:count])
	return h.source.Discard(count)
}
