// The part of a stream that its caller has not read yet. A runner cuts off an answer that stays
// unread for some seconds, so a box takes in what a slow caller does not read, as far as the memory
// budget has room. Beyond that it reads from the runner no further than the caller has read.

package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/membudget"
)

const (
	// directBytes is the part of a stream that is written without a buffer: the socket's send buffer
	// takes it even if the caller reads nothing. Most streams are shorter.
	directBytes = 8 << 10
	// slowWrite is the duration of a write from which on the caller counts as slow. A write into the
	// socket's send buffer takes some microseconds.
	slowWrite = 5 * time.Millisecond
	// streamWindow is how much of a stream may be unread without a bound on the memory of all calls.
	streamWindow = 64 << 10
	// roomInterval is the time between two checks whether the budget has room again.
	roomInterval = 50 * time.Millisecond
	// smallChunk and largeChunk are the sizes of the pieces of the buffer while it is empty and while
	// it is not.
	smallChunk = 2 << 10
	largeChunk = 16 << 10
)

// errCallerLeft is the error of a write to a caller that has disconnected.
var errCallerLeft = merry.Sentinel("the caller has disconnected")

// streamBuffer writes a stream to the caller. One goroutine calls write and close. After the first
// events, another one writes to the caller.
type streamBuffer struct {
	writer http.ResponseWriter
	memory *membudget.Call
	// window bounds the buffer if the memory of all calls has no bound; otherwise it is zero.
	window int
	// unbuffered switches the buffer off.
	unbuffered bool
	// direct is how much has been written without the buffer, and slow means that such a write took
	// long.
	direct int
	slow   bool

	mu sync.Mutex
	// changed wakes both goroutines.
	changed *sync.Cond
	chunks  [][]byte
	// buffered is the memory of the chunks, and writing means that a chunk that was taken from them
	// is being written.
	buffered int
	writing  bool
	running  bool
	closed   bool
	err      error
	stopped  chan struct{}
}

func newStreamBuffer(writer http.ResponseWriter, memory *membudget.Call, window int) *streamBuffer {
	s := &streamBuffer{writer: writer, memory: memory, window: window, stopped: make(chan struct{})}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// write writes an event to the caller, or adds it to the buffer. It waits while there is no memory
// for the event, until the caller has read all that is buffered.
func (s *streamBuffer) write(event []byte) error {
	if s.unbuffered || !s.slow && s.direct < directBytes {
		return s.writeDirect(event)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.err == nil {
		if s.append(event) {
			s.start()
			s.changed.Broadcast()
			return nil
		}
		if len(s.chunks) == 0 && !s.writing {
			return s.writeDirect(event)
		}
		s.waitForRoom()
	}
	return s.err
}

// adopt adds an answer that has been read to the buffer, which is empty. Its memory is accounted for
// already.
func (s *streamBuffer) adopt(read *pieces) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.direct = directBytes
	s.chunks, read.chunks = read.chunks, nil
	for _, chunk := range s.chunks {
		s.buffered += cap(chunk)
	}
	s.start()
}

// writeDirect writes an event without the buffer, which is empty.
func (s *streamBuffer) writeDirect(event []byte) error {
	began := boottime.Now()
	err := s.send(event)
	s.direct += len(event)
	s.slow = s.slow || boottime.Since(began) >= slowWrite
	return err
}

// send writes to the caller's connection.
func (s *streamBuffer) send(data []byte) error {
	if _, err := s.writer.Write(data); err != nil {
		return errCallerLeft
	}
	_ = http.NewResponseController(s.writer).Flush() // a caller that disconnected fails the next write
	return nil
}

// append adds an event to the buffer if there is memory for it. The caller holds mu.
func (s *streamBuffer) append(event []byte) bool {
	if last := len(s.chunks) - 1; last >= 0 && cap(s.chunks[last])-len(s.chunks[last]) >= len(event) {
		s.chunks[last] = append(s.chunks[last], event...)
		return true
	}
	size := smallChunk
	if len(s.chunks) > 0 || s.writing {
		size = largeChunk
	}
	size = max(size, len(event))
	if s.window > 0 && s.buffered+size > s.window || !s.memory.Grow(int64(size)) {
		return false
	}
	s.buffered += size
	s.chunks = append(s.chunks, append(make([]byte, 0, size), event...))
	return true
}

// waitForRoom waits until the caller has read something, or for roomInterval, since other calls
// release memory too. The caller holds mu.
func (s *streamBuffer) waitForRoom() {
	timer := time.AfterFunc(roomInterval, s.changed.Broadcast)
	defer timer.Stop()
	s.changed.Wait()
}

// start starts the goroutine that writes to the caller. The caller holds mu.
func (s *streamBuffer) start() {
	if !s.running {
		s.running = true
		go s.run()
	}
}

// run writes the buffer to the caller until it is closed and empty.
func (s *streamBuffer) run() {
	defer close(s.stopped)
	for {
		chunk := s.next()
		if chunk == nil {
			return
		}
		err := s.send(chunk)
		s.written(chunk, err)
	}
}

// next waits for a chunk and takes it out of the buffer. It returns nil at the end.
func (s *streamBuffer) next() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.chunks) == 0 && !s.closed {
		s.changed.Wait()
	}
	if len(s.chunks) == 0 {
		return nil
	}
	chunk := s.chunks[0]
	s.chunks[0] = nil
	s.chunks = s.chunks[1:]
	s.writing = true
	return chunk
}

// written releases a chunk that has been written. If the caller has disconnected, the rest is
// dropped.
func (s *streamBuffer) written(chunk []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = false
	s.release(chunk)
	if err != nil {
		s.err = err
		for _, rest := range s.chunks {
			s.release(rest)
		}
		s.chunks = nil
	}
	s.changed.Broadcast()
}

// release accounts for a chunk that is not needed any more. The caller holds mu.
func (s *streamBuffer) release(chunk []byte) {
	s.buffered -= cap(chunk)
	s.memory.Release(int64(cap(chunk)))
}

// close waits until the caller has read what is buffered, or has disconnected. The response writer
// is not used after that.
func (s *streamBuffer) close() error {
	s.mu.Lock()
	s.closed = true
	running := s.running
	s.changed.Broadcast()
	s.mu.Unlock()
	if running {
		<-s.stopped
	}
	return s.err
}
