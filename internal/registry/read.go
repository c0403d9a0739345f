// Reading the log's streams: a full read at the start and after a gap, then incremental reads, with
// the retry delays after failed calls.

package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Timeouts and delays of reads.
const (
	// callTimeout bounds a call in addition to its long poll; the store answers in 4 ms, and in 260
	// ms when it is slow.
	callTimeout = time.Second
	// urgentTimeout bounds the first read of a box that has relied on its reader until now, since
	// its idle connection may be dead without a reset, and the read after a failed one. The box's
	// view is already old by then: with callTimeout, none of eight boxes knew of a leaving server
	// 1.9 s after their reader had frozen.
	urgentTimeout = 350 * time.Millisecond
	// timerTolerance is how much earlier than requested a response may arrive and still count as a
	// completed long poll: the timers of the platform's simulated machines are slightly inaccurate.
	timerTolerance = 60 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// minFollowerRetry and followerRetryJitter make up a follower's delay from the second failed
	// call in a row on. Its reader reports when the log has recovered, and the follower calls the
	// log only in case the reader alone is cut off from it. No deadline applies until the log has
	// been back for 3 s, of which a call in flight when the log comes back takes one. In an outage
	// of 8 s, 295 boxes that each read two streams twice a second would make 9,000 calls.
	minFollowerRetry    = time.Second
	followerRetryJitter = 600 * time.Millisecond
	// maxServersRetry bounds the time for which a follower does not read the servers' stream while
	// the operators' stream cannot be read either.
	maxServersRetry = 4 * time.Second
)

// readLoop reads a stream until ctx ends: in full at first and after a gap, then incrementally, as
// currentPolling defines. The read after a failed one
// is not a long poll, so that its response shows at once that the log has recovered and what was
// missed; until then kept parts may not be fetched. Neither is the first read after a time in which
// the box relied on its reader and did not read.
func (r *Registry) readLoop(ctx context.Context, stream sharedlog.Stream) {
	failed, retryDelay := 0, minRetryDelay
	wait := time.Duration(0) // the first, full read is no long poll
	changed := r.pollingChange(stream)
	for ctx.Err() == nil {
		waited := r.waitWhileValid(ctx, stream)
		if waited {
			wait = 0
		}
		from := r.nextRead(stream)
		sentAt := boottime.Now()
		page, full, err := r.read(ctx, changed, stream, from, wait, readTimeout(failed, waited))
		if errors.Is(err, errPollingChanged) {
			wait = 0
			continue
		}
		if restored, ok := errors.AsType[*sharedlog.HistoryChangedError](err); ok {
			r.awaitRestored(stream, restored)
			wait = 0
			continue
		}
		if err != nil {
			r.recordLogLost(ctx, stream, sentAt, err)
			wait = 0
			failed++
			r.waitBeforeRetry(ctx, stream, failed, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		failed, retryDelay = 0, minRetryDelay
		r.recordLogBack(stream, page.Next)
		expired := full && from >= 0
		if expired && logposition.Era(from) == logposition.Era(page.Next) {
			r.cfg.Logger.Info().Stringer("stream", stream).Int64("from", logposition.Offset(from)).EmbedObject(logposition.Logged(page.Next)).Msg("records_expired")
		}
		if full || len(page.Records) > 0 {
			r.apply(stream, page.Records, batch{next: page.Next, full: full, uncompacted: !full})
		}
		if !full && len(page.Records) == 0 {
			sentAt = completeUpTo(sentAt, wait)
		}
		r.recordRead(stream, sentAt, page, full)
		changed = r.pollingChange(stream)
		next := r.currentPolling(stream)
		wait = jitterLongPoll(next.longPoll)
		if len(page.Records) > 0 && next.afterRecords > 0 {
			wait = min(wait, next.afterRecords)
		}
		if expired {
			waiting.For(ctx, minRetryDelay) // limits the call rate to a log that retains nothing
		}
		if full || page.Next >= page.End {
			waiting.ForOrSignal(ctx, next.pause, changed)
		}
	}
}

// errPollingChanged means that a long poll ended since the polling has changed.
var errPollingChanged = merry.Sentinel("the polling has changed")

// pollingChange returns a channel that is closed when the polling of a stream changes.
func (r *Registry) pollingChange(stream sharedlog.Stream) <-chan struct{} {
	if stream == sharedlog.Boxes {
		return nil // no other box depends on the age of its view
	}
	return r.pollingSet.Chan()
}

// read reads a stream from an offset. A long poll ends when the polling changes, and when this box sees a
// later era of the log, in which the records that the poll waits for may never come.
func (r *Registry) read(ctx context.Context, changed <-chan struct{}, stream sharedlog.Stream, from int64, wait, timeout time.Duration) (page sharedlog.Page, full bool, err error) {
	if wait == 0 {
		return sharedlog.ReadNext(ctx, r.cfg.Log, stream, from, wait, timeout)
	}
	eraChanged := r.cfg.Eras.Changed()
	if era, _ := r.cfg.Eras.Newest(); from >= 0 && logposition.Era(from) < era {
		return sharedlog.ReadNext(ctx, r.cfg.Log, stream, from, 0, timeout)
	}
	reading, cancel := waiting.WithSignal(ctx, changed)
	defer cancel()
	reading, cancelOnEra := waiting.WithSignal(reading, eraChanged)
	defer cancelOnEra()
	page, full, err = sharedlog.ReadNext(reading, r.cfg.Log, stream, from, wait, timeout)
	if err != nil && ctx.Err() == nil && reading.Err() != nil {
		return page, full, errPollingChanged
	}
	return page, full, err
}

// waitBeforeRetry waits after a number of failed calls in a row. A follower retries once soon,
// since only its connection may be dead, and then seldom. While it can read neither stream it keeps
// retrying just one of them. The wait of a follower ends early when it has to read directly.
func (r *Registry) waitBeforeRetry(ctx context.Context, stream sharedlog.Stream, failed int, delay time.Duration) {
	ended, back := r.readDirectly.Chan(), r.logBack.Chan()
	switch {
	case failed < 2 && !r.cfg.ReaderLostLog() || !r.cfg.HasReader():
		waiting.For(ctx, delay/2+rand.N(delay))
	case stream == sharedlog.Servers && r.LogLost():
		waiting.ForOrSignal(ctx, maxServersRetry, back)
	default:
		waiting.ForOrSignal(ctx, minFollowerRetry+rand.N(followerRetryJitter), ended)
	}
}

// nextRead returns the offset that the next read begins at.
func (r *Registry) nextRead(stream sharedlog.Stream) int64 {
	r.endHold(stream)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(stream).nextRead()
}

// readTimeout returns the timeout of a read after some failed ones. Every other retry has the
// longer timeout, for a log that is slower than the short one allows.
func readTimeout(failed int, waited bool) time.Duration {
	if failed%2 == 1 || failed == 0 && waited {
		return urgentTimeout
	}
	return callTimeout
}

// jitterLongPoll returns the time of the next long poll, a random time between half of longPoll and
// all of it. Each record ends the long polls of all boxes at once. If the next ones were equally
// long, they would go on ending at the same moments, and no box could date a weight version that is
// declared between two of them more precisely than the others.
func jitterLongPoll(longPoll time.Duration) time.Duration {
	if longPoll == 0 {
		return 0
	}
	return longPoll/2 + rand.N(longPoll/2)
}

// completeUpTo returns the moment up to which an empty response that has just arrived proves that
// there are no further records: the moment of the request or, when the log held the response for
// the whole requested wait, the end of that wait.
func completeUpTo(sentAt time.Time, wait time.Duration) time.Time {
	if wait > 0 && boottime.Since(sentAt) >= wait-timerTolerance {
		return sentAt.Add(wait - timerTolerance)
	}
	return sentAt
}

// recordRead records up to which offset a stream was read and, if that was its end, the moment up
// to which all of its records are known.
func (r *Registry) recordRead(stream sharedlog.Stream, upTo time.Time, page sharedlog.Page, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(stream)
	s.next = max(s.next, page.Next)
	s.rereadAll = s.rereadAll && !full
	if page.Next >= page.End {
		r.setReadAt(stream, upTo)
	}
}

// logRestored logs when a stream came back from a copy: the position that this box had before, and the
// keys that it holds. The caller holds mu.
func (r *Registry) logRestored(stream sharedlog.Stream, s *streamState, before int64) {
	if before < 0 || logposition.Era(s.next) <= logposition.Era(before) {
		return
	}
	r.cfg.Logger.Warn().Stringer("stream", stream).Int64("era", logposition.Era(s.next)).Int64("era_before", logposition.Era(before)).
		Int64("offset", logposition.Offset(s.next)).Int64("offset_before", logposition.Offset(before)).
		Int64("written_from", logposition.Offset(s.held.writtenFrom)).Int("held", len(s.held.keys)).Msg("log_restored")
}

func (r *Registry) recordLogLost(ctx context.Context, stream sharedlog.Stream, sentAt time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	if stream == sharedlog.Servers {
		r.cfg.Fleet.NoteRegistryFailure(sentAt)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lost[stream] {
		r.lost[stream] = true
		r.cfg.Logger.Warn().Stringer("stream", stream).Str("error", err.Error()).Msg("log_lost")
	}
}

func (r *Registry) recordLogBack(stream sharedlog.Stream, next int64) {
	if !r.clearLost(stream) {
		return
	}
	r.cfg.Logger.Info().Stringer("stream", stream).EmbedObject(logposition.Logged(next)).Msg("log_recovered")
	switch stream {
	case sharedlog.Servers:
		r.cfg.Fleet.NoteRegistryRecovery() // without mu: the fleet asks for versions of weights while it holds its lock
	case sharedlog.Operator:
		r.logBack.Broadcast()
	}
}

// clearLost records that a stream can be read, and reports whether it could not be read before.
func (r *Registry) clearLost(stream sharedlog.Stream) (wasLost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wasLost = r.lost[stream]
	r.lost[stream] = false
	return wasLost
}
