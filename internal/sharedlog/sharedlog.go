// Package sharedlog is what a box needs of the platform's log, in the product's
// words: streams of records in order, of which some keep the newest record of each
// key.
//
// The log's answers are the only things that boxes agree by. A call that brought
// no answer may have taken effect (ErrUnknown) or not (any other error).
package sharedlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of a log.
var (
	// ErrConflict says that the stream does not end where the append expected.
	ErrConflict = merry.Sentinel("the stream has other records by now")
	// ErrRefused says that the log turned the call away and did nothing.
	ErrRefused = merry.Sentinel("the log refused the call")
	// ErrUnknown says that no answer came: the call may have taken effect.
	ErrUnknown = merry.Sentinel("the log gave no answer")
)

// GoneError says that the records asked for are no longer kept.
type RecordsExpiredError struct {
	// First is the offset of the first record that still is.
	First int64
}

// Error implements error.
func (e *RecordsExpiredError) Error() string {
	return fmt.Sprintf("the log keeps records from offset %d on only", e.First)
}

// Stream names one of the streams that boxes follow.
type Stream uint8

const (
	// Operator holds what operators declare: the configuration and the weight
	// versions of models. It keeps the newest record of each key.
	Operator Stream = iota + 1
	// Servers holds what backend servers say of themselves, by incarnation.
	Servers
	// Boxes holds where the entry boxes reach each other, by name.
	Boxes
	// Orders holds which box gives orders to runners; its records have no keys.
	Orders
)

// String gives the name for logs and metrics.
func (s Stream) String() string {
	switch s {
	case Operator:
		return "operator"
	case Servers:
		return "servers"
	case Boxes:
		return "boxes"
	case Orders:
		return "orders"
	default:
		return "unknown"
	}
}

// Record is the newest word on a key as of its offset. No value means that the
// key is gone.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	Key    string `msgpack:"k"`
	Value  []byte `msgpack:"v"`
	Offset int64  `msgpack:"o"`
}

// Page is an answer to a read.
type Page struct {
	Records []Record
	// Next is the offset that the next read begins at.
	Next int64
	// End is the offset after the last record of the stream.
	End int64
}

// AnyEnd appends wherever the stream ends.
const AnyEnd = -1

// FromNewest has ReadOn read the newest record of each key, as every negative offset
// does.
const FromNewest = -1

// Log is the platform's log.
type Log interface {
	// Newest gives the newest record of each key of a stream that has keys, and the
	// offset to read on from.
	Newest(ctx context.Context, stream Stream) (Page, error)
	// Read gives records from an offset on, waiting up to wait for the first.
	Read(ctx context.Context, stream Stream, from int64, wait time.Duration) (Page, error)
	// Append adds one record. With an end other than AnyEnd it does so only if the
	// stream ends there, and gives ErrConflict otherwise. It gives the record's
	// offset.
	Append(ctx context.Context, stream Stream, end int64, record Record) (int64, error)
}

// ReadOn reads a stream that has keys as those do who follow it: whole at first and
// after records that are no longer kept, by the newest record of each key, and otherwise
// what was added, waiting up to wait for the first record. limit bounds a read besides that
// wait; a whole reading, of several pages, has newestLimit.
func ReadNext(ctx context.Context, log Log, stream Stream, from int64, wait, limit time.Duration) (page Page, whole bool, err error) {
	if from >= 0 {
		page, err = readWithin(ctx, log, stream, from, wait, limit)
		if _, gone := errors.AsType[*RecordsExpiredError](err); !gone {
			return page, false, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, newestLimit)
	defer cancel()
	page, err = log.Newest(ctx, stream)
	return page, true, err
}

// newestLimit is the time for three pages of a log that takes 260 ms for each, which is
// slow.
const newestLimit = time.Second

func readWithin(ctx context.Context, log Log, stream Stream, from int64, wait, limit time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+limit)
	defer cancel()
	return log.Read(ctx, stream, from, wait)
}
