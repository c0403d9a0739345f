// Package frame writes and reads the messages between boxes: the length in 4 bytes, big-endian,
// followed by the message in msgpack. A message whose struct is encoded as an array can't get further
// fields, since boxes of the previous version reject an array of another length. What is added to it
// follows as a second value, an extension, which they ignore.
package frame

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/safepack"
)

// prefixBytes is the size of the length prefix.
const prefixBytes = 4

// maxSegment bounds the buffers that are allocated for a message before their bytes have been received.
const maxSegment = 64 << 10

// Encode returns a message with its length prefix.
func Encode(message any) ([]byte, error) {
	data, err := msgpack.Marshal(message)
	if err != nil {
		return nil, merry.Prepend(err, "encode message")
	}
	encoded := binary.BigEndian.AppendUint32(make([]byte, 0, prefixBytes+len(data)), uint32(len(data)))
	return append(encoded, data...), nil
}

// Write writes a message, with a timeout.
func Write(connection net.Conn, message any, timeout time.Duration) error {
	encoded, err := Encode(message)
	if err != nil {
		return err
	}
	return send(connection, encoded, timeout)
}

// WriteExtended writes a message with an extension, with a timeout.
func WriteExtended(connection net.Conn, message, extension any, timeout time.Duration) error {
	encoded, err := Encode(message)
	if err != nil {
		return err
	}
	data, err := msgpack.Marshal(extension)
	if err != nil {
		return merry.Prepend(err, "encode extension")
	}
	encoded = append(encoded, data...)
	binary.BigEndian.PutUint32(encoded, uint32(len(encoded)-prefixBytes))
	return send(connection, encoded, timeout)
}

// WriteParts writes a message that is encoded in several parts, with a timeout. The parts are not
// copied, so that messages to many boxes can share them.
func WriteParts(connection net.Conn, parts [][]byte, timeout time.Duration) error {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	buffers := append(net.Buffers{binary.BigEndian.AppendUint32(nil, uint32(size))}, parts...)
	if err := connection.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := buffers.WriteTo(connection)
	return err
}

func send(connection net.Conn, encoded []byte, timeout time.Duration) error {
	if err := connection.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := connection.Write(encoded)
	return err
}

// Read reads a message of at most maxBytes.
func Read(reader io.Reader, message any, maxBytes uint32) error {
	_, err := read(reader, message, maxBytes)
	return err
}

// ReadExtended reads a message of at most maxBytes and its extension, which it leaves unchanged if the
// sender sent none.
func ReadExtended(reader io.Reader, message, extension any, maxBytes uint32) error {
	rest, err := read(reader, message, maxBytes)
	if err != nil || len(rest) == 0 {
		return err
	}
	if err := safepack.Unmarshal(rest, extension); err != nil {
		return merry.Prepend(err, "decode extension")
	}
	return nil
}

// read reads a message and returns the bytes that follow it in its frame.
func read(reader io.Reader, message any, maxBytes uint32) (rest []byte, err error) {
	var length [prefixBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxBytes {
		return nil, merry.Errorf("message of %d bytes is too large", size)
	}
	data, err := readBytes(reader, int(size))
	if err != nil {
		return nil, err
	}
	if rest, err = safepack.UnmarshalFirst(data, message); err != nil {
		return nil, merry.Prepend(err, "decode message")
	}
	if source, ok := reader.(*Reader); ok {
		source.messageReceived()
	}
	return rest, nil
}

// readBytes reads a number of bytes. It allocates only as they are received, and joins the segments at the end: a
// buffer that grows would leave as much garbage as the message has bytes.
func readBytes(reader io.Reader, size int) ([]byte, error) {
	var segments [][]byte
	for received := 0; received < size; {
		segment := make([]byte, min(size-received, maxSegment))
		if _, err := io.ReadFull(reader, segment); err != nil {
			return nil, err
		}
		segments = append(segments, segment)
		received += len(segment)
	}
	if len(segments) == 1 {
		return segments[0], nil
	}
	return bytes.Join(segments, nil), nil
}
