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
	// ErrNotAccepted says that the review is certainly not in the log.
	ErrNotAccepted = merry.Sentinel("the log service does not take reviews now")
	// ErrUnknown says that the review may have been accepted.
	ErrUnknown = merry.Sentinel("whether the review was accepted is not known")
	// ErrNotReady says that the log has not been read to its end yet.
	ErrNotReady = merry.Sentinel("the reviews are not read back yet")
	// ErrMissing says that the organisation has no such review.
	ErrMissing = merry.Sentinel("there is no such review")
	// ErrOtherRequest says that the name belongs to another request.
	ErrOtherRequest = merry.Sentinel("another review has this name")
	// ErrTooLarge says that the request does not fit the log.
	ErrTooLarge = merry.Sentinel("the review is too large")
)

// Config sets up a Service.
type Config struct {
	Log    logservice.Log
	Logger zerolog.Logger
	// Box names this entry box; Live lists the boxes believed to be live.
	Box  string
	Live func() []string
	// Retention is for how long the log keeps records at least.
	Retention time.Duration
	// KeepAnswers gives for how long an ended review can be fetched.
	KeepAnswers func() time.Duration
	// Run answers a review. It is called on a goroutine of its own.
	Run Runner
	// Parallel gives how many reviews this box runs at once.
	Parallel func() int
	// Interval is the time between two looks at what is to be done.
	Interval time.Duration
	// PollWait is how long a read may wait at the log.
	PollWait time.Duration
}

// Runner answers one review. An error that is Permanent ends the review as
// failed; any other has it tried again later.
type Runner func(ctx context.Context, task Task) (answer []byte, err error)

// Task is a review to be answered.
type Task struct {
	Meta Meta
	// Request is the body as the caller's protocol has it.
	Request []byte
	// Urgent says that the review should no longer give way to others.
	Urgent bool
}

// PermanentError ends a review as failed.
type PermanentError struct {
	Reason string
}

// Error implements the error interface.
func (e *PermanentError) Error() string { return e.Reason }

// DefaultInterval is the Interval where none is given.
const DefaultInterval = 250 * time.Millisecond

// Service keeps the reviews of a deployment.
type Service struct {
	cfg  Config
	tail *tail.Tail
	life context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	fold    *fold
	ready   bool
	changed chan struct{} // closed and replaced whenever the log brings news
	running map[string]*run
	retries map[string]retry
	warned  map[string]bool
	seconds float64 // learnt time of a run
	ended   sync.WaitGroup
	repeats int64
}

// New makes a service; it does nothing before Start.
func New(cfg Config) *Service {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	life, stop := context.WithCancel(context.Background())
	s := &Service{
		cfg: cfg, life: life, stop: stop, fold: newFold(), changed: make(chan struct{}),
		running: map[string]*run{}, retries: map[string]retry{}, warned: map[string]bool{}, seconds: firstRunSeconds,
	}
	s.tail = tail.New(tail.Config{Log: cfg.Log, Stream: Stream, Sink: s, PollWait: cfg.PollWait})
	return s
}

// Start follows the log and runs reviews until Close.
func (s *Service) Start() {
	s.ended.Go(func() { s.tail.Loop(s.life) })
	s.ended.Go(func() { s.loop(s.life) })
}

// Close ends the service. Reviews that run here are run anew elsewhere.
func (s *Service) Close() {
	s.stop()
	s.ended.Wait()
}

// drainTick is how often Drain looks whether all runs have ended.
const drainTick = 20 * time.Millisecond

// Drain waits until the reviews that run here have ended, or ctx ends. No new
// one begins meanwhile if Parallel gives 0.
func (s *Service) Drain(ctx context.Context) {
	for s.State().Running > 0 && ctx.Err() == nil {
		waiting.For(ctx, drainTick)
	}
}

// Take implements tail.Sink.
func (s *Service) ApplyRecord(record logservice.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.fold.apply(record.Offset, record.Time, record.Data)
	if e != nil && !e.waiting() {
		s.cancelRun(e.meta.ID)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Restart implements tail.Sink. All that is still needed was appended again in
// time, so reading on from the earliest held record finds it; what was known
// stays known.
func (s *Service) Reset(int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = false
	s.fold.parts = newFold().parts
}

// AtEnd implements tail.Sink.
func (s *Service) CaughtUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
}

// Accept makes a review durable. It returns once the log has it, in order; the
// review may by then have been accepted before under the same name.
func (s *Service) Accept(ctx context.Context, meta Meta, request []byte) (Review, error) {
	packed, err := pack(request)
	if err != nil {
		return Review{}, err
	}
	if !s.isReady() {
		return Review{}, ErrNotReady
	}
	if known, err := s.sameAs(meta); err == nil || errors.Is(err, ErrOtherRequest) {
		return known, err
	}
	if err := s.append(ctx, split(KindAccepted, meta, original, packed)); err != nil {
		return Review{}, err
	}
	return s.await(ctx, meta)
}

func (s *Service) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// sameAs gives the review that already has a name.
func (s *Service) sameAs(meta Meta) (Review, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.fold.reviews[meta.ID]
	if !ok || !e.accepted.known() {
		return Review{}, ErrMissing
	}
	if e.meta.Organisation != meta.Organisation || e.meta.Digest != meta.Digest {
		return Review{}, ErrOtherRequest
	}
	return s.describe(e), nil
}

// append adds records one after the other. Only a first one that was not taken
// proves that nothing is there; the fold wants all parts, so the rest of a
// content that cannot be finished is never acted upon.
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
		case err != nil && record.Part < record.Parts-1:
			return ErrNotAccepted // the parts after this one were never sent
		case err != nil:
			return nil // await sees whether it got there
		}
	}
	return nil
}

// await waits until the log brings the review of a name.
func (s *Service) await(ctx context.Context, meta Meta) (Review, error) {
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		known, err := s.sameAs(meta)
		if err == nil || errors.Is(err, ErrOtherRequest) {
			return known, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Review{}, ErrUnknown
		}
	}
}

// content reads the parts of a content out of the log.
func (s *Service) content(ctx context.Context, lies place) ([]byte, error) {
	var packed bytes.Buffer
	for _, offset := range lies.offsets {
		page, err := backoff.Retry(ctx, func() (logservice.Page, error) {
			return s.cfg.Log.Read(ctx, Stream, logservice.ReadOptions{From: offset, Limit: 1})
		}, backoff.WithMaxTries(readTries))
		if err != nil {
			return nil, err
		}
		if len(page.Records) == 0 {
			return nil, merry.Errorf("the log no longer has record %d", offset)
		}
		record, err := decode(page.Records[0].Data)
		if err != nil {
			return nil, err
		}
		packed.Write(record.Content)
	}
	return unpack(packed.Bytes())
}

// readTries bounds the tries to read one record.
const readTries = 3
