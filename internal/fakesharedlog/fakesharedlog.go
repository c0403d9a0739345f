// Package fakesharedlog stands in for the platform's log as boxes use it: streams
// by name, the newest record of each key, appends on a condition. The records lie
// in the one stand-in log of the repository, fakelog, whose faults hold here too.
package fakesharedlog

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/logservice"
	"github.com/cometlock/cometlock/internal/safepack"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// Log is the stand-in; it implements sharedlog.Log.
type Log struct {
	log *fakelog.Log
}

// New makes an empty log.
func New() *Log { return &Log{log: fakelog.New()} }

// Underlying gives access to the faults of the log beneath.
func (l *Log) Underlying() *fakelog.Log { return l.log }

// entry is a record as it lies in the log beneath.
type entry struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
}

// Put appends a record for a test or a stand-in, faults or not.
func (l *Log) Put(stream sharedlog.Stream, key string, value []byte) {
	l.log.SetFaults(fakelog.Faults{})
	if _, err := l.Append(context.Background(), stream, sharedlog.AnyEnd, sharedlog.Record{Key: key, Value: value}); err != nil {
		panic(err) // without faults an append cannot fail
	}
}

// Append implements sharedlog.Log.
func (l *Log) Append(ctx context.Context, stream sharedlog.Stream, end int64, record sharedlog.Record) (int64, error) {
	data, err := msgpack.Marshal(entry{record.Key, record.Value})
	if err != nil {
		return 0, merry.Prepend(err, "encode record")
	}
	offset, err := l.log.AppendAt(ctx, stream.String(), end, data)
	switch {
	case err == nil:
		return offset, nil
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
	read, err := l.log.Read(ctx, stream.String(), logservice.ReadOptions{From: from, Wait: wait})
	if expired, ok := errors.AsType[*logservice.ExpiredError](err); ok {
		return sharedlog.Page{}, &sharedlog.RecordsExpiredError{First: expired.Earliest}
	}
	if err != nil {
		return sharedlog.Page{}, sharedlog.ErrUnknown
	}
	page := sharedlog.Page{Next: from + int64(len(read.Records)), End: read.Next}
	for _, r := range read.Records {
		var decoded entry
		if err := safepack.Unmarshal(r.Data, &decoded); err != nil {
			return sharedlog.Page{}, merry.Prepend(err, "decode record")
		}
		page.Records = append(page.Records, sharedlog.Record{Key: decoded.Key, Value: decoded.Value, Offset: r.Offset})
	}
	return page, nil
}

// Newest implements sharedlog.Log. It reads the stream from its beginning, so it
// serves streams of which nothing has expired.
func (l *Log) Newest(ctx context.Context, stream sharedlog.Stream) (sharedlog.Page, error) {
	var newest []sharedlog.Record
	at := map[string]int{}
	var next int64
	for {
		page, err := l.Read(ctx, stream, next, 0)
		if err != nil {
			return sharedlog.Page{}, err
		}
		for _, record := range page.Records {
			if place, found := at[record.Key]; found {
				newest[place] = record
				continue
			}
			at[record.Key] = len(newest)
			newest = append(newest, record)
		}
		if next = page.Next; next >= page.End {
			break
		}
	}
	page := sharedlog.Page{Next: next, End: next}
	for _, record := range newest {
		if len(record.Value) > 0 {
			page.Records = append(page.Records, record)
		}
	}
	return page, nil
}
