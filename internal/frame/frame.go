// Package frame writes and reads the messages of boxes to each other: the length in 4
// bytes, big-endian, and msgpack.
package frame

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/safepack"
)

// lengthBytes is the length of a message's length.
const lengthBytes = 4

// Write writes a message within a time.
func Write(connection net.Conn, message any, within time.Duration) error {
	data, err := msgpack.Marshal(message)
	if err != nil {
		return merry.Prepend(err, "encode message")
	}
	if err := connection.SetWriteDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	whole := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(data)), uint32(len(data)))
	_, err = connection.Write(append(whole, data...))
	return err
}

// Read reads a message of at most a number of bytes.
func Read(reader io.Reader, message any, most uint32) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > most {
		return merry.Errorf("a message of %d bytes is too large", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(reader, data); err != nil {
		return err
	}
	if err := safepack.Unmarshal(data, message); err != nil {
		return merry.Prepend(err, "decode message")
	}
	return nil
}
