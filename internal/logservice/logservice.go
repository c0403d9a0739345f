// Package logservice is the adapter to the platform's append-only log.
//
// The log is the only thing that agrees or lasts in cometlock. Its wire form is
// known here alone: two HTTP calls over a stream of records with offsets. The
// important part of the interface is the errors, because an append has three
// ends: taken, certainly not taken, and nobody knows.
package logservice

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Record is one entry of a stream.
type Record struct {
	// Offset counts the records of a stream from 0.
	Offset int64 `json:"offset"`
	// Time is when the log took the record, by the log's own clock.
	Time time.Time `json:"time"`
	// Data is the payload.
	Data []byte `json:"data"`
}

// Page is a part of a stream.
type Page struct {
	// Records are in offset order without gaps.
	Records []Record `json:"records"`
	// Earliest is the lowest offset the log still holds.
	Earliest int64 `json:"earliest"`
	// Next is the offset that the next appended record will get.
	Next int64 `json:"next"`
}

// ReadOptions says which part of a stream to read.
type ReadOptions struct {
	// From is the first wanted offset.
	From int64
	// Limit bounds the number of records; 0 leaves it to the log.
	Limit int
	// Wait is how long the log may hold the answer back for a first record.
	Wait time.Duration
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and gives its offset. The error is ErrNotAppended when
	// the record is certainly not in the log, and ErrAmbiguous when it may be
	// there now or appear later.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read gives a part of a stream. The error is an *ExpiredError when the
	// first wanted record is no longer held.
	Read(ctx context.Context, stream string, opts ReadOptions) (Page, error)
}

// ErrNotAppended says that an append certainly had no effect.
var ErrNotAppended = merry.Sentinel("the log service did not take the record")

// ErrAmbiguous says that an append may have had an effect.
var ErrAmbiguous = merry.Sentinel("no answer from the log service: the record may have been taken")

// ErrUnavailable says that the log service gave no answer to a read.
var ErrUnavailable = merry.Sentinel("the log service is not reachable")

// ExpiredError says that wanted records are no longer held.
type ExpiredError struct {
	// Earliest is the lowest offset that is still held.
	Earliest int64
}

// Error implements the error interface.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the record has expired: the earliest held is %d", e.Earliest)
}

// ReadAll reads a stream from an offset to its present end.
func ReadAll(ctx context.Context, log Log, stream string, from int64) ([]Record, error) {
	var records []Record
	for {
		page, err := log.Read(ctx, stream, ReadOptions{From: from})
		if err != nil {
			return nil, err
		}
		records = append(records, page.Records...)
		from += int64(len(page.Records))
		if from >= page.Next || len(page.Records) == 0 {
			return records, nil
		}
	}
}
