// Package frame writes and reads the messages between boxes: the length in 4 bytes, big-endian,
// followed by the message in msgpack.
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

// maxInitialBuffer bounds the buffer that is allocated from the length prefix alone, before any of
// the message has been received.
const maxInitialBuffer = 64 << 10

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
	if err := connection.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err = connection.Write(encoded)
	return err
}

// Read reads a message of at most maxBytes.
func Read(reader io.Reader, message any, maxBytes uint32) error {
	var length [prefixBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxBytes {
		return merry.Errorf("message of %d bytes is too large", size)
	}
	data := bytes.NewBuffer(make([]byte, 0, min(size, maxInitialBuffer)))
	if _, err := io.CopyN(data, reader, int64(size)); err != nil {
		return err
	}
	if err := safepack.Unmarshal(data.Bytes(), message); err != nil {
		return merry.Prepend(err, "decode message")
	}
	return nil
}
