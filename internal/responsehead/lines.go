// The lines of a head. net/http joins a line that begins with a blank to the value of the field before, so that the field
// which the line names is missing, and the one before is not the server's. It ignores the transfer encoding of an HTTP/1.0
// response, so that the frames of its chunks would be part of the body.

package responsehead

import (
	"strings"

	"github.com/ansel1/merry/v2"
)

// Errors of Lines.Scan.
var (
	ErrFoldedLine = merry.Sentinel("a line in the head of the response begins with a blank")
	ErrEncoding   = merry.Sentinel("an HTTP/1.0 response has a transfer encoding")
)

// oldVersion is the beginning of a status line, and encodingField that of a field's line in lower case.
const (
	oldVersion    = "HTTP/1.0 "
	encodingField = "transfer-encoding:"
)

// Lines checks the lines of one head while it is received.
type Lines struct {
	// AllowFolded accepts lines that begin with a blank.
	AllowFolded bool

	// count is the number of whole lines, and length that of the current one without carriage returns. start has the first
	// of those bytes.
	count  int
	length int
	start  [len(encodingField)]byte
	// old is set for a head of HTTP/1.0.
	old   bool
	ended bool
}

// Count returns the number of whole lines that were scanned, without the empty one that ends the head.
func (l *Lines) Count() int { return l.count }

// Ended reports whether the head has ended.
func (l *Lines) Ended() bool { return l.ended }

// Scan returns how many of the bytes that were received next belong to the head.
func (l *Lines) Scan(received []byte) (int, error) {
	for i, c := range received {
		switch {
		case l.ended:
			return i, nil
		case c == '\n' && l.length == 0 && l.count > 0:
			l.ended = true
		case c == '\n':
			if err := l.endLine(); err != nil {
				return 0, err
			}
		case (c == ' ' || c == '\t') && l.length == 0 && l.count > 0 && !l.AllowFolded:
			return 0, ErrFoldedLine
		case c != '\r':
			if l.length < len(l.start) {
				l.start[l.length] = c
			}
			l.length++
		}
	}
	return len(received), nil
}

// endLine checks a line that has been scanned, and starts the next one.
func (l *Lines) endLine() error {
	start := string(l.start[:min(l.length, len(l.start))])
	if l.count == 0 {
		l.old = strings.HasPrefix(start, oldVersion)
	} else if l.old && strings.EqualFold(start, encodingField) {
		return ErrEncoding
	}
	l.count, l.length = l.count+1, 0
	return nil
}
