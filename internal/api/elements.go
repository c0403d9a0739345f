// Decoding of JSON with a bound on the number of elements. Very many short elements take a multiple of the memory
// of their text.

package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

const (
	// maxFields bounds the fields at the top of a body.
	maxFields = 1000
	// maxElements bounds the messages of a request, and the parts of a message.
	maxElements = 1 << 16
)

// errTooManyElements is the error of a list or an object with more elements than its bound.
var errTooManyElements = merry.Sentinel("too many elements")

// errNotJSON is the error of a value that is not of the expected kind, or is followed by something else.
var errNotJSON = merry.Sentinel("not the expected JSON")

// decodeFields decodes an object of at most maxFields fields.
func decodeFields(data []byte) (fields, error) {
	decoder, err := open(data, '{')
	if err != nil {
		return nil, err
	}
	decoded := fields{}
	for count := 0; decoder.More(); count++ {
		if count == maxFields {
			return nil, errTooManyElements
		}
		name, err := decoder.Token()
		if err != nil {
			return nil, merry.Wrap(err)
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, merry.Wrap(err)
		}
		decoded[name.(string)] = value // the decoder returns an error for any other type
	}
	return decoded, end(decoder)
}

// decodeList decodes a list of at most maxElements elements.
func decodeList[T any](data []byte) ([]T, error) {
	decoder, err := open(data, '[')
	if err != nil {
		return nil, err
	}
	var list []T
	for decoder.More() {
		if len(list) == maxElements {
			return nil, errTooManyElements
		}
		var element T
		if err := decoder.Decode(&element); err != nil {
			return nil, merry.Wrap(err)
		}
		list = append(list, element)
	}
	return list, end(decoder)
}

// open returns a decoder after the opening delimiter of a value.
func open(data []byte, delimiter json.Delim) (*json.Decoder, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	token, err := decoder.Token()
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if token != delimiter {
		return nil, errNotJSON
	}
	return decoder, nil
}

// end reads the closing delimiter and the end of the data.
func end(decoder *json.Decoder) error {
	if _, err := decoder.Token(); err != nil {
		return merry.Wrap(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errNotJSON
	}
	return nil
}
