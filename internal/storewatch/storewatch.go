// Package storewatch asks the store boxes what they keep, and has them let go of
// what was made by weights that are no longer used. Any box may free that: nobody
// reads it any more, and freeing it twice does no harm.
package storewatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/waiting"
)

// StoreClient speaks to store boxes.
type StoreClient interface {
	// Changes asks for what changed since a position, waiting for the first.
	Changes(ctx context.Context, address string, since int64, wait time.Duration) (partindex.Report, error)
	// List asks for all that is kept.
	List(ctx context.Context, address string) (partindex.Report, error)
	// Free lets parts go that were kept in a life of the store box.
	Free(ctx context.Context, address string, parts []partindex.Key, life int64) error
}

// Config sets up a Watcher.
type Config struct {
	Stores StoreClient
	Index  *partindex.Index
	Logger zerolog.Logger
	// MayFree reports whether a part may be freed.
	MayFree func(partindex.Key) bool
}

const (
	// askWait is how long a question waits for a change. With its pause and the way to
	// boxes that are told (some 400 ms) it must stay below what partindex takes for fresh.
	askWait = 350 * time.Millisecond
	// heldLeast is how long an answer without changes must have taken to count as
	// held. timerMargin is for timers of store boxes, which are a little off.
	heldLeast   = askWait - timerMargin
	timerMargin = 60 * time.Millisecond
	// leastAskPause lies between two questions to a store box, so that under load an answer
	// brings several changes. Where there are many store boxes it is longer, so that a box
	// asks all of them together questionsPerSecond times a second at the most: each question
	// that is answered at once has a price, and 47 store boxes all have news all the time.
	leastAskPause      = 100 * time.Millisecond
	questionsPerSecond = 250
	// callLimit bounds a call besides its wait.
	callLimit = 700 * time.Millisecond
	// listLimit bounds the list of all that is kept, which may be some hundred KB.
	listLimit = 1200 * time.Millisecond
	// listEvery is the mean time between two lists of a store box. Only a list tells of
	// parts that broke off while they were written, and of changes whose events were
	// lost; it holds the store box up, so it is rare. Boxes list at random moments.
	listEvery = time.Minute
	// lostLimit bounds a question to a store box that was lost. It is short, so that
	// the first answer after a cut comes soon; a store box answers in a few
	// milliseconds.
	lostLimit = 400 * time.Millisecond
	// failurePause lies after a call that failed.
	failurePause = 200 * time.Millisecond
	// leastFollowerPause and spreadFollowerPause make up the same pause in a box that another
	// one asks for: a store box answers a dozen askers, and those that ask for a zone come
	// first.
	leastFollowerPause  = time.Second
	spreadFollowerPause = 2 * time.Second
	// cleanEvery is the mean time between two looks for parts to free, and cleanMost
	// bounds the parts of one look. Only boxes that ask a store box themselves look, so in
	// a zone with a reader that is one; parts of new weights wait for the room.
	cleanEvery        = 400 * time.Millisecond
	restingCleanEvery = time.Second
	cleanMost         = 500
)

// Watcher has one loop for each store box.
type Watcher struct {
	cfg Config

	mu    sync.Mutex
	stops map[string]context.CancelFunc
	loops sync.WaitGroup
}

// New makes a watcher that watches nothing.
func New(cfg Config) *Watcher { return &Watcher{cfg: cfg, stops: map[string]context.CancelFunc{}} }

// Configure starts and ends loops, so that each store box of the index has one.
func (w *Watcher) Configure(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := map[string]bool{}
	for _, address := range w.cfg.Index.Addresses() {
		wanted[address] = true
		if w.stops[address] != nil {
			continue
		}
		storeCtx, stop := context.WithCancel(ctx)
		w.stops[address] = stop
		w.loops.Go(func() { w.loopAsk(storeCtx, address) })
	}
	for address, stop := range w.stops {
		if !wanted[address] {
			stop()
			delete(w.stops, address)
		}
	}
}

// Wait waits until all loops have ended.
func (w *Watcher) Wait() { w.loops.Wait() }

// question says how a store box is asked next.
type question struct {
	// wait is how long it may hold its answer for a change.
	wait time.Duration
	// limit bounds the call besides.
	limit time.Duration
}

// Questions to store boxes.
var (
	// usual questions are held, since an answer at once has a price.
	usual = question{wait: askWait, limit: callLimit}
	// afterList is the question after all was listed: the list does not tell the
	// servers' clock, without which nothing can be fetched.
	afterList = question{limit: callLimit}
	// afterLoss finds out soon whether a store box is back.
	afterLoss = question{limit: lostLimit}
)

// loopAsk asks one store box until ctx ends.
func (w *Watcher) loopAsk(ctx context.Context, address string) {
	next, lost := usual, false
	listAt := nextList()
	for ctx.Err() == nil {
		if w.cfg.Index.WaitToPoll(ctx, address) {
			next, lost = usual, false
		}
		due := boottime.Now().After(listAt) || w.cfg.Index.NeedsList(address)
		listed, err := w.ask(ctx, address, next, due)
		if due && err == nil {
			listAt = nextList()
		}
		if failed := err != nil; failed != lost && ctx.Err() == nil {
			lost = failed
			w.log(address, err)
		}
		switch {
		case err != nil:
			next = afterLoss
			waiting.For(ctx, w.pauseAfterLoss())
		case listed:
			next = afterList
		default:
			next = usual
			waiting.For(ctx, askPause(len(w.cfg.Index.Addresses())))
		}
	}
}

// nextList says when a store box is to be listed again.
// askPause gives the pause between two questions to one of a number of store boxes.
func askPause(stores int) time.Duration {
	return max(leastAskPause, time.Duration(stores)*time.Second/questionsPerSecond)
}

// pauseAfterLoss gives the pause after a call that failed.
func (w *Watcher) pauseAfterLoss() time.Duration {
	if w.cfg.Index.Follows() {
		return leastFollowerPause + rand.N(spreadFollowerPause)
	}
	return failurePause
}

func nextList() time.Time { return boottime.Now().Add(listEvery/2 + rand.N(listEvery)) }

// log tells that a store box was lost, or that it is back when err is nil.
func (w *Watcher) log(address string, err error) {
	if err != nil {
		w.cfg.Logger.Warn().Str("address", address).Str("error", err.Error()).Msg("store_box_lost")
		return
	}
	w.cfg.Logger.Info().Str("address", address).Msg("store_box_back")
}

// ask asks a store box for what changed, or for all that it keeps when that is not
// known or due; listed says that it did the latter.
func (w *Watcher) ask(ctx context.Context, address string, q question, due bool) (listed bool, err error) {
	next, list := w.cfg.Index.Position(address)
	if list || due {
		return true, w.list(ctx, address)
	}
	ctx, cancel := context.WithTimeout(ctx, q.wait+q.limit)
	defer cancel()
	asked := boottime.Now()
	report, err := w.cfg.Stores.Changes(ctx, address, next, q.wait)
	if err != nil {
		return false, err
	}
	report.AsOf = asked
	if q.wait > 0 && len(report.Changes) == 0 && boottime.Since(asked) >= heldLeast {
		report.AsOf = asked.Add(heldLeast)
	}
	if !w.cfg.Index.Apply(address, report) {
		w.cfg.Logger.Info().Str("address", address).Int64("life", report.Epoch).Bool("gap", report.Gap).Msg("store_box_changed_life")
	}
	return false, nil
}

// list asks a store box for all that it keeps.
func (w *Watcher) list(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	asked := boottime.Now()
	report, err := w.cfg.Stores.List(ctx, address)
	if err != nil {
		return err
	}
	report.AsOf = asked
	w.cfg.Index.Replace(address, report)
	w.cfg.Logger.Info().Str("address", address).Int64("life", report.Epoch).Int("parts", len(report.Changes)).Int("unfinished", len(report.Unfinished)).Msg("store_box_listed")
	return nil
}

// LoopFree frees parts under namespaces that are out of use until ctx ends.
func (w *Watcher) LoopFree(ctx context.Context) {
	for ctx.Err() == nil {
		every := cleanEvery
		if w.cfg.Index.Follows() {
			every = restingCleanEvery // nothing is its to free
		}
		waiting.For(ctx, every/2+rand.N(every))
		for _, address := range w.cfg.Index.Addresses() {
			if ctx.Err() == nil {
				w.clean(ctx, address)
			}
		}
	}
}

func (w *Watcher) clean(ctx context.Context, address string) {
	if w.cfg.Index.PollPaused(address) {
		return // the box that asks it frees
	}
	parts, life := w.cfg.Index.Freeable(address, w.cfg.MayFree, cleanMost)
	if len(parts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	event := w.cfg.Logger.Info()
	if err := w.cfg.Stores.Free(ctx, address, parts, life); err != nil {
		event = w.cfg.Logger.Warn().Str("error", err.Error())
	} else {
		w.cfg.Index.NoteFreed(address, life, parts)
	}
	event.Str("address", address).Int64("life", life).Int("parts", len(parts)).Msg("parts_freed")
}
