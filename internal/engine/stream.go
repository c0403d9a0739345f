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

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 1 << 20

// doneData is the data of the event that ends a stream.
var doneData = []byte("[DONE]")

// Chunk is one event of a stream.
type Chunk struct {
	// Index counts the chunks of a run from 0.
	Index int
	// Data is the event's data; it is valid until the next call of Next.
	Data []byte
	// Last says that the answer is whole.
	Last bool
}

type streamConfig struct {
	streamed bool
	next     int
	maxBytes int64
}

// Stream reads the chunks of one run in order, each exactly once. A streamed
// run gives many; any other gives one that holds the whole answer.
type Stream struct {
	body     io.ReadCloser
	reader   *bufio.Reader
	streamed bool
	next     int
	maxBytes int64
	// data collects the data lines of the event that is being read.
	data []byte
	// long collects a line that is larger than the reader's buffer.
	longLine []byte
	// early holds chunks that came before their turn, by index.
	earlyChunks map[int][]byte
	// last is set once the answer is whole.
	complete bool
}

// readers holds line buffers, so that an open stream costs no new ones.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connectionBufferBytes) }}

func newStream(body io.ReadCloser, cfg streamConfig) *Stream {
	s := &Stream{body: body, streamed: cfg.streamed, next: cfg.next, maxBytes: cfg.maxBytes}
	if reader, ok := readers.Get().(*bufio.Reader); ok {
		reader.Reset(body)
		s.reader = reader
	}
	return s
}

// Close gives the stream back. It must be called once.
func (s *Stream) Close() error {
	reader := s.reader
	s.reader = nil
	reader.Reset(nil)
	readers.Put(reader)
	return s.body.Close()
}

// NextIndex is the index of the chunk that Next gives next.
func (s *Stream) NextIndex() int { return s.next }

// Next gives the next chunk. The error is io.EOF after the last chunk,
// ErrStreamBroken, ErrMissingChunk, or ErrProtocol.
//
// Chunks that came before are dropped, and ones that come early wait for those
// before them, since engines repeat and reorder some after a hiccup: of indexes
// 0 2 1 1 3, the caller sees 0 1 2 3.
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

// maxEarly bounds the chunks that wait for an earlier one.
const maxEarlyChunks = 16

// keep holds an early chunk, and reports whether there was room.
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
		return Chunk{}, merry.Wrap(ErrProtocol, merry.AppendMessage("a chunk that is not JSON"))
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
		return Chunk{}, merry.Wrap(ErrProtocol, merry.AppendMessage("the answer is too large"))
	}
	if !json.Valid(data) {
		return Chunk{}, merry.Wrap(ErrProtocol, merry.AppendMessage("the answer is not JSON"))
	}
	s.complete = true
	s.next = 1
	return Chunk{Data: data, Last: true}, nil
}

// readEvent reads one event into s.data and gives its index.
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
				continue // comments and keep-alives make no event
			}
			if index < 0 {
				return 0, merry.Wrap(ErrProtocol, merry.AppendMessage("an event without an index"))
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
			return 0, merry.Wrap(ErrProtocol, merry.AppendMessage("a line that is no field of an event"))
		}
		if len(s.data) > maxLineBytes {
			return 0, merry.Wrap(ErrProtocol, merry.AppendMessage("an event that is too large"))
		}
	}
}

func parseIndex(value []byte) (int, error) {
	index, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil {
		return 0, merry.Wrap(ErrProtocol, merry.AppendMessage("an index that is no number"))
	}
	return int(index), nil
}

// readLine gives a line without its end. The line is valid until the next call.
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
		part, err := s.reader.ReadSlice('\n')
		s.longLine = append(s.longLine, part...)
		if len(s.longLine) > maxLineBytes {
			return nil, merry.Wrap(ErrProtocol, merry.AppendMessage("a line that is too long"))
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return s.longLine, err
		}
	}
}

// eventEnd is the end of an event's last line and the blank line after it.
var eventEnd = []byte("\n\n")

// HasBuffered reports whether the next chunk is here already, so that a relay can
// write several chunks before it flushes. Part of an event does not count: the
// rest may be long in coming.
func (s *Stream) HasBuffered() bool {
	if _, ok := s.earlyChunks[s.next]; ok {
		return true
	}
	waiting, err := s.reader.Peek(s.reader.Buffered())
	return err == nil && bytes.Contains(waiting, eventEnd)
}
