package review

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/waiting"
)

// Settings for scheduling and retrying runs.
const (
	// maxWaitWithoutDeadline bounds the wait of a review without a deadline, or with a later
	// one: it is due after this time, so that newer reviews with near deadlines cannot starve
	// it.
	maxWaitWithoutDeadline = time.Hour
	// riskFactor decides when a waiting review is at risk: when less than 1/riskFactor of the
	// time between acceptance and deadline is left, or less than riskFactor average runs.
	riskFactor = 3
	// initialRunSeconds is the estimated time of a run before the first one has finished.
	initialRunSeconds = 10.0
	// runTimeWeight is the weight of the newest run in the moving average of run times.
	runTimeWeight = 0.2
	// minRetryDelay and maxRetryDelay bound the delay after a failed run.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
	// endRetryDelay is the delay between attempts to append an end while the log is down.
	endRetryDelay = 500 * time.Millisecond
)

// run is a review that is running on this box.
type run struct {
	cancel context.CancelFunc
}

// retry is the time at which a review that failed may run again, and the delay until then.
type retry struct {
	at    time.Time
	delay time.Duration
}

// dueTime returns when a review should be done: at its deadline, or maxWaitWithoutDeadline
// after it was accepted if that is earlier.
func dueTime(e *entry) time.Time {
	due := e.meta.AcceptedAt.Add(maxWaitWithoutDeadline)
	if !e.meta.Deadline.IsZero() && e.meta.Deadline.Before(due) {
		return e.meta.Deadline
	}
	return due
}

// loop starts runs, logs reviews at risk and appends copies until ctx ends.
func (s *Service) loop(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.Interval)
	defer ticker.Stop()
	for {
		s.startRuns(ctx)
		s.warnAtRisk()
		s.reappendDue(ctx)
		select {
		case <-ticker.C:
		case <-s.nextChange():
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// startRuns starts the reviews that this box owns, the earliest due first.
func (s *Service) startRuns(ctx context.Context) {
	live := s.cfg.LiveBoxes()
	limit := s.cfg.MaxParallel()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return
	}
	for _, e := range s.byDueTime() {
		if len(s.running) >= limit {
			return
		}
		_, here := s.running[e.meta.ID]
		if here || s.retries[e.meta.ID].at.After(now) || ownerOf(e.meta.ID, live) != s.cfg.BoxName {
			continue
		}
		runCtx, cancel := context.WithCancel(ctx)
		s.running[e.meta.ID] = &run{cancel: cancel}
		task := Task{Meta: e.meta, Urgent: s.atRisk(e, now)}
		loc := e.request
		s.workers.Go(func() {
			defer cancel()
			s.runOne(runCtx, task, loc)
		})
	}
}

// ownerOf returns the box that runs a review, by rendezvous hashing over the boxes considered
// live. While boxes disagree on that set, two of them may run the review, or for a moment none.
func ownerOf(id string, live []string) string {
	var owner string
	var highest uint64
	for _, box := range live {
		if rank := xxhash.Sum64String(box + "/" + id); owner == "" || rank > highest {
			owner, highest = box, rank
		}
	}
	return owner
}

// runOne runs a review and appends its end.
func (s *Service) runOne(ctx context.Context, task Task, loc location) {
	began := time.Now()
	response, err := s.execute(ctx, task, loc)
	permanent, failed := errors.AsType[*PermanentError](err)
	switch {
	case err == nil:
		s.recordRunTime(time.Since(began))
		s.appendEnd(ctx, KindCompleted, task.Meta, response)
	case failed:
		task.Meta.Reason = permanent.Reason
		s.appendEnd(ctx, KindFailed, task.Meta, nil)
	default:
		s.postpone(task.Meta.ID, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, task.Meta.ID)
}

func (s *Service) execute(ctx context.Context, task Task, loc location) ([]byte, error) {
	request, err := s.readContent(ctx, loc)
	if err != nil {
		return nil, err
	}
	task.Request = request
	return s.cfg.Run(ctx, task)
}

// appendEnd appends the end of a review, and repeats that until an end from this or another box
// has been read back from the log.
func (s *Service) appendEnd(ctx context.Context, kind Kind, meta Meta, response []byte) {
	packed, err := pack(response)
	if err != nil {
		s.postpone(meta.ID, err)
		return
	}
	for ctx.Err() == nil {
		if err := s.append(ctx, split(kind, meta, original, packed)); err == nil && s.confirmEnd(ctx, meta) {
			s.cfg.Logger.Info().Str("review", meta.ID).Str("organisation", meta.Organisation).Int("bytes", len(response)).Msg("review_ended")
			return
		}
		waiting.For(ctx, endRetryDelay)
	}
}

// endReadTimeout is how long to wait until an appended end is read back from the log before it
// is appended again. A duplicate is harmless.
const endReadTimeout = 5 * time.Second

func (s *Service) confirmEnd(ctx context.Context, meta Meta) bool {
	ctx, cancel := context.WithTimeout(ctx, endReadTimeout)
	defer cancel()
	// Reading the end also cancels this run's context, so AwaitEnd may have returned an earlier
	// state.
	_, _ = s.AwaitEnd(ctx, meta.Organisation, meta.ID)
	found, err := s.Get(meta.Organisation, meta.ID)
	return errors.Is(err, ErrNotFound) || found.Status.IsFinal()
}

func (s *Service) recordRunTime(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runSeconds += runTimeWeight * (took.Seconds() - s.runSeconds)
}

func (s *Service) postpone(id string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := min(max(2*s.retries[id].delay, minRetryDelay), maxRetryDelay)
	s.retries[id] = retry{at: time.Now().Add(delay), delay: delay}
	s.cfg.Logger.Warn().Str("review", id).Str("error", err.Error()).Dur("pause_ms", delay).Msg("review_postponed")
}

// cancelRun cancels the run of a review that has ended. The caller holds mu.
func (s *Service) cancelRun(id string) {
	delete(s.retries, id)
	delete(s.warned, id)
	if running, ok := s.running[id]; ok {
		running.cancel()
	}
}

// atRisk reports whether a waiting review will probably miss its deadline: less than a third of
// its time is left, or less than the time of three average runs. The caller holds mu.
func (s *Service) atRisk(e *entry, now time.Time) bool {
	if e.meta.Deadline.IsZero() {
		return false
	}
	left := e.meta.Deadline.Sub(now)
	whole := e.meta.Deadline.Sub(e.meta.AcceptedAt)
	return left < whole/riskFactor || left.Seconds() < riskFactor*s.runSeconds
}

// warnAtRisk logs each review at risk once.
func (s *Service) warnAtRisk() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.table.reviews {
		if !e.waiting() || s.warned[e.meta.ID] || !s.atRisk(e, now) {
			continue
		}
		s.warned[e.meta.ID] = true
		s.cfg.Logger.Warn().Str("review", e.meta.ID).Str("organisation", e.meta.Organisation).
			Dur("left_ms", e.meta.Deadline.Sub(now)).Msg("review_at_risk")
	}
}

// reappend is a content that must be appended again.
type reappend struct {
	kind   Kind
	meta   Meta
	source location
	copyOf int64
}

// maxReappends bounds the contents that are appended again in one pass of the loop.
const maxReappends = 16

// reappendDue appends copies of the contents that would expire, if this box owns the review,
// and removes reviews that are no longer needed.
func (s *Service) reappendDue(ctx context.Context) {
	for _, r := range s.selectReappends() {
		content, err := s.readPacked(ctx, r)
		if err != nil {
			continue // retried in the next pass of the loop
		}
		if err := s.append(ctx, split(r.kind, r.meta, r.copyOf, content)); err == nil {
			s.mu.Lock()
			s.reappends++
			s.mu.Unlock()
		}
	}
}

func (s *Service) selectReappends() []reappend {
	live := s.cfg.LiveBoxes()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return nil
	}
	var due []reappend
	for id, e := range s.table.reviews {
		if e.evictable(now, s.cfg.ResultRetention(), s.cfg.Retention) {
			delete(s.table.reviews, id)
			continue
		}
		kind := e.reappendKind(now, s.cfg.Retention)
		if kind == 0 || len(due) >= maxReappends || ownerOf(id, live) != s.cfg.BoxName {
			continue
		}
		due = append(due, e.newReappend(kind))
	}
	return due
}

func (e *entry) newReappend(kind Kind) reappend {
	switch kind {
	case KindAccepted:
		return reappend{kind: kind, meta: e.meta, source: e.request, copyOf: e.acceptedOffset}
	case KindDeleted:
		return reappend{kind: kind, meta: e.meta, copyOf: original}
	default:
		return reappend{kind: kind, meta: e.meta, source: e.result, copyOf: e.endOffset}
	}
}

// readPacked reads a content that must be appended again, and compresses it.
func (s *Service) readPacked(ctx context.Context, r reappend) ([]byte, error) {
	if !r.source.isSet() {
		return nil, nil
	}
	content, err := s.readContent(ctx, r.source)
	if err != nil {
		return nil, err
	}
	return pack(content)
}
