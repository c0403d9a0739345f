// Reading a stream of the log: whole at first and after a gap, then what was added, and how
// often after calls that failed.

package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Timing of reads.
const (
	// callLimit bounds a call besides the time that it is held; the store answers
	// in 4 ms, and in 260 ms when it is slow.
	callLimit = time.Second
	// urgentLimit bounds a read by a box that was told until now, whose connection has
	// rested and may have gone silent, and the one after a read that failed. What it was
	// told is old by then: with callLimit no box of eight knew of a leaving server 1.9 s
	// after its reader had stood still.
	urgentLimit = 350 * time.Millisecond
	// timerMargin is how much sooner than asked an answer may come and count as held:
	// the timers of the platform's simulated machines fire a little off.
	timerMargin = 60 * time.Millisecond
	// shortestPause and longestPause bound the pause after a failed call.
	shortestPause = 100 * time.Millisecond
	longestPause  = 400 * time.Millisecond
	// leastFollowerPause and spreadFollowerPause make up the pause after the second call in a
	// row that failed of a box that follows another one: it will be told when the log is
	// back, and asks in case that box alone is cut off from it. Nothing is bound to a time
	// until the log has been back for three seconds; a call that was under way when it came
	// back takes one of them. In an outage of 8 s, 295 boxes that each
	// asked for two streams twice a second would make 9,000 calls.
	leastFollowerPause  = time.Second
	spreadFollowerPause = 600 * time.Millisecond
	// longestServersPause is how long such a box does not ask for the servers' stream at most
	// while the operators' is lost too.
	longestServersPause = 4 * time.Second
)

// loop reads a stream: whole at first and after a gap, then what was added. A
// read is held for hold, and pause lies between two reads. The read after one that
// failed is not held, so that its answer says at once that the log is back and what
// was missed; until then kept parts may not be fetched. Nor is the first one after another
// box told of the stream; until then nothing is read.
func (r *Registry) loop(ctx context.Context, stream sharedlog.Stream, hold, pause time.Duration) {
	failed, failurePause := 0, shortestPause
	wait := time.Duration(0) // the reading of all is not held
	for ctx.Err() == nil {
		wasTold := r.waitWhileTold(ctx, stream)
		if wasTold {
			wait = 0
		}
		next := r.readFrom(stream)
		asked := boottime.Now()
		page, whole, err := sharedlog.ReadNext(ctx, r.cfg.Log, stream, next, wait, limitAfter(failed, wasTold))
		if err != nil {
			r.noteLost(ctx, stream, asked, err)
			wait = 0
			failed++
			r.pauseAfter(ctx, stream, failed, failurePause)
			failurePause = min(2*failurePause, longestPause)
			continue
		}
		failed, failurePause = 0, shortestPause
		r.noteBack(stream, page.Next)
		expired := whole && next >= 0
		if expired {
			r.cfg.Logger.Info().Stringer("stream", stream).Int64("from", next).Int64("offset", page.Next).Msg("records_expired")
		}
		if whole || len(page.Records) > 0 {
			r.take(stream, page.Records, reading{next: page.Next, whole: whole, raw: !whole})
		}
		if !whole && len(page.Records) == 0 {
			asked = provenUpTo(asked, wait)
		}
		r.noteRead(stream, asked, page, whole)
		wait = spreadHold(hold)
		if expired {
			waiting.For(ctx, shortestPause) // so that a log that keeps nothing is not asked all the time
		}
		waiting.For(ctx, pause)
	}
}

// pauseAfter lies after a number of calls in a row that failed. A box that follows another
// one asks once more soon, since the connection may just have gone silent, and then seldom;
// and as long as it can read neither stream, it asks for one of them. That none reads for
// this box any more ends the pause.
func (r *Registry) pauseAfter(ctx context.Context, stream sharedlog.Stream, failed int, usual time.Duration) {
	ended, back := r.readItself.Wait(), r.back.Wait()
	switch {
	case failed < 2 && !r.cfg.ReaderLostLog() || !r.cfg.HasReader():
		waiting.For(ctx, usual/2+rand.N(usual))
	case stream == sharedlog.Servers && r.LogLost():
		waiting.ForOr(ctx, longestServersPause, back)
	default:
		waiting.ForOr(ctx, leastFollowerPause+rand.N(spreadFollowerPause), ended)
	}
}

// readFrom gives the offset that the next reading begins at.
func (r *Registry) readFrom(stream sharedlog.Stream) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tail(stream).readFrom()
}

// limitAfter gives the time for a read after some that failed. Every other one has the
// usual time, for a log that is slower than the short one allows.
func limitAfter(failed int, wasTold bool) time.Duration {
	if failed%2 == 1 || failed == 0 && wasTold {
		return urgentLimit
	}
	return callLimit
}

// spreadHold gives the time for which the next read is held: half of hold or more. Each
// record ends the held reads of all boxes at once. Were the next ones held alike, they
// would end at the same moments for long, and no box could date what is named between
// two of them more closely than the others.
func spreadHold(hold time.Duration) time.Duration {
	if hold == 0 {
		return 0
	}
	return hold/2 + rand.N(hold/2)
}

// provenUpTo gives the moment up to which an answer without records, which has just come,
// proves that there are none: that of the question or, when the log held the answer for
// the whole time that it was asked to, the end of that time.
func provenUpTo(asked time.Time, held time.Duration) time.Time {
	if held > 0 && boottime.Since(asked) >= held-timerMargin {
		return asked.Add(held - timerMargin)
	}
	return asked
}

// noteRead notes up to where a stream was read and, if that was its end, that all of its
// records up to a moment are known.
func (r *Registry) noteRead(stream sharedlog.Stream, upTo time.Time, page sharedlog.Page, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(stream)
	t.next = max(t.next, page.Next)
	t.reread = t.reread && !whole
	if page.Next >= page.End {
		r.knownUpTo(stream, upTo)
	}
}

func (r *Registry) noteLost(ctx context.Context, stream sharedlog.Stream, asked time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	if stream == sharedlog.Servers {
		r.cfg.Fleet.RegistryLost(asked)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lost[stream] {
		r.lost[stream] = true
		r.cfg.Logger.Warn().Stringer("stream", stream).Str("error", err.Error()).Msg("log_lost")
	}
}

func (r *Registry) noteBack(stream sharedlog.Stream, next int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost[stream] {
		r.lost[stream] = false
		r.cfg.Logger.Info().Stringer("stream", stream).Int64("offset", next).Msg("log_back")
		switch stream {
		case sharedlog.Servers:
			r.cfg.Fleet.RegistryBack()
		case sharedlog.Operator:
			r.back.Send()
		}
	}
}
