// The encoding of responses. A page is the same for all followers that start together, and each of
// them may take a third of a second to receive it, so responses share the encoded page instead of
// holding a copy.

package zonereader

import (
	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// pagesField is the name of response.Pages in messages.
const pagesField = "g"

// encode returns the encoded response in parts. It equals that of package msgpack, except that the
// pages are the last field.
func (r response) encode() (parts [][]byte, err error) {
	pages := r.Pages
	r.Pages = nil
	next, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, merry.Prepend(err, "encode response")
	}
	if len(pages) == 0 {
		return [][]byte{next}, nil
	}
	next[0]++ // the first byte is the type of a small map plus the number of its fields
	if next, err = appendEncoded(next, pagesField); err != nil {
		return nil, err
	}
	next = append(next, msgpcode.FixedMapLow+byte(len(pages)))
	for stream, page := range pages {
		if next, err = appendEncoded(next, stream); err != nil {
			return nil, err
		}
		parts = append(parts, next, page.encoded)
		next = nil
	}
	return parts, nil
}

// appendEncoded appends an encoded value.
func appendEncoded(data []byte, value any) ([]byte, error) {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		return nil, merry.Prepend(err, "encode response")
	}
	return append(data, encoded...), nil
}
