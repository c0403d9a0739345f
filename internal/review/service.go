package review

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/logservice"
	"github.com/cometlock/cometlock/internal/tail"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Errors of the service.
var (
	// ErrNotAccepted means that the review is certainly not in the log.
	ErrNotAccepted = merry.Sentinel("the log service did not accept the review")
	// ErrOutcomeUnknown means that the review, or a decision on it, may have reached the log.
	ErrOutcomeUnknown = merry.Sentinel("it is unknown whether the log accepted the record")
	// ErrNotReady means that the log has not been read to its end yet.
	ErrNotReady = merry.Sentinel("the reviews have not been read from the log yet")
	// ErrNotFound means that the organisation has no such review.
	ErrNotFound = merry.Sentinel("review not found")
	// ErrIDReused means that a different request has the same ID.
	ErrIDReused = merry.Sentinel("a different request has the same review ID")
	// ErrTooLarge means that the request does not fit into the log.
	ErrTooLarge = merry.Sentinel("the review is too large")
)

// Config configures a Service.
type Config struct {
	Log    logservice.Log
	Logger zerolog.Logger
	// BoxName is the name of this entry box; LiveBoxes returns the boxes considered live.
	BoxName   string
	LiveBoxes func() []string
	// Retention is the minimum time for which the log keeps records.
	Retention time.Duration
	// ResultRetention returns how long an ended review can be fetched.
	ResultRetention func() time.Duration
	// Run runs a review. It is called in a new goroutine.
	Run RunFunc
	// MaxParallel returns how many reviews this box may run at once.
	MaxParallel func() int
	// Interval bounds the time between two passes of the loop that starts runs and appends
	// copies; a new record in the log also starts a pass.
	Interval time.Duration
	// PollWait is how long the log may hold a read open while it waits for a new record.
	PollWait time.Duration
}

// RunFunc runs one review. A PermanentError ends the review as failed; after any other error it
// is retried later.
type RunFunc func(ctx context.Context, task Task) (response []byte, err error)

// Task is a review to run.
type Task struct {
	Meta Meta
	// Request is the request body in the caller's protocol.
	Request []byte
	// Urgent means that the review should no longer yield to other requests.
	Urgent bool
}

// PermanentError ends a review as failed.
type PermanentError struct {
	Reason string
}

// Error implements the error interface.
func (e *PermanentError) Error() string { return e.Reason }

// DefaultInterval is the default of Config.Interval.
const DefaultInterval = 250 * time.Millisecond

// Service stores and runs the reviews of a deployment.
type Service struct {
	cfg  Config
	tail *tail.Tail
	ctx  context.Context
	stop context.CancelFunc

	mu         sync.Mutex
	table      *reviewTable
	ready      bool
	changed    chan struct{} // closed and replaced after each record of the log
	running    map[string]*run
	retries    map[string]retry
	warned     map[string]bool
	runSeconds float64 // moving average of the time of a run
	workers    sync.WaitGroup
	reappends  int64
}

// New creates a service; it is inactive until Start.
func New(cfg Config) *Service {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Service{
		cfg: cfg, ctx: ctx, stop: stop, table: newReviewTable(), changed: make(chan struct{}),
		running: map[string]*run{}, retries: map[string]retry{}, warned: map[string]bool{}, runSeconds: initialRunSeconds,
	}
	s.tail = tail.New(tail.Config{Log: cfg.Log, Stream: Stream, Sink: s, PollWait: cfg.PollWait})
	return s
}

// Start reads the log and runs reviews until Close.
func (s *Service) Start() {
	s.workers.Go(func() { s.tail.Loop(s.ctx) })
	s.workers.Go(func() { s.loop(s.ctx) })
}

// Close stops the service. Reviews that were running here start again on other boxes.
func (s *Service) Close() {
	s.stop()
	s.workers.Wait()
}

// drainPollInterval is how often Drain checks whether all runs have ended.
const drainPollInterval = 20 * time.Millisecond

// Drain waits until the reviews that run on this box have ended, or until ctx ends. No new run
// starts meanwhile if MaxParallel returns 0.
func (s *Service) Drain(ctx context.Context) {
	for s.State().Running > 0 && ctx.Err() == nil {
		waiting.For(ctx, drainPollInterval)
	}
}

// ApplyRecord implements tail.Sink.
func (s *Service) ApplyRecord(record logservice.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.apply(record.Offset, record.Time, record.Data)
	if e != nil && !e.waiting() {
		s.cancelRun(e.meta.ID)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Reset implements tail.Sink. Everything that is still needed was appended again before it
// expired, so reading from the earliest stored record finds it, and the reviews in memory stay
// valid.
func (s *Service) Reset(int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = false
	s.table.partials = newReviewTable().partials
}

// CaughtUp implements tail.Sink.
func (s *Service) CaughtUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
}

// Accept writes a review to the log and returns after it was read back in log order. If the
// same review was accepted before under the same ID, it returns that one.
func (s *Service) Accept(ctx context.Context, meta Meta, request []byte) (Review, error) {
	packed, err := pack(request)
	if err != nil {
		return Review{}, err
	}
	if !s.isReady() {
		return Review{}, ErrNotReady
	}
	if found, err := s.findSame(meta); err == nil || errors.Is(err, ErrIDReused) {
		return found, err
	}
	if err := s.append(ctx, split(KindAccepted, meta, original, packed)); err != nil {
		return Review{}, err
	}
	return s.awaitAccepted(ctx, meta)
}

func (s *Service) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// findSame returns the accepted review with the same ID, organisation and request.
func (s *Service) findSame(meta Meta) (Review, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.table.reviews[meta.ID]
	if !ok || !e.request.isSet() {
		return Review{}, ErrNotFound
	}
	if e.meta.Organisation != meta.Organisation || e.meta.Digest != meta.Digest {
		return Review{}, ErrIDReused
	}
	return s.describe(e), nil
}

// append appends records one after the other. Only a rejected first record proves that nothing
// is in the log. A content takes effect only when all its parts are in the log, so the parts of
// one that cannot be finished are ignored.
func (s *Service) append(ctx context.Context, records []Record) error {
	for _, record := range records {
		data, err := record.encode()
		if err != nil {
			return err
		}
		_, err = s.cfg.Log.Append(ctx, Stream, data)
		switch {
		case errors.Is(err, logservice.ErrNotAppended):
			return ErrNotAccepted
		case err != nil && record.PartIndex < record.PartCount-1:
			return ErrNotAccepted // the parts after this one are not sent
		case err != nil:
			return nil // the caller waits to read the record back
		}
	}
	return nil
}

// awaitAccepted waits until the review with this ID has been read from the log.
func (s *Service) awaitAccepted(ctx context.Context, meta Meta) (Review, error) {
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		found, err := s.findSame(meta)
		if err == nil || errors.Is(err, ErrIDReused) {
			return found, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Review{}, ErrOutcomeUnknown
		}
	}
}

// readContent reads the parts of a content from the log and decompresses it.
func (s *Service) readContent(ctx context.Context, loc location) ([]byte, error) {
	var packed bytes.Buffer
	for _, offset := range loc.offsets {
		page, err := backoff.Retry(ctx, func() (logservice.Page, error) {
			return s.cfg.Log.Read(ctx, Stream, logservice.ReadOptions{From: offset, Limit: 1})
		}, backoff.WithMaxTries(readTries))
		if err != nil {
			return nil, err
		}
		if len(page.Records) == 0 {
			return nil, merry.Errorf("record %d has expired from the log", offset)
		}
		record, err := decode(page.Records[0].Data)
		if err != nil {
			return nil, err
		}
		packed.Write(record.Content)
	}
	return unpack(packed.Bytes())
}

// readTries bounds the attempts to read one record.
const readTries = 3
