// Package sharedlog is the interface to the platform's log, in the product's terms: ordered streams
// of records, some of which keep the newest record of each key.
//
// The log is the only means by which boxes reach agreement. A call without a response may have
// taken effect (ErrUnknown); a call with any other error has not.
package sharedlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/logposition"
)

// Errors of a log.
var (
	// ErrConflict means that the stream does not end where the append expected.
	ErrConflict = merry.Sentinel("the stream does not end at the expected offset")
	// ErrRefused means that the log rejected the call without any effect.
	ErrRefused = merry.Sentinel("the log refused the call")
	// ErrUnknown means that there was no response: the call may have taken effect.
	ErrUnknown = merry.Sentinel("the log did not respond")
)

// RecordsExpiredError means that the requested records are no longer retained.
type RecordsExpiredError struct {
	// First is the position of the first record that still is.
	First int64
}

// Error implements error.
func (e *RecordsExpiredError) Error() string {
	return fmt.Sprintf("the log retains records only from offset %d on", logposition.Offset(e.First))
}

// Stream identifies one of the streams that boxes read.
type Stream uint8

const (
	// Operator holds what operators declare: the configuration and the weight versions of models.
	// It keeps the newest record of each key.
	Operator Stream = iota + 1
	// Servers holds the records in which backend servers describe themselves, by incarnation.
	Servers
	// Boxes holds the addresses at which entry boxes reach each other, by name.
	Boxes
	// Orders holds which box sends orders to runners; its records have no keys.
	Orders
	// Readers holds which box reads the log for each availability zone, by zone.
	Readers
	// Origins holds the software versions that began streams; its records have no keys.
	Origins
	// Quarantine holds the crash records of what is quarantined, by fingerprint.
	Quarantine
	// BaseVersions holds the base version of each service (package baseversion), all under one key.
	BaseVersions
)

// String returns the name for logs and metrics.
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
	case Readers:
		return "readers"
	case Origins:
		return "origins"
	case Quarantine:
		return "quarantine"
	case BaseVersions:
		return "base_versions"
	default:
		return "unknown"
	}
}

// Record is the newest value of a key as of its position in the stream. No value means that the key was deleted.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double its size

	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
	// Offset is a position (package logposition).
	Offset int64 `msgpack:"o"`
}

// Page is the response to a read. Its records and positions are all of one era.
type Page struct {
	Records []Record
	// Next is the position that the next read begins at.
	Next int64
	// End is the position after the last record of the stream.
	End int64
	// More means that the stream has keys after those of a page of newest records.
	More bool
}

// AnyEnd makes Append succeed wherever the stream ends.
const AnyEnd = -1

// FromNewest makes ReadNext read the newest record of each key, as every negative position does.
const FromNewest = -1

// Log is the platform's log.
type Log interface {
	// NewestPage returns the newest records of some keys of a stream that has keys: those that
	// follow the key after in the log's order, or the first ones if after is empty.
	NewestPage(ctx context.Context, stream Stream, after string) (Page, error)
	// Read returns records from a position on, waiting up to wait for the first one. It returns a
	// HistoryChangedError if the position is from an earlier era.
	Read(ctx context.Context, stream Stream, from int64, wait time.Duration) (Page, error)
	// Bounds returns the position of the first record of a stream that is retained, and the position after
	// the last one.
	Bounds(ctx context.Context, stream Stream) (first, end int64, err error)
	// Append adds one record and returns its position. With an end other than AnyEnd it does so only
	// if the stream ends there, and returns ErrConflict otherwise. The log compares the offset alone,
	// so an append may take effect in a later era than that of its end, and is then ErrUnknown.
	Append(ctx context.Context, stream Stream, end int64, record Record) (int64, error)
}

// ReadNext reads a stream that has keys for a box that follows it. At first, and when the next records are
// no longer retained, it is a full read of the newest record of each key; otherwise it returns the records
// from a position on, waiting up to wait for the first one. timeout bounds a
// read in addition to that wait; each page of a full read has pageTimeout.
func ReadNext(ctx context.Context, log Log, stream Stream, from int64, wait, timeout time.Duration) (page Page, full bool, err error) {
	if from >= 0 {
		page, err = readWithTimeout(ctx, log, stream, from, wait, timeout)
		if _, expired := errors.AsType[*RecordsExpiredError](err); !expired {
			return page, false, err
		}
	}
	page, err = Newest(ctx, log, stream)
	return page, true, err
}

// pageTimeout bounds the read of one page of newest records; a slow log takes 260 ms. There is no
// bound for all pages together, since their number grows with the keys.
const pageTimeout = time.Second

// Newest returns the newest record of each key of a stream that has keys, and the offset of the
// next read. The pages are not a consistent snapshot, so reading continues at the end that the
// first page reports. It begins again if the log comes back from a copy between two pages.
func Newest(ctx context.Context, log Log, stream Stream) (Page, error) {
	var all Page
	after := ""
	for first := true; ; first = false {
		page, err := newestPageWithTimeout(ctx, log, stream, after)
		if err != nil {
			return Page{}, err
		}
		if !first && logposition.Era(page.End) != logposition.Era(all.End) {
			return Newest(ctx, log, stream)
		}
		if first {
			all.Next, all.End = page.End, page.End
		}
		all.Records = append(all.Records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return all, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

func newestPageWithTimeout(ctx context.Context, log Log, stream Stream, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return log.NewestPage(ctx, stream, after)
}

func readWithTimeout(ctx context.Context, log Log, stream Stream, from int64, wait, timeout time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	return log.Read(ctx, stream, from, wait)
}
