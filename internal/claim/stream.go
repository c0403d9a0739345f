package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/cometlock/cometlock/internal/logservice"
	"github.com/cometlock/cometlock/internal/ring"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Errors of a claim. All except ErrLogGap mean that the request has not run.
var (
	// ErrNotReady means that the existing claims have not been read from the log yet.
	ErrNotReady = merry.Sentinel("the existing claims have not been read from the log yet")
	// ErrLogUnavailable means that the log service did not accept the claim.
	ErrLogUnavailable = merry.Sentinel("the log service did not accept the claim")
	// ErrQueueFull means that too many entries are waiting to be appended.
	ErrQueueFull = merry.Sentinel("the queue of claims is full")
	// ErrUndecided means that the claim was not read back from the log before the deadline.
	// This process has released it.
	ErrUndecided = merry.Sentinel("the claim was not read back from the log in time")
	// ErrLogGap means that records expired before this process read them, while the claim was
	// pending; a request with an earlier claim may have run.
	ErrLogGap = merry.Sentinel("log records expired before they were read")
)

// stream writes and reads one claim stream. loopAppend appends batches and a tail applies the
// log's records to the table; mu protects what both use.
type stream struct {
	name  string
	cfg   Config
	queue *ring.Ring[Entry]

	mu           sync.Mutex
	table        *keyTable
	next         int64
	ready        bool
	historyStart time.Time
	pending      map[uuid.UUID]chan result
	appends      int64
	// writing is the number of entries taken from the queue whose append has not returned yet.
	writing int
}

type result struct {
	decision Decision
	err      error
}

// queueCapacity bounds the entries that wait to be appended.
const queueCapacity = 4096

// Limits on the number of entries and the response bytes of one append.
const (
	maxBatchEntries = 512
	maxBatchBytes   = logservice.MaxRecordBytes / 2
)

func newStream(number int, cfg Config) *stream {
	return &stream{
		name: StreamName(number), cfg: cfg,
		queue: ring.New[Entry](ring.Config{Name: StreamName(number), Capacity: queueCapacity}),
		table: newKeyTable(), pending: map[uuid.UUID]chan result{},
	}
}

// claim appends a claim and waits for the decision.
func (s *stream) claim(ctx context.Context, entry Entry) (Decision, error) {
	outcome, decision, err := s.register(entry)
	if outcome == nil {
		return decision, err
	}
	if !s.queue.TryPush(entry) {
		s.unregister(entry)
		return Decision{}, ErrQueueFull
	}
	select {
	case r := <-outcome:
		return r.decision, r.err
	case <-ctx.Done():
	}
	if s.unregister(entry) {
		// The request has timed out, so this process will never run it: a claim that is granted
		// later must not block the key.
		s.release(entry)
		return Decision{}, ErrUndecided
	}
	r := <-outcome
	return r.decision, r.err
}

// register adds a pending claim, unless the table or the key's age already decides it.
func (s *stream) register(entry Entry) (<-chan result, Decision, error) {
	created, err := KeyTime(entry.Key.Text)
	if err != nil {
		return nil, Decision{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return nil, Decision{}, ErrNotReady
	}
	if decision, decided := s.table.lookup(entry.Key, entry.Digest); decided {
		return nil, decision, nil
	}
	if created.Add(-MaxClockSkew).Before(s.historyStart) {
		// An earlier claim of this key may be in a record that expired before this process
		// started reading.
		return nil, Decision{Verdict: OutsideWindow}, nil
	}
	outcome := make(chan result, 1)
	s.pending[entry.ClaimID] = outcome
	return outcome, Decision{}, nil
}

// unregister removes a pending claim and reports whether it was still undecided.
func (s *stream) unregister(entry Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, undecided := s.pending[entry.ClaimID]
	delete(s.pending, entry.ClaimID)
	return undecided
}

// release records that the claim's request did not run and never will.
func (s *stream) release(entry Entry) {
	entry.Kind = KindRelease
	// If the queue is full, the key stays claimed without a known outcome, which is safe.
	_ = s.queue.TryPush(entry)
}

// loopAppend appends entries in batches until ctx ends.
func (s *stream) loopAppend(ctx context.Context) {
	for {
		first, err := s.queue.Pop(ctx)
		if err != nil {
			return
		}
		s.setWriting(1)
		entries := s.collectBatch(ctx, first)
		s.append(ctx, entries)
		s.setWriting(0)
	}
}

func (s *stream) setWriting(entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = entries
}

func (s *stream) countUnwritten() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writing + s.queue.State().Depth
}

// collectBatch waits up to BatchDelay for more entries to share the append.
func (s *stream) collectBatch(ctx context.Context, first Entry) []Entry {
	entries := []Entry{first}
	size := len(first.Response.Body)
	timer := time.NewTimer(s.cfg.BatchDelay)
	defer timer.Stop()
	for len(entries) < maxBatchEntries && size < maxBatchBytes {
		select {
		case entry := <-s.queue.Items():
			entries = append(entries, entry)
			size += len(entry.Response.Body)
		case <-timer.C:
			return entries
		case <-ctx.Done():
			return entries
		}
	}
	return entries
}

func (s *stream) append(ctx context.Context, entries []Entry) {
	data, err := encode(entries)
	if err != nil {
		s.failClaims(entries, err)
		return
	}
	_, err = s.cfg.Log.Append(ctx, s.name, data)
	s.mu.Lock()
	s.appends++
	s.mu.Unlock()
	if errors.Is(err, logservice.ErrNotAppended) {
		s.failClaims(entries, ErrLogUnavailable)
		s.requeueOutcomes(ctx, entries)
	}
	// An append without a response may have taken effect. It is never retried; if it took
	// effect, the tail reads its record.
}

// requeueOutcomes queues the completions and releases of a failed append again, because without
// them the outcome of their keys stays unknown.
func (s *stream) requeueOutcomes(ctx context.Context, entries []Entry) {
	waiting.For(ctx, s.cfg.RetryDelay)
	for _, entry := range entries {
		if entry.Kind != KindClaim {
			_ = s.queue.TryPush(entry)
		}
	}
}

func (s *stream) failClaims(entries []Entry, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range entries {
		if entry.Kind == KindClaim {
			s.resolve(entry.ClaimID, result{err: err})
		}
	}
}

// resolve delivers the result of a pending claim. The caller holds mu.
func (s *stream) resolve(claimID uuid.UUID, r result) {
	if outcome, ok := s.pending[claimID]; ok {
		delete(s.pending, claimID)
		outcome <- r
	}
}

// CaughtUp implements tail.Sink.
func (s *stream) CaughtUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
}

// Reset implements tail.Sink. Records that this process has not read have expired, so pending
// claims can no longer be decided.
func (s *stream) Reset(_ int64, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for claimID := range s.pending {
		s.resolve(claimID, result{err: ErrLogGap})
	}
	s.table = newKeyTable()
	s.ready = false
	s.historyStart = began.Add(MaxClockSkew - s.cfg.Retention)
}

// ApplyRecord implements tail.Sink.
func (s *stream) ApplyRecord(record logservice.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = record.Offset + 1
	entries, err := Decode(record.Data)
	if err != nil {
		return // a corrupt record is skipped by all readers
	}
	for _, entry := range entries {
		decision := s.table.apply(entry, record.Time)
		if entry.Kind == KindClaim {
			s.resolve(entry.ClaimID, result{decision: decision})
		}
	}
}
