// The memory that a call holds (package membudget): its body, an answer that is buffered, and the
// part of a stream that the caller has not read yet.

package gateway

import (
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/connlimit"
	"github.com/cometlock/cometlock/internal/membudget"
)

const (
	// callOverhead is the memory of a call besides its body and its answer: goroutines, headers, and
	// the buffers of its two connections.
	callOverhead = 16 << 10
	// ordinaryParts is the number of parts of a prompt that callOverhead covers, and partBytes the memory of a
	// further one: its ID, its fingerprint and the servers that may have it.
	ordinaryParts = 64
	partBytes     = 256
	// minChunk and maxChunk bound the size of the pieces in which bodies of unknown length and
	// answers are read.
	minChunk = 4 << 10
	maxChunk = 64 << 10
)

// reasonMemory is the reason for refusing a call for which there is no memory.
const reasonMemory = "memory"

// errNoMemory is the error of a body for which there is no memory.
var errNoMemory = merry.Sentinel("no memory for the body")

// admitMemory reserves the memory for a call and its body. A call without room is refused before
// any of its body is read.
func (g *Gateway) admitMemory(x *exchange) bool {
	if limit := x.catalog.Limits().BodyBytes; x.request.ContentLength > limit {
		return g.reject(x, http.StatusRequestEntityTooLarge, "body_too_large")
	}
	wanted := callOverhead + x.headMemory() + max(x.request.ContentLength, 0)
	if !g.cfg.Memory.FitsCall(wanted) {
		return g.reject(x, http.StatusRequestEntityTooLarge, "body_too_large")
	}
	call, admitted := g.cfg.Memory.Admit(x.callerName(), wanted)
	if !admitted {
		return g.refuseMemory(x, wanted)
	}
	x.memory = call
	return true
}

// headMemory returns the memory of the call's headers and of the description of its prompt beyond what callOverhead
// covers.
func (x *exchange) headMemory() int64 {
	parts := 0
	if x.info.Prompt != nil {
		parts = len(x.info.Prompt.Parts)
	}
	return connlimit.HeadMemory(x.request) + int64(partBytes*max(parts-ordinaryParts, 0))
}

// refused counts a refused call by its reason.
func (m metrics) refused(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("calls_refused").Inc(1)
}

// refuseMemory refuses a call for which there is no memory.
func (g *Gateway) refuseMemory(x *exchange, wanted int64) bool {
	g.metrics.refused(reasonMemory)
	return g.refuse(x, reasonMemory, g.cfg.Memory.RetryAfter(x.callerName(), wanted))
}

// readAllBody reads a body of a known length into one piece of memory, which is reserved already. A
// body of unknown length reserves memory as it grows.
func (x *exchange) readAllBody(body io.Reader) ([]byte, error) {
	if length := x.request.ContentLength; length >= 0 {
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, err
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			// The old piece is held until its content has been copied.
			grown := max(minChunk, 2*cap(data))
			if !x.memory.GrowNew(int64(grown)) {
				return nil, errNoMemory
			}
			old := int64(cap(data))
			data = append(make([]byte, 0, grown), data...)
			x.memory.Release(old)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// pieces is an answer in memory, in the order in which it was read.
type pieces struct {
	chunks [][]byte
	size   int
}

// read reads an answer to its end. expected is its length, or -1 if that is unknown. complete is
// false if the answer is too long to be buffered, or if there was no memory for the rest, which has not
// been read then.
func (p *pieces) read(body io.Reader, expected int64, memory *membudget.Call) (complete bool, err error) {
	for {
		if int64(p.size) == expected {
			err := readEnd(body)
			return err == nil, err
		}
		chunk, ok := p.newChunk(expected, memory)
		if !ok {
			return false, nil
		}
		n, ended, err := fill(body, chunk)
		p.chunks, p.size = append(p.chunks, chunk[:n]), p.size+n
		if ended || err != nil {
			return ended, err
		}
		if expected < 0 && p.size > maxBufferedUnstated || p.size > maxBufferedBytes {
			return false, nil
		}
	}
}

// fill reads until a piece of memory is full, or the source has ended.
func fill(source io.Reader, piece []byte) (n int, ended bool, err error) {
	for n < len(piece) {
		count, err := source.Read(piece[n:])
		n += count
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

// readEnd reads the end of a source that has been read to its announced length.
func readEnd(source io.Reader) error {
	n, _, err := fill(source, make([]byte, 1))
	if err == nil && n > 0 {
		return merry.New("the answer is longer than announced")
	}
	return err
}

// writeTo writes an answer to the caller, and releases each piece that has been written. A caller that
// disconnected needs no answer.
func (p *pieces) writeTo(writer io.Writer, memory *membudget.Call) {
	for i, chunk := range p.chunks {
		_, _ = writer.Write(chunk)
		p.chunks[i] = nil
		memory.Release(int64(cap(chunk)))
	}
	p.chunks = nil
}

// drop releases an answer that is not needed.
func (p *pieces) drop(memory *membudget.Call) {
	for _, chunk := range p.chunks {
		memory.Release(int64(cap(chunk)))
	}
	p.chunks = nil
}

// newChunk returns memory for the next part of an answer.
func (p *pieces) newChunk(expected int64, memory *membudget.Call) (chunk []byte, ok bool) {
	size := min(max(int64(p.size), minChunk), maxChunk)
	if left := expected - int64(p.size); expected >= 0 {
		size = min(left, maxChunk)
	}
	if !memory.Grow(size) {
		return nil, false
	}
	return make([]byte, size), true
}
