package review

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/waiting"
)

// Timing of running reviews.
const (
	// patience is how long a review without a deadline may wait: it counts as
	// due then, so that later ones with near deadlines cannot starve it.
	maxWaitWithoutDeadline = time.Hour
	// riskPart is the part of the time between acceptance and deadline that must
	// be left; a review that still waits with less is at risk.
	riskFactor = 3
	// firstRunSeconds is the guess for a run's time before any was seen.
	initialRunSeconds = 10.0
	// learning is the weight of the newest run in the learnt time.
	runTimeWeight = 0.2
	// firstRetry and lastRetry bound the pause after a run that failed.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
	// endPause is the pause between tries to state an end while the log is down.
	endRetryDelay = 500 * time.Millisecond
)

// run is a review that runs here.
type run struct {
	cancel context.CancelFunc
}

// retry says when a review that failed may run again.
type retry struct {
	at    time.Time
	delay time.Duration
}

// dueTime is when a review should be done: its deadline, or its patience.
func dueTime(e *entry) time.Time {
	due := e.meta.AcceptedAt.Add(maxWaitWithoutDeadline)
	if !e.meta.Deadline.IsZero() && e.meta.Deadline.Before(due) {
		return e.meta.Deadline
	}
	return due
}

// loop looks at what is to be done until ctx ends.
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

// startDue starts the most pressing reviews that fall to this box.
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

// ownerOf gives the box that a review falls to, by rendezvous hashing over the
// boxes believed to be live. Where beliefs differ, two boxes run it, or for a
// moment none.
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

// runOne runs a review and states its end.
func (s *Service) runOne(ctx context.Context, task Task, loc location) {
	began := time.Now()
	answer, err := s.execute(ctx, task, loc)
	permanent, failed := errors.AsType[*PermanentError](err)
	switch {
	case err == nil:
		s.recordRunTime(time.Since(began))
		s.appendEnd(ctx, KindCompleted, task.Meta, answer)
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

// stateEnd appends the end of a review until the log has one, be it this or
// another box's.
func (s *Service) appendEnd(ctx context.Context, kind Kind, meta Meta, answer []byte) {
	packed, err := pack(answer)
	if err != nil {
		s.postpone(meta.ID, err)
		return
	}
	for ctx.Err() == nil {
		if err := s.append(ctx, split(kind, meta, original, packed)); err == nil && s.confirmEnd(ctx, meta) {
			s.cfg.Logger.Info().Str("review", meta.ID).Str("organisation", meta.Organisation).Int("bytes", len(answer)).Msg("review_ended")
			return
		}
		waiting.For(ctx, endRetryDelay)
	}
}

// endWait is how long to wait for an appended end to come back from the log
// before it is appended again. A second one does no harm.
const endReadTimeout = 5 * time.Second

func (s *Service) confirmEnd(ctx context.Context, meta Meta) bool {
	ctx, cancel := context.WithTimeout(ctx, endReadTimeout)
	defer cancel()
	// The end that comes also ends this run's context, so what AwaitEnd saw last
	// may be older than it.
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
	pause := min(max(2*s.retries[id].delay, minRetryDelay), maxRetryDelay)
	s.retries[id] = retry{at: time.Now().Add(pause), delay: pause}
	s.cfg.Logger.Warn().Str("review", id).Str("error", err.Error()).Dur("pause_ms", pause).Msg("review_postponed")
}

// cancelRun stops the run of a review that has ended. The caller holds mu.
func (s *Service) cancelRun(id string) {
	delete(s.retries, id)
	delete(s.warned, id)
	if running, ok := s.running[id]; ok {
		running.cancel()
	}
}

// atRisk reports whether a waiting review will probably miss its deadline: less
// than a third of its time is left, or less than what the reviews before it
// take. The caller holds mu.
func (s *Service) atRisk(e *entry, now time.Time) bool {
	if e.meta.Deadline.IsZero() {
		return false
	}
	left := e.meta.Deadline.Sub(now)
	whole := e.meta.Deadline.Sub(e.meta.AcceptedAt)
	return left < whole/riskFactor || left.Seconds() < riskFactor*s.runSeconds
}

// warn logs each review at risk once.
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

// repetition is a content that must be appended again.
type reappend struct {
	kind   Kind
	meta   Meta
	source location
	copyOf int64
}

// maxRepetitions bounds the contents that are appended again in one look.
const maxReappends = 16

// repeatDue appends again what would expire, as far as it falls to this box, and
// forgets what is no longer needed.
func (s *Service) reappendDue(ctx context.Context) {
	for _, r := range s.selectReappends() {
		content, err := s.readPacked(ctx, r)
		if err != nil {
			continue // tried again at the next look
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

// packedContent reads a content that is to be appended again.
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
