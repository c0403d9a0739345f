package frame

import (
	"bufio"
	"net"
)

// Reader reads messages from a connection that another process opened. It reports each valid message to the
// connection, so that a bound on unfinished messages can tell them apart (package connlimit).
type Reader struct {
	*bufio.Reader
	messageReceived func()
}

// NewReader returns a reader of a connection.
func NewReader(connection net.Conn) *Reader {
	r := &Reader{Reader: bufio.NewReader(connection), messageReceived: func() {}}
	if receiver, ok := connection.(interface{ MessageReceived() }); ok {
		r.messageReceived = receiver.MessageReceived
	}
	return r
}
