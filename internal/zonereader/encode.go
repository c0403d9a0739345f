// The encoding of responses. A page is the same for all followers that start together, and each of
// them may take a third of a second to receive it, so responses share the encoded page instead of
// holding a copy.

package zonereader

import (
	"bytes"
	"errors"
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// pagesField is the name of response.Pages in messages.
const pagesField = "g"

// buffers holds buffers in which responses are encoded. A response is copied from its buffer, since a
// buffer that grows may be twice as large as what is in it.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// encode returns the encoded response in parts. It equals that of package msgpack, except that the
// pages are the last field.
func (r response) encode() (parts [][]byte, err error) {
	buffer := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	encoder := msgpack.NewEncoder(buffer)
	pages := r.Pages
	r.Pages = nil
	if err := encoder.Encode(&r); err != nil {
		return nil, merry.Prepend(err, "encode response")
	}
	if len(pages) == 0 {
		return [][]byte{slices.Clone(buffer.Bytes())}, nil
	}
	buffer.Bytes()[0]++ // the first byte is the type of a small map plus the number of its fields
	if err := errors.Join(encoder.EncodeString(pagesField), encoder.EncodeMapLen(len(pages))); err != nil {
		return nil, merry.Prepend(err, "encode response")
	}
	for stream, page := range pages {
		if err := encoder.Encode(stream); err != nil {
			return nil, merry.Prepend(err, "encode response")
		}
		parts = append(parts, slices.Clone(buffer.Bytes()), page.encoded)
		buffer.Reset()
	}
	return parts, nil
}
