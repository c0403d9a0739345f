// The first event of a stream waits for the record of its origin, unless the stream is of the base version.

package streamorigin

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// awaitDelay is how long origins are collected before they are handed over together. It adds to the time to
	// the first event.
	awaitDelay = 4 * time.Millisecond
	// awaitTimeout bounds the wait of a first event. A record takes up to 110 ms, and up to 400 ms while each append
	// takes 200 ms: the one under way and the next one.
	awaitTimeout = 600 * time.Millisecond
	// awaitTryTimeout bounds the request to one box that records; another one is tried after it.
	awaitTryTimeout = 500 * time.Millisecond
	// awaitRecordTimeout bounds the wait of the box that records, so that it responds before awaitTryTimeout.
	awaitRecordTimeout = 450 * time.Millisecond
	// olderRecordTime is how long a box of an older version of the program may take to write what it took. If it were
	// replaced, all boxes would record by themselves while the program is replaced.
	olderRecordTime = 150 * time.Millisecond
	// awaitPause is the pause after a request that a box did not answer.
	awaitPause = 20 * time.Millisecond
)

// awaitedBatch are origins that are handed over together.
type awaitedBatch struct {
	keys    []Key
	origins []wireOrigin
	// done is closed at the end; recorded is set by then if the origins are in the log, and recorder is the box
	// that recorded them, which was asked to at recordedAt.
	done       chan struct{}
	recorded   bool
	recorder   Box
	recordedAt time.Time
}

// wait waits for the end, and reports whether the origins are in the log.
func (b *awaitedBatch) wait(ctx context.Context) bool {
	select {
	case <-b.done:
		return b.recorded
	case <-ctx.Done():
		return false
	}
}

// isRecorded reports whether the origins are in the log, as far as is known now.
func (b *awaitedBatch) isRecorded() bool {
	select {
	case <-b.done:
		return b.recorded
	default:
		return false
	}
}

// isRecent waits for the end, and reports whether the origins are in the log and need not be recorded again yet.
func (b *awaitedBatch) isRecent(ctx context.Context) bool {
	return b.wait(ctx) && boottime.Since(b.recordedAt) < rerecordInterval
}

// AwaitRecord waits until the origin of a stream is in the log, if it has to be there before the caller has the
// first event. It returns false if that took too long: the stream begins without a record, and is refused or
// resumed at another version if all boxes that know its origin crash.
func (o *Origins) AwaitRecord(ctx context.Context, key Key, origin Origin) bool {
	if o.cfg.Bases == nil || !o.needsRecord(origin) {
		return true
	}
	return o.joinBatch(ctx, key, origin).wait(ctx)
}

// joinBatch adds an origin to those that are handed over next.
func (o *Origins) joinBatch(ctx context.Context, key Key, origin Origin) *awaitedBatch {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.awaited
	if batch == nil || len(batch.keys) >= maxBatch {
		batch = &awaitedBatch{done: make(chan struct{})}
		o.awaited = batch
		go o.runAwaited(context.WithoutCancel(ctx), batch)
	}
	batch.keys = append(batch.keys, key)
	batch.origins = append(batch.origins, encodeToRecord(key, origin, boottime.Now())...)
	return batch
}

// runAwaited hands a batch over to a box that records, and to another one if that fails.
func (o *Origins) runAwaited(ctx context.Context, batch *awaitedBatch) {
	defer close(batch.done)
	defer o.noteRecordResult(batch)
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	waiting.For(ctx, awaitDelay)
	o.mu.Lock()
	if o.awaited == batch {
		o.awaited = nil
	}
	o.mu.Unlock()
	for tries := 0; tries < recorderTries && ctx.Err() == nil; {
		recorder, self := o.recorder()
		at := boottime.Now()
		switch o.recordAwaited(ctx, recorder, self, batch.origins) {
		case originsAppended:
			batch.recorded, batch.recorder, batch.recordedAt = true, recorder, at
			o.noteRecorded(batch.keys, recorder, at)
			return
		case originsTaken:
			return
		case originsRefused:
			o.avoidRecorder(recorder)
			tries++
		case noResponse:
			o.avoidRecorder(recorder)
			waiting.For(ctx, awaitPause) // boxes that crash together do so within some 50 ms: this one may be the next
		}
	}
}

// recordOutcome is what became of origins that were handed over.
type recordOutcome int

const (
	noResponse recordOutcome = iota
	// originsRefused means that the box cannot write to the log at present.
	originsRefused
	// originsTaken means that the box writes them later. Another one would only write them as well.
	originsTaken
	originsAppended
)

// recordAwaited has origins recorded by a box.
func (o *Origins) recordAwaited(ctx context.Context, recorder Box, self bool, origins []wireOrigin) recordOutcome {
	var answer response
	if self {
		answer = o.handle(ctx, request{Origins: origins, Record: true, Await: true})
	} else if err := o.client.Exchange(ctx, recorder.Address, &request{Origins: origins, Record: true, Await: true}, &answer, awaitTryTimeout); err != nil {
		return noResponse
	}
	switch {
	case answer.Appended:
		return originsAppended
	case !answer.Recorded:
		return originsRefused
	case answer.Awaited:
		return originsTaken
	default:
		waiting.For(ctx, olderRecordTime)
		return originsAppended
	}
}

// noteRecorded records that a box has recorded the origins of streams.
func (o *Origins) noteRecorded(keys []Key, recorder Box, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range keys {
		if stream := o.own[key]; stream != nil {
			stream.recorder, stream.recorderProcess, stream.recordedAt = recorder.Name, recorder.Process, at
		}
	}
}

// recordNow has this box record origins, and reports whether they are in the log.
func (o *Origins) recordNow(ctx context.Context, origins []wireOrigin) bool {
	ctx, cancel := context.WithTimeout(ctx, awaitRecordTimeout)
	defer cancel()
	return o.cfg.Writer.Await(ctx, loggedOrigins(origins))
}
