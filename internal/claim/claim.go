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

// Config sets up a Service.
type Config struct {
	Log logservice.Log
	// Incarnation is the incarnation of this process.
	Incarnation string
	// Window gives for how long after its making a key may be claimed; at most
	// MaxWindow counts.
	Window func() time.Duration
	// Retention is for how long the log keeps records at least. It must be
	// twice MaxWindow or more: the first claim of a key must still be held when
	// the last timely one is judged.
	Retention time.Duration
	// BatchDelay is how long a claim waits for others to share an append.
	BatchDelay time.Duration
	// PollWait is how long a read may wait at the log for a new record.
	PollWait time.Duration
	// RetryDelay is the pause after the log failed.
	RetryDelay time.Duration
}

// Defaults of Config.
const (
	DefaultBatchDelay = 5 * time.Millisecond
	DefaultRetention  = 24 * time.Hour
)

// Service claims keys for this process.
type Service struct {
	cfg  Config
	life context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	streams [StreamCount]*stream
	ended   sync.WaitGroup
}

// New makes a service. A stream is read back when its first key comes, or all
// at once by Warm.
func New(cfg Config) *Service {
	setDefault(&cfg.BatchDelay, DefaultBatchDelay)
	setDefault(&cfg.RetryDelay, tail.DefaultRetryDelay)
	setDefault(&cfg.Retention, DefaultRetention)
	life, stop := context.WithCancel(context.Background())
	return &Service{cfg: cfg, life: life, stop: stop}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Close ends the service. Claims under way end with an error.
func (s *Service) Close() {
	s.stop()
	s.ended.Wait()
}

// Warm begins to read back all streams.
func (s *Service) Warm() {
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
		s.ended.Go(func() { opened.loopAppend(s.life) })
		following := tail.New(tail.Config{
			Log: s.cfg.Log, Stream: opened.name, Sink: opened, PollWait: s.cfg.PollWait, RetryDelay: s.cfg.RetryDelay,
		})
		s.ended.Go(func() { following.Loop(s.life) })
	}
	return s.streams[number]
}

// Claim asks for the right to run a request. An error means that nothing was
// decided; see the errors for what it says of a run.
func (s *Service) Claim(ctx context.Context, key Key, digest Digest) (Decision, error) {
	made, err := KeyTime(key.Text)
	if err != nil {
		return Decision{}, err
	}
	if age := time.Since(made); age >= min(s.cfg.Window(), MaxWindow) || age < -MaxClockSkew {
		return Decision{Verdict: OutsideWindow}, nil
	}
	claimID, err := uuid.NewRandom()
	if err != nil {
		return Decision{}, err
	}
	entry := Entry{Kind: KindClaim, Key: key, Digest: digest, ClaimID: claimID, Claimer: s.cfg.Incarnation}
	return s.stream(streamOf(key)).claim(ctx, entry)
}

// MaxResponseBytes is the largest response that is kept for callers that ask again.
const MaxResponseBytes = 16 << 10

// Complete records the response of a request whose claim was won.
func (s *Service) Complete(key Key, claimID uuid.UUID, answer StoredResponse) {
	if len(answer.Body) > MaxResponseBytes {
		answer.Body, answer.BodyStored = nil, false
	}
	s.state(Entry{Kind: KindComplete, Key: key, ClaimID: claimID, Response: answer})
}

// Release records that a request whose claim was won did not run, and that
// this process never will run it.
func (s *Service) Release(key Key, claimID uuid.UUID) {
	s.state(Entry{Kind: KindRelease, Key: key, ClaimID: claimID})
}

func (s *Service) state(entry Entry) {
	// Without room the key stays in the state "unknown", which is safe.
	_ = s.stream(streamOf(entry.Key)).entries.TryPush(entry)
}

// StreamState is the part of a state dump that describes one stream.
type StreamState struct {
	Name    string `json:"name"`
	Ready   bool   `json:"ready"`
	Next    int64  `json:"next"`
	Keys    int    `json:"keys"`
	Pending int    `json:"pending"`
	Appends int64  `json:"appends"`
}

// State describes the streams that this process follows.
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
		Name: s.name, Ready: s.ready, Next: s.next, Keys: len(s.fold.holders),
		Pending: len(s.pending), Appends: s.appends,
	}
}

// drainTick is how often Drain looks whether all is written.
const drainTick = 10 * time.Millisecond

// Drain waits until what was stated of finished runs has been handed to the log,
// or ctx ends. Callers that ask again get the answer only if it got there.
func (s *Service) Drain(ctx context.Context) {
	for s.unwritten() > 0 && ctx.Err() == nil {
		waiting.For(ctx, drainTick)
	}
}

func (s *Service) unwritten() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, opened := range s.streams {
		if opened != nil {
			total += opened.unwrittenEntries()
		}
	}
	return total
}
