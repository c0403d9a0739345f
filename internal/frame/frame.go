// Package frame writes and reads the messages of boxes to each other: the length in 4
// bytes, big-endian, and msgpack.
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

// lengthBytes is the length of a message's length.
const lengthBytes = 4

// allocatedAtOnce bounds what is allocated by a length alone, before its bytes have come.
const allocatedAtOnce = 64 << 10

// Encode gives a message as it goes over a connection.
func Encode(message any) ([]byte, error) {
	data, err := msgpack.Marshal(message)
	if err != nil {
		return nil, merry.Prepend(err, "encode message")
	}
	whole := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(data)), uint32(len(data)))
	return append(whole, data...), nil
}

// Write writes a message within a time.
func Write(connection net.Conn, message any, within time.Duration) error {
	whole, err := Encode(message)
	if err != nil {
		return err
	}
	if err := connection.SetWriteDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	_, err = connection.Write(whole)
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
	data := bytes.NewBuffer(make([]byte, 0, min(size, allocatedAtOnce)))
	if _, err := io.CopyN(data, reader, int64(size)); err != nil {
		return err
	}
	if err := safepack.Unmarshal(data.Bytes(), message); err != nil {
		return merry.Prepend(err, "decode message")
	}
	return nil
}
