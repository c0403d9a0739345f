// Package safepack decodes msgpack from bytes that another process wrote.
//
// The library panics on some inputs that do not match the decoded type, such as nil for a
// time.Time. A record of the platform's log or a message from another box must never crash the
// process that reads it, so panics of the library are returned as errors.
//
// Two faults can't be recovered from and are rejected before the library is called: a count that
// demands more memory than there is, and nesting so deep that the stack overflows.
package safepack

import (
	"bytes"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes data into the value that target points to. After an error the value may be
// partly filled and must not be used.
func Unmarshal(data []byte, target any) error {
	_, err := UnmarshalFirst(data, target)
	return err
}

// UnmarshalFirst decodes the first value in data like Unmarshal, and returns the bytes after it.
func UnmarshalFirst(data []byte, target any) (rest []byte, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = merry.Errorf("msgpack does not match %T: %v", target, reason)
		}
	}()
	if err := checkShape(data); err != nil {
		return nil, merry.Wrap(err)
	}
	reader := bytes.NewReader(data)
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.UsePreallocateValues(true) // as msgpack.Unmarshal does
	decoder.Reset(reader)
	if err := decoder.Decode(target); err != nil {
		return nil, merry.Wrap(err)
	}
	return data[len(data)-reader.Len():], nil
}
