package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/ansel1/merry/v2"
)

// maxLineBytes is the maximum length of a line of a stream.
const maxLineBytes = 1 << 20

// doneData is the data of the last event of a stream.
var doneData = []byte("[DONE]")

// Chunk is one event of a stream.
type Chunk struct {
	// Index is the number of the chunk within the run, from 0.
	Index int
	// Data is the event's data. It is valid until the next call to Next.
	Data []byte
	// Last is set for the last chunk of a response.
	Last bool
}

type streamConfig struct {
	streamed bool
	next     int
	maxBytes int64
}

// Stream returns the chunks of one run in order, each exactly once. A run that is not
// streamed has a single chunk with the whole response.
type Stream struct {
	body     io.ReadCloser
	reader   *bufio.Reader
	streamed bool
	next     int
	maxBytes int64
	// data contains the data lines read so far of the current event.
	data []byte
	// longLine is the buffer for lines longer than the reader's buffer.
	longLine []byte
	// earlyChunks contains chunks that arrived before their predecessors, by index.
	earlyChunks map[int][]byte
	// complete is set after the last chunk.
	complete bool
}

// readers is a pool of line buffers, so that a new stream does not allocate one.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connectionBufferBytes) }}

func newStream(body io.ReadCloser, cfg streamConfig) *Stream {
	s := &Stream{body: body, streamed: cfg.streamed, next: cfg.next, maxBytes: cfg.maxBytes}
	if reader, ok := readers.Get().(*bufio.Reader); ok {
		reader.Reset(body)
		s.reader = reader
	}
	return s
}

// Close closes the stream and returns its buffer to the pool. It must be called exactly
// once.
func (s *Stream) Close() error {
	reader := s.reader
	s.reader = nil
	reader.Reset(nil)
	readers.Put(reader)
	return s.body.Close()
}

// NextIndex returns the index of the next chunk.
func (s *Stream) NextIndex() int { return s.next }

// Next returns the next chunk. The error is io.EOF after the last chunk, or
// ErrStreamBroken, ErrMissingChunk or ErrProtocol.
//
// Next drops duplicate chunks and buffers early ones until those before them have
// arrived, since engines repeat and reorder some chunks after a disturbance: if chunks
// arrive with the indexes 0 2 1 1 3, the caller receives 0 1 2 3.
func (s *Stream) Next() (Chunk, error) {
	if s.complete {
		return Chunk{}, io.EOF
	}
	if !s.streamed {
		return s.readUnstreamed()
	}
	for {
		if data, ok := s.earlyChunks[s.next]; ok {
			delete(s.earlyChunks, s.next)
			return s.emit(data)
		}
		index, err := s.readEvent()
		if err != nil {
			return Chunk{}, err
		}
		if index == s.next {
			return s.emit(s.data)
		}
		if index > s.next && !s.holdEarly(index) {
			return Chunk{}, ErrMissingChunk
		}
	}
}

// maxEarlyChunks is the maximum number of buffered early chunks.
const maxEarlyChunks = 16

// holdEarly buffers an early chunk. It returns false if there are too many.
func (s *Stream) holdEarly(index int) bool {
	if len(s.earlyChunks) >= maxEarlyChunks {
		return false
	}
	if s.earlyChunks == nil {
		s.earlyChunks = map[int][]byte{}
	}
	s.earlyChunks[index] = bytes.Clone(s.data)
	return true
}

func (s *Stream) emit(data []byte) (Chunk, error) {
	s.complete = bytes.Equal(data, doneData)
	if !s.complete && !json.Valid(data) {
		return Chunk{}, merry.Wrap(ErrProtocol, merry.AppendMessage("a chunk is not valid JSON"))
	}
	index := s.next
	s.next++
	return Chunk{Index: index, Data: data, Last: s.complete}, nil
}

func (s *Stream) readUnstreamed() (Chunk, error) {
	data, err := io.ReadAll(io.LimitReader(s.reader, s.maxBytes+1))
	if err != nil {
		return Chunk{}, merry.Wrap(ErrStreamBroken, merry.AppendMessage(err.Error()))
	}
	if int64(len(data)) > s.maxBytes {
		return Chunk{}, merry.Wrap(ErrProtocol, merry.AppendMessage("the response is too large"))
	}
	if !json.Valid(data) {
		return Chunk{}, merry.Wrap(ErrProtocol, merry.AppendMessage("the response is not valid JSON"))
	}
	s.complete = true
	s.next = 1
	return Chunk{Data: data, Last: true}, nil
}

// readEvent reads one event into s.data and returns its index.
func (s *Stream) readEvent() (int, error) {
	s.data = s.data[:0]
	index := -1
	for {
		line, err := s.readLine()
		if err != nil {
			return 0, err
		}
		if len(line) == 0 {
			if len(s.data) == 0 {
				continue // comments and keep-alives are not events
			}
			if index < 0 {
				return 0, merry.Wrap(ErrProtocol, merry.AppendMessage("an event has no id"))
			}
			return index, nil
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			if len(s.data) > 0 {
				s.data = append(s.data, '\n')
			}
			s.data = append(s.data, value...)
		case "id":
			if index, err = parseIndex(value); err != nil {
				return 0, err
			}
		case "", "event", "retry":
		default:
			return 0, merry.Wrap(ErrProtocol, merry.AppendMessage("a line is not an event field"))
		}
		if len(s.data) > maxLineBytes {
			return 0, merry.Wrap(ErrProtocol, merry.AppendMessage("an event is too large"))
		}
	}
}

func parseIndex(value []byte) (int, error) {
	index, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil {
		return 0, merry.Wrap(ErrProtocol, merry.AppendMessage("the id of an event is not a chunk index"))
	}
	return int(index), nil
}

// readLine returns a line without the line ending. It is valid until the next call.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.readLongLine(line)
	}
	if errors.Is(err, ErrProtocol) {
		return nil, err
	}
	if err != nil {
		return nil, merry.Wrap(ErrStreamBroken, merry.AppendMessage(err.Error()))
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

func (s *Stream) readLongLine(begin []byte) ([]byte, error) {
	s.longLine = append(s.longLine[:0], begin...)
	for {
		fragment, err := s.reader.ReadSlice('\n')
		s.longLine = append(s.longLine, fragment...)
		if len(s.longLine) > maxLineBytes {
			return nil, merry.Wrap(ErrProtocol, merry.AppendMessage("a line is too long"))
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return s.longLine, err
		}
	}
}

// eventEnd is the line ending of an event's last line and the empty line after it.
var eventEnd = []byte("\n\n")

// HasBuffered reports whether the next chunk has already been received, so that a relay can
// write several chunks before it flushes. An incomplete event does not count, since the
// rest of it may take long to arrive.
func (s *Stream) HasBuffered() bool {
	if _, ok := s.earlyChunks[s.next]; ok {
		return true
	}
	buffered, err := s.reader.Peek(s.reader.Buffered())
	return err == nil && bytes.Contains(buffered, eventEnd)
}
