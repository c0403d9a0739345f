// The bound of a response's head. A server in trouble may send bytes without end, and net/http holds a head
// until it is complete.

package handover

import (
	"io"

	"github.com/ansel1/merry/v2"
)

// maxHeadBytes bounds the head of a response, apart from what the connection's buffer holds.
const maxHeadBytes = 256 << 10

var errHeadTooLong = merry.Sentinel("the head of the response is too long")

// headLimit reads from a connection, and fails after maxHeadBytes of a head.
type headLimit struct {
	source io.Reader
	// inHead is set while a head is read, of which left bytes may follow.
	inHead bool
	left   int
}

// begin bounds what is read from now on, and end removes the bound.
func (l *headLimit) begin() { l.inHead, l.left = true, maxHeadBytes }

func (l *headLimit) end() { l.inHead = false }

func (l *headLimit) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.source.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
