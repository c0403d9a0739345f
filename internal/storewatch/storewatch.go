// Package storewatch polls the store boxes for the parts that they hold, and frees parts that
// were made by weights no longer in use. Any box may free such parts: no box reads them any more,
// and freeing them twice does no harm.
package storewatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/waiting"
)

// StoreClient sends requests to store boxes.
type StoreClient interface {
	// Changes requests the changes after a position, waiting for the first one.
	Changes(ctx context.Context, address string, since int64, wait time.Duration) (partindex.Report, error)
	// List requests a list of all parts that a store box holds.
	List(ctx context.Context, address string) (partindex.Report, error)
	// Free frees parts that were held in a given epoch of the store box.
	Free(ctx context.Context, address string, parts []partindex.Key, epoch int64) error
}

// Config configures a Watcher.
type Config struct {
	Stores StoreClient
	Index  *partindex.Index
	Logger zerolog.Logger
	// MayFree reports whether a part may be freed.
	MayFree func(partindex.Key) bool
}

const (
	// pollHold is how long a poll waits for a change. Together with the pause between polls and the
	// time until an update reaches followers (some 400 ms) it must stay below the time for which
	// partindex considers state fresh.
	pollHold = 350 * time.Millisecond
	// minHeld is how long an answer without changes must have taken to count as a full wait.
	// timerMargin allows for inaccurate timers of store boxes.
	minHeld     = pollHold - timerMargin
	timerMargin = 60 * time.Millisecond
	// minPollPause is the pause between two polls of a store box, so that under load an answer
	// carries several changes. With many store boxes the pause is longer, so that a box sends at
	// most maxPollsPerSecond polls in total: each poll that is answered at once has a cost, and 47
	// store boxes have changes all the time.
	minPollPause      = 100 * time.Millisecond
	maxPollsPerSecond = 250
	// callTimeout bounds a call in addition to its wait.
	callTimeout = 700 * time.Millisecond
	// listTimeout bounds the list of all parts, which may be some hundred KB.
	listTimeout = 1200 * time.Millisecond
	// listInterval is the mean time between two lists of a store box. Only a list shows parts whose
	// write was aborted and changes whose events were lost. It blocks the store box, so it is rare.
	// Boxes list at random times.
	listInterval = time.Minute
	// retryTimeout bounds a poll of an unreachable store box. It is short, so that the first answer
	// after a network cut comes soon; a store box answers within a few milliseconds.
	retryTimeout = 400 * time.Millisecond
	// failurePause is the pause after a failed call.
	failurePause = 200 * time.Millisecond
	// minFollowerPause and followerPauseSpread define the same pause in a box that follows another
	// one. A store box answers a dozen clients, and those that poll for a zone have priority.
	minFollowerPause    = time.Second
	followerPauseSpread = 2 * time.Second
	// notFoundAfter is how long a store box that has never answered may be starting. It is also the
	// time between two log lines on such store boxes, which have maxLoggedAddresses addresses each.
	notFoundAfter      = 15 * time.Second
	maxLoggedAddresses = 6
	// freeInterval is the mean time between two checks for parts to free, followerFreeInterval the
	// same in a box that follows another one, and maxFreed bounds the parts freed in one check.
	// Only boxes that poll a store box themselves check, which is one box in a zone with a reader;
	// parts of new weights wait for the space.
	freeInterval         = 400 * time.Millisecond
	followerFreeInterval = time.Second
	maxFreed             = 500
)

// Watcher runs one polling loop for each store box.
type Watcher struct {
	cfg Config

	mu    sync.Mutex
	stops map[string]context.CancelFunc
	// notFound is the number of store boxes that had not been found at notFoundLoggedAt.
	notFound         int
	notFoundLoggedAt time.Time
	loops            sync.WaitGroup
}

// New returns a watcher without loops.
func New(cfg Config) *Watcher { return &Watcher{cfg: cfg, stops: map[string]context.CancelFunc{}} }

// Configure starts and stops loops so that each store box of the index has one.
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
		w.loops.Go(func() { w.pollLoop(storeCtx, address) })
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

// pollRequest defines the next poll of a store box.
type pollRequest struct {
	// wait is how long the store box may hold its answer until there is a change.
	wait time.Duration
	// timeout bounds the call in addition to wait.
	timeout time.Duration
}

// Kinds of polls.
var (
	// normalPoll waits for changes, since an immediate answer has a cost.
	normalPoll = pollRequest{wait: pollHold, timeout: callTimeout}
	// pollAfterList follows a list immediately: a list does not contain the servers' clock, without
	// which nothing can be fetched.
	pollAfterList = pollRequest{timeout: callTimeout}
	// pollAfterFailure detects soon that a store box is reachable again.
	pollAfterFailure = pollRequest{timeout: retryTimeout}
)

// pollLoop polls one store box until ctx ends.
func (w *Watcher) pollLoop(ctx context.Context, address string) {
	next, unreachable := normalPoll, false
	listAt, startedAt := nextList(), boottime.Now()
	for ctx.Err() == nil {
		if w.cfg.Index.WaitToPoll(ctx, address) {
			next, unreachable = normalPoll, false
		}
		due := boottime.Now().After(listAt) || w.cfg.Index.NeedsList(address)
		listed, err := w.poll(ctx, address, next, due)
		if due && err == nil {
			listAt = nextList()
		}
		switch failed := err != nil; {
		case failed == unreachable || ctx.Err() != nil:
		case !failed || w.isFound(address):
			unreachable = failed
			w.logReachable(address, err)
		case boottime.Since(startedAt) >= notFoundAfter:
			w.logNotFound(err)
		}
		switch {
		case err != nil:
			next = pollAfterFailure
			waiting.For(ctx, w.pauseAfterFailure())
		case listed:
			next = pollAfterList
		default:
			next = normalPoll
			waiting.For(ctx, pollPause(len(w.cfg.Index.Addresses())))
		}
	}
}

// pollPause returns the pause between two polls of a store box, given the number of store boxes.
func pollPause(stores int) time.Duration {
	return max(minPollPause, time.Duration(stores)*time.Second/maxPollsPerSecond)
}

// pauseAfterFailure returns the pause after a failed call.
func (w *Watcher) pauseAfterFailure() time.Duration {
	if w.cfg.Index.Follows() {
		return minFollowerPause + rand.N(followerPauseSpread)
	}
	return failurePause
}

// nextList returns when a store box is to be listed next.
func nextList() time.Time { return boottime.Now().Add(listInterval/2 + rand.N(listInterval)) }

// isFound reports whether a store box has ever answered this box or its reader.
func (w *Watcher) isFound(address string) bool {
	_, list := w.cfg.Index.Position(address)
	return !list
}

// logNotFound logs how many store boxes have not been found, when their number has changed.
func (w *Watcher) logNotFound(err error) {
	var missing []string
	for _, address := range w.cfg.Index.Addresses() {
		if !w.isFound(address) {
			missing = append(missing, address)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := boottime.Now(); len(missing) != w.notFound && now.Sub(w.notFoundLoggedAt) >= notFoundAfter {
		w.notFound, w.notFoundLoggedAt = len(missing), now
		slices.Sort(missing)
		w.cfg.Logger.Warn().Strs("addresses", missing[:min(len(missing), maxLoggedAddresses)]).Int("count", len(missing)).Str("error", err.Error()).Msg("store_boxes_not_found")
	}
}

// logReachable logs that a store box became unreachable, or that it is reachable again if err is
// nil.
func (w *Watcher) logReachable(address string, err error) {
	if err != nil {
		w.cfg.Logger.Warn().Str("address", address).Str("error", err.Error()).Msg("store_box_lost")
		return
	}
	w.cfg.Logger.Info().Str("address", address).Msg("store_box_recovered")
}

// poll requests the changes of a store box, or a list if its state is not known or a list is due.
// listed reports that it requested a list.
func (w *Watcher) poll(ctx context.Context, address string, request pollRequest, due bool) (listed bool, err error) {
	next, list := w.cfg.Index.Position(address)
	if list || due {
		return true, w.list(ctx, address)
	}
	ctx, cancel := context.WithTimeout(ctx, request.wait+request.timeout)
	defer cancel()
	sentAt := boottime.Now()
	report, err := w.cfg.Stores.Changes(ctx, address, next, request.wait)
	if err != nil {
		return false, err
	}
	report.AsOf = sentAt
	if request.wait > 0 && len(report.Changes) == 0 && boottime.Since(sentAt) >= minHeld {
		report.AsOf = sentAt.Add(minHeld)
	}
	if !w.cfg.Index.Apply(address, report) {
		w.cfg.Logger.Info().Str("address", address).Int64("life", report.Epoch).Bool("gap", report.Gap).Msg("store_box_state_reset")
	}
	return false, nil
}

// list requests a list of all parts that a store box holds.
func (w *Watcher) list(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sentAt := boottime.Now()
	report, err := w.cfg.Stores.List(ctx, address)
	if err != nil {
		return err
	}
	report.AsOf = sentAt
	w.cfg.Index.Replace(address, report)
	w.cfg.Logger.Info().Str("address", address).Int64("life", report.Epoch).Int("parts", len(report.Changes)).Int("unfinished", len(report.Unfinished)).Msg("store_box_listed")
	return nil
}

// LoopFree frees parts of namespaces that are no longer in use until ctx ends.
func (w *Watcher) LoopFree(ctx context.Context) {
	for ctx.Err() == nil {
		interval := freeInterval
		if w.cfg.Index.Follows() {
			interval = followerFreeInterval // its reader frees parts
		}
		waiting.For(ctx, interval/2+rand.N(interval))
		for _, address := range w.cfg.Index.Addresses() {
			if ctx.Err() == nil {
				w.freeUnused(ctx, address)
			}
		}
	}
}

func (w *Watcher) freeUnused(ctx context.Context, address string) {
	if w.cfg.Index.PollPaused(address) {
		return // the box that polls the store box frees its parts
	}
	parts, epoch := w.cfg.Index.Freeable(address, w.cfg.MayFree, maxFreed)
	if len(parts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	event := w.cfg.Logger.Info()
	if err := w.cfg.Stores.Free(ctx, address, parts, epoch); err != nil {
		event = w.cfg.Logger.Warn().Str("error", err.Error())
	} else {
		w.cfg.Index.NoteFreed(address, epoch, parts)
	}
	event.Str("address", address).Int64("life", epoch).Int("parts", len(parts)).Msg("parts_freed")
}
