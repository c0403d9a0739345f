// Package registry follows the streams of the platform's log that say what there
// is: what operators declare, and what backend servers say of themselves.
//
// The newest records of all keys are read once; from then on only what was added.
// When the log no longer keeps what comes next, the newest records are read again.
// A record that cannot be decoded changes nothing: what was known stays in force.
// Declarations go forward only.
package registry

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/evacuation"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Declaration is one word of the operators; exactly one field is set.
type Declaration struct {
	Catalog *catalog.Catalog
	Weights *WeightsDeclaration
}

// Decoder turns records into the product's types.
type Decoder interface {
	// Declaration gives nil for records of no interest.
	Declaration(record sharedlog.Record) (*Declaration, error)
	// Evacuation gives false for records that evacuate no zone and take none back. A record
	// without a value takes back what its key said.
	Evacuation(record sharedlog.Record) (evacuation.Change, bool)
	// Server gives a server, or that it is gone.
	Server(record sharedlog.Record) (fleet.Update, error)
}

// Config sets up a Registry.
type Config struct {
	Log     sharedlog.Log
	Decoder Decoder
	Fleet   *fleet.Fleet
	Logger  zerolog.Logger
	// Changed is told of each new catalog.
	OnCatalog func(*catalog.Catalog)
	// Boxes is told of what is new in the stream of entry boxes, a record without a value
	// for one that has left, and of the first reading also when it names none; nil where
	// nobody follows that stream.
	OnBoxes func([]sharedlog.Record)
	// FirstWait is how long the operators' and the servers' streams are not read after the
	// start, unless this box is to read for itself, so that a box that will be told need not
	// read them at all.
	FirstReadDelay time.Duration
	// Followed reports whether this box follows another one, which will tell it when the log
	// is back, and TellerLost whether that one says that it cannot read the log either; nil
	// means that it never does.
	HasReader     func() bool
	ReaderLostLog func() bool
	// Pace is the time between two looks at the servers' stream.
	PollInterval time.Duration
	// Hold is the longest time that a read of the operators' stream waits for a record.
	LongPoll time.Duration
	// News is woken when a stream says anything new.
	StreamsChanged *waiting.Signal
}

// Defaults of Config.
const (
	// DefaultPace leaves more than half of the two seconds within which a leaving
	// server must get nothing new. A held read would return with each heartbeat of
	// each server, which is no cheaper than a loop.
	DefaultPollInterval = 600 * time.Millisecond
	// DefaultHold is short enough that a connection that died without a word is
	// found within the time that a configuration must be in force, by this box and by
	// those that it tells.
	DefaultLongPoll = 800 * time.Millisecond
	// boxesHold and boxesPause are the same two for the stream of boxes. It changes only
	// when boxes start and stop, and no bound of time rests on it; those that do so together
	// are read at once.
	boxesHold  = 20 * time.Second
	boxesPause = 500 * time.Millisecond
)

// Registry follows the streams.
type Registry struct {
	cfg     Config
	catalog atomic.Pointer[catalog.Catalog]

	// turn lets one take over records at a time, from the log or from another box, so
	// that the later of two is judged by what the earlier left.
	turn sync.Mutex

	mu sync.Mutex
	// weights holds the versions named for each model, the newest last.
	weights map[string][]DeclaredWeights
	lost    map[sharedlog.Stream]bool
	tails   map[sharedlog.Stream]*tail
	// serversReadAt is that of the servers' stream, for readers that must not wait for mu.
	serversReadAt atomic.Pointer[time.Time]

	// readItself ends the waiting for the word of another box, and reads says that it has
	// ever been sent.
	readItself waiting.Signal
	reads      bool
	// back is sent when the operators' stream can be read again.
	back waiting.Signal
	// news wakes those who wait to tell other boxes what was read.
	news *waiting.Signal
}

// New makes a registry that knows nothing.
func New(cfg Config) *Registry {
	cfg.PollInterval = cmp.Or(cfg.PollInterval, DefaultPollInterval)
	cfg.LongPoll = cmp.Or(cfg.LongPoll, DefaultLongPoll)
	cfg.StreamsChanged = cmp.Or(cfg.StreamsChanged, &waiting.Signal{})
	never := func() bool { return false }
	if cfg.HasReader == nil {
		cfg.HasReader = never
	}
	if cfg.ReaderLostLog == nil {
		cfg.ReaderLostLog = never
	}
	return &Registry{
		cfg: cfg, weights: map[string][]DeclaredWeights{}, lost: map[sharedlog.Stream]bool{}, news: cfg.StreamsChanged,
		tails: map[sharedlog.Stream]*tail{},
	}
}

// tail gives what is known of a stream. The caller holds mu.
func (r *Registry) tail(stream sharedlog.Stream) *tail {
	if r.tails[stream] == nil {
		r.tails[stream] = newTail()
	}
	return r.tails[stream]
}

// Catalog gives the configuration in force, or nil before the first.
func (r *Registry) Catalog() *catalog.Catalog { return r.catalog.Load() }

const (
	// ReadFresh is how long the reading of all that operators declared counts as
	// recent: what a box is told may be operatorToldFor old, and then it takes a while
	// to read for itself.
	MaxReadAge = operatorToldFor + nextReadTime
	// nextReadTime is what a read takes when the store is slow, held or not.
	nextReadTime = time.Second
)

// OperatorReadAt is the last moment of which this box knows all that operators had
// declared by then.
func (r *Registry) OperatorReadAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tail(sharedlog.Operator).readAt
}

// ServersAge is how long ago this box knew all that the servers' stream then held.
func (r *Registry) ServersAge() time.Duration {
	if readAt := r.serversReadAt.Load(); readAt != nil {
		return boottime.Since(*readAt)
	}
	return boottime.Since(time.Time{})
}

// knownUpTo notes a moment up to which all records of a stream are known. The caller holds mu.
func (r *Registry) knownUpTo(stream sharedlog.Stream, readAt time.Time) {
	t := r.tail(stream)
	if !readAt.After(t.readAt) {
		return
	}
	t.readAt = readAt
	if stream == sharedlog.Servers {
		r.serversReadAt.Store(&readAt)
	}
}

// LoopOperator follows the operators' stream until ctx ends.
func (r *Registry) LoopOperator(ctx context.Context) {
	r.awaitTeller(sharedlog.Operator)
	r.loop(ctx, sharedlog.Operator, r.cfg.LongPoll, 0)
}

// LoopServers follows the servers' stream until ctx ends.
func (r *Registry) LoopServers(ctx context.Context) {
	r.awaitTeller(sharedlog.Servers)
	r.loop(ctx, sharedlog.Servers, 0, r.cfg.PollInterval)
}

// LoopBoxes follows the stream of entry boxes until ctx ends.
func (r *Registry) LoopBoxes(ctx context.Context) {
	r.loop(ctx, sharedlog.Boxes, boxesHold, boxesPause)
}

// awaitTeller has a stream not read until another box may have told of it, for a while after
// the start. Whoever is to read for itself ends that at once.
func (r *Registry) awaitTeller(stream sharedlog.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tail(stream); t.toldUntil.IsZero() && !r.reads {
		t.toldUntil = boottime.Now().Add(r.cfg.FirstReadDelay)
	}
}

// take takes over records that were read of a stream or told of it.
func (r *Registry) take(stream sharedlog.Stream, records []sharedlog.Record, read reading) {
	r.turn.Lock()
	defer r.turn.Unlock()
	r.takeInTurn(stream, records, read)
}

// takeInTurn passes on what records say that is new. The caller holds turn. What is new is
// judged in one place, by the stream's tail: when the fleet judged by itself which of two
// records was the later one, an old word could bring a server back that a whole reading had
// not named.
func (r *Registry) takeInTurn(stream sharedlog.Stream, records []sharedlog.Record, read reading) {
	r.decode(stream, records, &read)
	r.mu.Lock()
	news := r.tail(stream).take(read)
	r.mu.Unlock()
	if len(news) > 0 || read.whole {
		r.news.Send()
	}
	switch stream {
	case sharedlog.Servers:
		r.takeServers(news)
	case sharedlog.Boxes:
		r.takeBoxes(news)
	default:
		r.takeDeclarations(records)
		r.takeEvacuations(news)
	}
}

// takeBoxes passes on which boxes are new, have moved, or are gone.
func (r *Registry) takeBoxes(news []entry) {
	if r.cfg.OnBoxes == nil {
		return
	}
	records := make([]sharedlog.Record, len(news))
	for i, next := range news {
		records[i] = next.record
	}
	r.cfg.OnBoxes(records)
}

// decode adds records to a reading, with what they say of servers. The registry may hold
// entries of other writers: one that is not understood names no server that may be used.
func (r *Registry) decode(stream sharedlog.Stream, records []sharedlog.Record, read *reading) {
	read.records = make([]said, 0, len(records))
	for _, record := range records {
		next := said{record: record}
		if stream == sharedlog.Servers {
			update, err := r.cfg.Decoder.Server(record)
			next.server, next.unclear = update.Server, err != nil
			r.noteUnclear(record, err)
		}
		read.records = append(read.records, next)
	}
}

// noteUnclear tells of an entry that is not understood, once as long as it stays so.
func (r *Registry) noteUnclear(record sharedlog.Record, err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	known := r.tail(sharedlog.Servers).entries[record.Key].unclear
	r.mu.Unlock()
	if !known {
		r.cfg.Logger.Error().Str("key", record.Key).Int64("offset", record.Offset).Str("error", err.Error()).Msg("server_not_understood")
	}
}

// takeEvacuations passes on which zones are evacuated or taken back. It goes by what is new in
// the stream rather than by records: a whole reading takes a zone back by not naming it.
func (r *Registry) takeEvacuations(news []entry) {
	for _, next := range news {
		if change, found := r.cfg.Decoder.Evacuation(next.record); found {
			r.cfg.Fleet.Evacuate(change)
		}
	}
}

func (r *Registry) takeDeclarations(records []sharedlog.Record) {
	for _, record := range records {
		declaration, err := r.cfg.Decoder.Declaration(record)
		switch {
		case err != nil:
			r.cfg.Logger.Error().Str("key", record.Key).Int64("offset", record.Offset).Str("error", err.Error()).Msg("declaration_not_understood")
		case declaration == nil:
		case declaration.Catalog != nil:
			r.takeCatalog(declaration.Catalog, record.Offset)
		case declaration.Weights != nil:
			r.takeWeights(*declaration.Weights, record.Offset)
		}
	}
}

func (r *Registry) takeCatalog(next *catalog.Catalog, offset int64) {
	if now := r.catalog.Load(); now != nil && next.Version() <= now.Version() {
		return
	}
	r.catalog.Store(next)
	r.cfg.Logger.Info().Int64("version", next.Version()).Int64("offset", offset).Msg("configuration_in_force")
	if r.cfg.OnCatalog != nil {
		r.cfg.OnCatalog(next)
	}
}

func (r *Registry) takeServers(news []entry) {
	if len(news) == 0 {
		return
	}
	updates := make([]fleet.Update, len(news))
	for i, next := range news {
		updates[i] = fleet.Update{Key: next.record.Key, Offset: next.record.Offset, Server: next.server, Unclear: next.unclear}
	}
	r.cfg.Fleet.Apply(updates)
}
