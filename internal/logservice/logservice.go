// Package logservice is the client of the platform's append-only log.
//
// The log is the only component that provides consensus and durable storage to cometlock. Only this
// package implements its protocol: two HTTP calls on a stream of records with offsets. The errors matter
// most, because an append has three possible outcomes: appended, certainly not appended, and unknown.
package logservice

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Record is one entry of a stream.
type Record struct {
	// Offset is the position of the record in its stream, starting at 0.
	Offset int64 `json:"offset"`
	// Time is when the log appended the record, by the log's clock.
	Time time.Time `json:"time"`
	// Data is the payload.
	Data []byte `json:"data"`
}

// Page is a part of a stream.
type Page struct {
	// Records is ordered by offset, without gaps.
	Records []Record `json:"records"`
	// Earliest is the lowest offset that the log still holds.
	Earliest int64 `json:"earliest"`
	// Next is the offset of the next record to be appended.
	Next int64 `json:"next"`
}

// ReadOptions selects the part of a stream to read.
type ReadOptions struct {
	// From is the first offset to read.
	From int64
	// Limit bounds the number of records; if it is 0, the log chooses a limit.
	Limit int
	// Wait is how long the log may delay the response until a first record is available.
	Wait time.Duration
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends a record and returns its offset. The error is ErrNotAppended if the record is
	// certainly not in the log, and ErrAmbiguous if it may be in the log now or appear there later.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns a part of a stream. The error is an *ExpiredError if the log no longer holds the
	// first requested record.
	Read(ctx context.Context, stream string, opts ReadOptions) (Page, error)
}

// ErrNotAppended is returned if an append certainly had no effect.
var ErrNotAppended = merry.Sentinel("the log service did not append the record")

// ErrAmbiguous is returned if an append may have had an effect.
var ErrAmbiguous = merry.Sentinel("no response from the log service: the record may have been appended")

// ErrUnavailable is returned if the log service sent no valid response to a read.
var ErrUnavailable = merry.Sentinel("the log service is not reachable")

// ExpiredError is returned if the log no longer holds the requested records.
type ExpiredError struct {
	// Earliest is the lowest offset that the log still holds.
	Earliest int64
}

// Error implements the error interface.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the record has expired: the earliest available record is %d", e.Earliest)
}

// ReadAll reads a stream from an offset to its current end.
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
