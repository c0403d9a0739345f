package claim

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cometlock/cometlock/internal/logservice"
	"github.com/cometlock/cometlock/internal/tail"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Config configures a Service.
type Config struct {
	Log logservice.Log
	// Incarnation identifies this process; it changes on every restart.
	Incarnation string
	// Window returns how long after its creation a key may be claimed; values above MaxWindow
	// are capped.
	Window func() time.Duration
	// Retention is the minimum time for which the log keeps records. It must be at least twice
	// MaxWindow: the first claim of a key must still be stored when the last claim within the
	// window is decided.
	Retention time.Duration
	// BatchDelay is how long an entry waits for others to share its append.
	BatchDelay time.Duration
	// PollWait is how long the log may hold a read open while it waits for a new record.
	PollWait time.Duration
	// RetryDelay is the delay after a failed read from or append to the log.
	RetryDelay time.Duration
}

// Defaults of Config.
const (
	DefaultBatchDelay = 5 * time.Millisecond
	DefaultRetention  = 24 * time.Hour
)

// Service claims idempotency keys on behalf of this process.
type Service struct {
	cfg  Config
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	streams [StreamCount]*stream
	workers sync.WaitGroup
}

// New creates a service. A stream is read from the log when its first key is claimed; Preload
// starts reading all of them.
func New(cfg Config) *Service {
	setDefault(&cfg.BatchDelay, DefaultBatchDelay)
	setDefault(&cfg.RetryDelay, tail.DefaultRetryDelay)
	setDefault(&cfg.Retention, DefaultRetention)
	ctx, stop := context.WithCancel(context.Background())
	return &Service{cfg: cfg, ctx: ctx, stop: stop}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Close stops the service. Claims in progress return an error.
func (s *Service) Close() {
	s.stop()
	s.workers.Wait()
}

// Preload starts reading all streams from the log.
func (s *Service) Preload() {
	for number := range StreamCount {
		s.stream(number)
	}
}

func (s *Service) stream(number int) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[number] == nil {
		opened := newStream(number, s.cfg)
		s.streams[number] = opened
		s.workers.Go(func() { opened.loopAppend(s.ctx) })
		follower := tail.New(tail.Config{
			Log: s.cfg.Log, Stream: opened.name, Sink: opened, PollWait: s.cfg.PollWait, RetryDelay: s.cfg.RetryDelay,
		})
		s.workers.Go(func() { follower.Loop(s.ctx) })
	}
	return s.streams[number]
}

// Claim requests the right to run a request. An error means that the log decided nothing; the
// documentation of the errors states whether an earlier request may have run.
func (s *Service) Claim(ctx context.Context, key Key, digest Digest) (Decision, error) {
	created, err := KeyTime(key.Text)
	if err != nil {
		return Decision{}, err
	}
	if age := time.Since(created); age >= min(s.cfg.Window(), MaxWindow) || age < -MaxClockSkew {
		return Decision{Verdict: OutsideWindow}, nil
	}
	claimID, err := uuid.NewRandom()
	if err != nil {
		return Decision{}, err
	}
	entry := Entry{Kind: KindClaim, Key: key, Digest: digest, ClaimID: claimID, Incarnation: s.cfg.Incarnation}
	return s.stream(streamOf(key)).claim(ctx, entry)
}

// MaxResponseBytes bounds the response bodies that are stored for callers that retry.
const MaxResponseBytes = 16 << 10

// Complete records the response of a request whose claim was granted.
func (s *Service) Complete(key Key, claimID uuid.UUID, response StoredResponse) {
	if len(response.Body) > MaxResponseBytes {
		response.Body, response.BodyStored = nil, false
	}
	s.enqueue(Entry{Kind: KindComplete, Key: key, ClaimID: claimID, Response: response})
}

// Release records that a request whose claim was granted did not run and that this process will
// never run it.
func (s *Service) Release(key Key, claimID uuid.UUID) {
	s.enqueue(Entry{Kind: KindRelease, Key: key, ClaimID: claimID})
}

func (s *Service) enqueue(entry Entry) {
	// If the queue is full, the key stays claimed without a known outcome, which is safe.
	_ = s.stream(streamOf(entry.Key)).queue.TryPush(entry)
}

// StreamState describes one stream in a state dump.
type StreamState struct {
	Name    string `json:"name"`
	Ready   bool   `json:"ready"`
	Next    int64  `json:"next"`
	Keys    int    `json:"keys"`
	Pending int    `json:"pending"`
	Appends int64  `json:"appends"`
}

// State describes the streams that this process reads.
func (s *Service) State() []StreamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var states []StreamState
	for _, opened := range s.streams {
		if opened != nil {
			states = append(states, opened.state())
		}
	}
	return states
}

func (s *stream) state() StreamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StreamState{
		Name: s.name, Ready: s.ready, Next: s.next, Keys: len(s.table.keys),
		Pending: len(s.pending), Appends: s.appends,
	}
}

// drainPollInterval is how often Drain checks for unwritten entries.
const drainPollInterval = 10 * time.Millisecond

// Drain waits until the outcomes of finished runs have been sent to the log, or until ctx ends.
// Callers that retry get a response only if it reached the log.
func (s *Service) Drain(ctx context.Context) {
	for s.totalUnwritten() > 0 && ctx.Err() == nil {
		waiting.For(ctx, drainPollInterval)
	}
}

func (s *Service) totalUnwritten() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, opened := range s.streams {
		if opened != nil {
			total += opened.countUnwritten()
		}
	}
	return total
}
