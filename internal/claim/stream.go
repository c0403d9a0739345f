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

// Errors of a claim. All but ErrUnknown mean that the request was not run.
var (
	// ErrNotReady says that the claims of the past are not read back yet.
	ErrNotReady = merry.Sentinel("the claims of the past are not read back yet")
	// ErrNoLog says that the log service did not take the claim.
	ErrNoLog = merry.Sentinel("the log service does not take claims now")
	// ErrNoRoom says that too many claims are waiting.
	ErrNoRoom = merry.Sentinel("too many claims are waiting")
	// ErrNoDecision says that the claim's place in the log was not learnt in
	// time. This process has renounced it.
	ErrNoDecision = merry.Sentinel("the claim was not seen in the log in time")
	// ErrUnknown says that this process lost the thread of the log with the
	// claim under way; an earlier claim may have run.
	ErrUnknown = merry.Sentinel("the thread of the log was lost")
)

// stream writes and follows one claim stream. Two duties share it: loopAppend
// writes batches, a tail folds the log; mu guards what both touch.
type stream struct {
	name    string
	cfg     Config
	entries *ring.Ring[Entry]

	mu      sync.Mutex
	fold    *fold
	next    int64
	ready   bool
	covered time.Time
	pending map[uuid.UUID]chan result
	appends int64
	// writing is the number of entries taken from the ring and not written.
	writing int
}

type result struct {
	decision Decision
	err      error
}

// entriesCapacity bounds the entries that wait for a batch.
const entriesCapacity = 4096

// maxBatch bounds the entries and bytes of one append.
const (
	maxBatchEntries = 512
	maxBatchBytes   = logservice.MaxRecordBytes / 2
)

func newStream(number int, cfg Config) *stream {
	return &stream{
		name: StreamName(number), cfg: cfg,
		entries: ring.New[Entry](ring.Config{Name: StreamName(number), Capacity: entriesCapacity}),
		fold:    newFold(), pending: map[uuid.UUID]chan result{},
	}
}

// claim asks the log for the right to run.
func (s *stream) claim(ctx context.Context, entry Entry) (Decision, error) {
	answer, decision, err := s.begin(entry)
	if answer == nil {
		return decision, err
	}
	if !s.entries.TryPush(entry) {
		s.abandon(entry)
		return Decision{}, ErrNoRoom
	}
	select {
	case r := <-answer:
		return r.decision, r.err
	case <-ctx.Done():
	}
	if s.abandon(entry) {
		// Nobody waits for the decision any more, so this process will never
		// run the request: if the claim wins, it must not block the key.
		s.renounce(entry)
		return Decision{}, ErrNoDecision
	}
	r := <-answer
	return r.decision, r.err
}

// begin registers a claim, unless what is known decides it already.
func (s *stream) begin(entry Entry) (<-chan result, Decision, error) {
	made, err := KeyTime(entry.Key.Text)
	if err != nil {
		return nil, Decision{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return nil, Decision{}, ErrNotReady
	}
	if decision, decided := s.fold.held(entry.Key, entry.Digest); decided {
		return nil, decision, nil
	}
	if made.Add(-Skew).Before(s.covered) {
		// Records from before the first that was read back may have held a
		// claim of this key.
		return nil, Decision{Verdict: TooOld}, nil
	}
	answer := make(chan result, 1)
	s.pending[entry.ClaimID] = answer
	return answer, Decision{}, nil
}

// abandon takes a claim back that nobody waits for, and reports whether it was
// still undecided.
func (s *stream) abandon(entry Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, undecided := s.pending[entry.ClaimID]
	delete(s.pending, entry.ClaimID)
	return undecided
}

// renounce states that the claim's request did not run and never will.
func (s *stream) renounce(entry Entry) {
	entry.Kind = KindRenounce
	// Without room the key stays in the state "unknown", which is safe.
	_ = s.entries.TryPush(entry)
}

// loopAppend writes entries in batches until ctx ends.
func (s *stream) loopAppend(ctx context.Context) {
	for {
		first, err := s.entries.Pop(ctx)
		if err != nil {
			return
		}
		s.noteWriting(1)
		entries := s.collect(ctx, first)
		s.append(ctx, entries)
		s.noteWriting(0)
	}
}

func (s *stream) noteWriting(entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = entries
}

func (s *stream) unwrittenEntries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writing + s.entries.State().Depth
}

// collect waits a moment for more entries to share the append with.
func (s *stream) collect(ctx context.Context, first Entry) []Entry {
	entries := []Entry{first}
	size := len(first.Answer.Body)
	timer := time.NewTimer(s.cfg.BatchDelay)
	defer timer.Stop()
	for len(entries) < maxBatchEntries && size < maxBatchBytes {
		select {
		case entry := <-s.entries.Items():
			entries = append(entries, entry)
			size += len(entry.Answer.Body)
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
		s.failAll(entries, err)
		return
	}
	_, err = s.cfg.Log.Append(ctx, s.name, data)
	s.mu.Lock()
	s.appends++
	s.mu.Unlock()
	if errors.Is(err, logservice.ErrNotAppended) {
		s.failAll(entries, ErrNoLog)
		s.keepFinal(ctx, entries)
	}
	// An append without an answer may have taken effect. It is never sent
	// again; the tail sees it if it is there.
}

// keepFinal holds on to statements about finished runs, which must reach the
// log some time: without them the key stays "unknown".
func (s *stream) keepFinal(ctx context.Context, entries []Entry) {
	waiting.For(ctx, s.cfg.RetryDelay)
	for _, entry := range entries {
		if entry.Kind != KindClaim {
			_ = s.entries.TryPush(entry)
		}
	}
}

func (s *stream) failAll(entries []Entry, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range entries {
		if entry.Kind == KindClaim {
			s.settle(entry.ClaimID, result{err: err})
		}
	}
}

// settle tells a waiting claim its end. The caller holds mu.
func (s *stream) settle(claimID uuid.UUID, r result) {
	if answer, ok := s.pending[claimID]; ok {
		delete(s.pending, claimID)
		answer <- r
	}
}

// AtEnd implements tail.Sink.
func (s *stream) CaughtUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
}

// Restart implements tail.Sink. Records that this process has not seen have
// expired, so what was under way can no longer be decided.
func (s *stream) Reset(_ int64, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for claimID := range s.pending {
		s.settle(claimID, result{err: ErrUnknown})
	}
	s.fold = newFold()
	s.ready = false
	s.covered = began.Add(Skew - s.cfg.Retention)
}

// Take implements tail.Sink.
func (s *stream) ApplyRecord(record logservice.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = record.Offset + 1
	entries, err := Decode(record.Data)
	if err != nil {
		return // a record that is damaged for one reader is so for all
	}
	for _, entry := range entries {
		decision := s.fold.apply(entry, record.Time)
		if entry.Kind == KindClaim {
			s.settle(entry.ClaimID, result{decision: decision})
		}
	}
}
