// Package settle is the last stage: it releases the capacity that a request used, updates the metrics,
// and writes one log line per request.
package settle

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/ring"
	"github.com/cometlock/cometlock/internal/telemetry"
)

// Record describes one finished request. It contains no API key, prompt or answer.
type Record struct {
	RequestID    string
	Organisation string
	Kind         flow.Kind
	Model        string
	Server       string
	Priority     config.Priority
	Arrived      time.Time
	FirstChunk   time.Time
	Ended        time.Time
	Chunks       int
	PromptTokens int
	WarmTokens   int
	Resumes      int
	Reruns       int
	Failure      *apierror.Error
	// Target is the deployment's target for the time to first token; 0 if unknown.
	Target time.Duration
}

// NewRecord creates a record with the data of a request.
func NewRecord(request *flow.Request) Record {
	record := Record{
		RequestID: request.ID, Kind: request.Kind, Model: request.Model, Priority: request.Priority,
		Arrived: request.Arrived, PromptTokens: request.Chain.Tokens(), WarmTokens: request.Placement.WarmTokens,
	}
	if request.Snapshot != nil {
		record.Target = time.Duration(request.Snapshot.File().Objectives.FirstTokenTargetMillis) * time.Millisecond
	}
	if request.Organisation != nil {
		record.Organisation = request.Organisation.Name
	}
	if request.Placement.Server != nil {
		record.Server = request.Placement.Server.Name
	}
	return record
}

// Config is the configuration of a Stage.
type Config struct {
	Logger zerolog.Logger
	Scope  tally.Scope
	// Capacity bounds the number of records that wait to be written.
	Capacity int
}

// DefaultCapacity is the default of Config.Capacity.
const DefaultCapacity = 8192

// Stage settles requests.
type Stage struct {
	logger  zerolog.Logger
	scope   tally.Scope
	records *ring.Ring[Record]
	dropped tally.Counter
	settled atomic.Int64
}

// New creates the stage.
func New(cfg Config) *Stage {
	if cfg.Capacity == 0 {
		cfg.Capacity = DefaultCapacity
	}
	return &Stage{
		logger: cfg.Logger, scope: cfg.Scope, dropped: cfg.Scope.Counter("records_lost"),
		records: ring.New[Record](ring.Config{Name: "settle", Capacity: cfg.Capacity}),
	}
}

// Settle releases the capacity that the request uses and queues its record. It never blocks: at a very
// high rate of rejections a record may be dropped, which is counted.
func (s *Stage) Settle(request *flow.Request, record Record) {
	request.Placement.Handle.Done(record.Failure == nil)
	request.Release()
	record.Ended = time.Now()
	s.settled.Add(1)
	if !s.records.TryPush(record) {
		s.dropped.Inc(1)
	}
}

// Settled returns the number of settled requests.
func (s *Stage) Settled() int64 { return s.settled.Load() }

// Ring returns the state of the stage's ring.
func (s *Stage) Ring() ring.State { return s.records.State() }

// Loop writes records until ctx is done.
func (s *Stage) Loop(ctx context.Context) {
	for {
		record, err := s.records.Pop(ctx)
		if err != nil {
			return
		}
		s.count(record)
		s.log(record)
	}
}

func (s *Stage) count(record Record) {
	outcome := "ok"
	if record.Failure != nil {
		outcome = string(record.Failure.Outcome)
	}
	scope := s.scope.Tagged(map[string]string{"outcome": outcome, "priority": string(record.Priority), "model": record.Model})
	scope.Counter("requests").Inc(1)
	scope.Counter("chunks").Inc(int64(record.Chunks))
	scope.Counter("resumes").Inc(int64(record.Resumes))
	scope.Counter("reruns").Inc(int64(record.Reruns))
	scope.Counter("prompt_tokens").Inc(int64(record.PromptTokens))
	scope.Counter("warm_tokens").Inc(int64(min(record.WarmTokens, record.PromptTokens)))
	if !record.FirstChunk.IsZero() {
		if record.Target > 0 && record.FirstChunk.Sub(record.Arrived) > record.Target {
			scope.Counter("first_chunks_over_target").Inc(1)
		}
		scope.Histogram("first_chunk_seconds", telemetry.LatencyBuckets()).RecordDuration(record.FirstChunk.Sub(record.Arrived))
	}
}

func (s *Stage) log(record Record) {
	event := s.logger.Info()
	if record.Failure != nil {
		event = s.logger.Warn().Str("code", record.Failure.Code).Str("outcome", string(record.Failure.Outcome))
	}
	if !record.FirstChunk.IsZero() {
		event.Dur("first_chunk_ms", record.FirstChunk.Sub(record.Arrived))
	}
	event.Str("request", record.RequestID).Str("organisation", record.Organisation).Str("model", record.Model).
		Str("server", record.Server).Str("priority", string(record.Priority)).Int("chunks", record.Chunks).
		Int("prompt_tokens", record.PromptTokens).Int("warm_tokens", record.WarmTokens).
		Int("resumes", record.Resumes).Int("reruns", record.Reruns).
		Dur("total_ms", record.Ended.Sub(record.Arrived)).Msg("request")
}
