// Package fakesharedlog simulates the platform's log as the boxes use it: named
// streams, the newest record of each key, and conditional appends. It stores the
// records in a fakelog.Log, so the faults of that log apply here too.
package fakesharedlog

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/logservice"
	"github.com/cometlock/cometlock/internal/safepack"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// Log is a simulated shared log. It implements sharedlog.Log.
type Log struct {
	base *fakelog.Log
	// pageRecords bounds the records of a page of newest records; zero means no bound.
	pageRecords int
}

// New returns an empty log.
func New() *Log { return &Log{base: fakelog.New()} }

// SetPageRecords bounds the records of a page of newest records. It must be called before the log
// is used.
func (l *Log) SetPageRecords(count int) { l.pageRecords = count }

// Underlying returns the log that stores the records, for setting its faults.
func (l *Log) Underlying() *fakelog.Log { return l.base }

// Copy returns a copy of all streams.
func (l *Log) Copy() fakelog.Copy { return l.base.Copy() }

// Restore replaces all streams by a copy, as a store that comes back from one, and increments the era.
func (l *Log) Restore(from fakelog.Copy) { l.base.Restore(from) }

// Era returns the number of the history that the streams are from.
func (l *Log) Era() int64 { return l.base.Restores() }

// entry is the encoding of a record in the underlying log.
type entry struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
}

// Put appends a record for a test or a stand-in. It clears all faults first.
func (l *Log) Put(stream sharedlog.Stream, key string, value []byte) {
	l.base.SetFaults(fakelog.Faults{})
	if _, err := l.Append(context.Background(), stream, sharedlog.AnyEnd, sharedlog.Record{Key: key, Value: value}); err != nil {
		panic(err) // without faults an append cannot fail
	}
}

// Insert appends a record for a stand-in in spite of all faults, which last.
func (l *Log) Insert(stream sharedlog.Stream, key string, value []byte) {
	data, err := msgpack.Marshal(entry{key, value})
	if err != nil {
		panic(err) // plain data
	}
	l.base.Insert(stream.String(), data)
}

// Append implements sharedlog.Log.
func (l *Log) Append(ctx context.Context, stream sharedlog.Stream, end int64, record sharedlog.Record) (int64, error) {
	data, err := msgpack.Marshal(entry{record.Key, record.Value})
	if err != nil {
		return 0, merry.Prepend(err, "encode record")
	}
	at := end
	if end != sharedlog.AnyEnd {
		at = logposition.Offset(end)
	}
	era := l.Era()
	offset, err := l.base.AppendAt(ctx, stream.String(), at, data)
	switch {
	case err == nil && (l.Era() != era || end != sharedlog.AnyEnd && logposition.Era(end) != era):
		return 0, sharedlog.ErrUnknown
	case err == nil:
		return logposition.New(era, offset), nil
	case errors.Is(err, fakelog.ErrEndMoved):
		return 0, sharedlog.ErrConflict
	case errors.Is(err, logservice.ErrNotAppended):
		return 0, sharedlog.ErrRefused
	default:
		return 0, sharedlog.ErrUnknown
	}
}

// Read implements sharedlog.Log.
func (l *Log) Read(ctx context.Context, stream sharedlog.Stream, from int64, wait time.Duration) (sharedlog.Page, error) {
	era := l.Era()
	if err := sharedlog.CheckEra(from, era); err != nil {
		return sharedlog.Page{}, err
	}
	read, err := l.base.Read(ctx, stream.String(), logservice.ReadOptions{From: logposition.Offset(from), Wait: wait})
	if now := l.Era(); now != era {
		return sharedlog.Page{}, &sharedlog.HistoryChangedError{Start: logposition.New(now, 0)}
	}
	if expired, ok := errors.AsType[*logservice.ExpiredError](err); ok {
		return sharedlog.Page{}, &sharedlog.RecordsExpiredError{First: logposition.New(era, expired.Earliest)}
	}
	if err != nil {
		return sharedlog.Page{}, sharedlog.ErrUnknown
	}
	next := logposition.New(era, logposition.Offset(from))
	page := sharedlog.Page{Next: next + int64(len(read.Records)), End: logposition.New(era, read.Next)}
	for _, r := range read.Records {
		var decoded entry
		if err := safepack.Unmarshal(r.Data, &decoded); err != nil {
			return sharedlog.Page{}, merry.Prepend(err, "decode record")
		}
		page.Records = append(page.Records, sharedlog.Record{Key: decoded.Key, Value: decoded.Value, Offset: logposition.New(era, r.Offset)})
	}
	return page, nil
}

// Bounds implements sharedlog.Log.
func (l *Log) Bounds(ctx context.Context, stream sharedlog.Stream) (first, end int64, err error) {
	page, err := l.Read(ctx, stream, sharedlog.FromStart, 0)
	if expired, ok := errors.AsType[*sharedlog.RecordsExpiredError](err); ok {
		first = expired.First
		page, err = l.Read(ctx, stream, first, 0)
		return first, page.End, err
	}
	return logposition.New(logposition.Era(page.End), 0), page.End, err
}

// NewestPage implements sharedlog.Log. It reads the stream from the beginning, so it works
// only for streams without expired records. Keys are in lexical order.
func (l *Log) NewestPage(ctx context.Context, stream sharedlog.Stream, after string) (sharedlog.Page, error) {
	newest := map[string]sharedlog.Record{}
	next := logposition.New(l.Era(), 0)
	for {
		page, err := l.Read(ctx, stream, next, 0)
		if err != nil {
			return sharedlog.Page{}, err
		}
		for _, record := range page.Records {
			newest[record.Key] = record
		}
		if next = page.Next; next >= page.End {
			break
		}
	}
	page := sharedlog.Page{Next: next, End: next}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if record := newest[key]; len(record.Value) > 0 && (after == "" || key > after) {
			page.Records = append(page.Records, record)
		}
	}
	if l.pageRecords > 0 && len(page.Records) > l.pageRecords {
		page.Records, page.More = page.Records[:l.pageRecords], true
	}
	return page, nil
}
