// Package safepack decodes msgpack from bytes that another process wrote.
//
// The library panics on some inputs that do not fit the type that is decoded, such
// as nil in the place of a time.Time. A record of the platform's log or a message of
// another box must never end the process that reads it, so here a panic of the
// library is an error like any other. What could not be caught, a count that asks for more
// memory than there is and lists so deep in each other that the stack ends, is refused before
// the library sees it.
package safepack

import (
	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes data into what into points to. After an error the value is
// partly filled and must not be used.
func Unmarshal(data []byte, into any) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = merry.Errorf("msgpack does not fit %T: %v", into, reason)
		}
	}()
	if err := checkShape(data); err != nil {
		return merry.Wrap(err)
	}
	if err := msgpack.Unmarshal(data, into); err != nil {
		return merry.Wrap(err)
	}
	return nil
}
