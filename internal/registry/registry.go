// Package registry maintains a box's view of the streams of the platform's log: what operators
// declare, which backend servers there are, and which entry boxes.
//
// The newest record of each key is read once, and after that only records that were added. When the
// log no longer retains the next record, the newest records are read again. A record that cannot be
// decoded changes nothing: the previous one stays in force. Declared versions never decrease.
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

// Declaration is a decoded record of the operators' stream; exactly one field is set.
type Declaration struct {
	Catalog *catalog.Catalog
	Weights *WeightsDeclaration
}

// Decoder decodes records into the product's types.
type Decoder interface {
	// Declaration returns nil for records of other kinds.
	Declaration(record sharedlog.Record) (*Declaration, error)
	// Evacuation returns false for records that neither evacuate a zone nor end an evacuation. A
	// record without a value ends the evacuation that its key names.
	Evacuation(record sharedlog.Record) (evacuation.Change, bool)
	// Server returns a server, or an update without one if the server has been removed.
	Server(record sharedlog.Record) (fleet.Update, error)
	// Rank orders the records of a key of the operators' and the servers' streams by what their content
	// says, such as a version. It returns false for records without such a statement.
	Rank(stream sharedlog.Stream, record sharedlog.Record) (Rank, bool)
}

// Config configures a Registry.
type Config struct {
	Log sharedlog.Log
	// Eras knows the eras of the log that this box has seen. Nil means those of this package's reads.
	Eras    *sharedlog.Eras
	Decoder Decoder
	Fleet   *fleet.Fleet
	Logger  zerolog.Logger
	// OnCatalog is called with each new catalog.
	OnCatalog func(*catalog.Catalog)
	// OnBoxes is called with the new records of the entry boxes' stream, where a record without a
	// value means that the box has left. It is also called after the first read if that lists no
	// box. It is nil where the stream is not used.
	OnBoxes func([]sharedlog.Record)
	// OnBoxesRestored is called when that stream came back from a copy; has reports whether the log has
	// the newest record of a box. It may be nil.
	OnBoxesRestored func(has func(box string) bool)
	// FirstReadDelay is how long after the start the operators' and the servers' streams are not
	// read, unless this box has to read directly. A box that gets them from a reader within that
	// time need not read them at all.
	FirstReadDelay time.Duration
	// HasReader reports whether this box follows a reader, which will report when the log has
	// recovered, and ReaderLostLog whether that reader reports that it cannot read the log either.
	// Where they are nil, both are false.
	HasReader     func() bool
	ReaderLostLog func() bool
	// ExpectsReader reports whether this box follows a reader or is about to; nil stands for HasReader.
	ExpectsReader func() bool
	// ServersDeadline is the time within which a leaving server must get no new calls, and
	// OperatorDeadline that within which a configuration must be in force.
	ServersDeadline  time.Duration
	OperatorDeadline time.Duration
	// ServerHeartbeat is the time between two entries of a server; zero means that it is unknown.
	ServerHeartbeat time.Duration
	// PollInterval is the time between two reads of the servers' stream.
	PollInterval time.Duration
	// LongPoll is the longest time that a read of the operators' stream waits for a record.
	LongPoll time.Duration
	// StreamsChanged is signalled when a stream has changed.
	StreamsChanged *waiting.Signal
}

// Defaults of Config.
const (
	// DefaultPollInterval leaves more than half of the 2 s within which a leaving server must stop
	// getting new calls. A long poll would return on each heartbeat of each server, which costs no
	// less than polling.
	DefaultPollInterval = 600 * time.Millisecond
	// DefaultLongPoll is short enough for this box and its followers to detect a dead connection
	// within the time by which a new configuration must be in force.
	DefaultLongPoll = 800 * time.Millisecond
	// boxesLongPoll and boxesPause are the same two for the stream of boxes. It changes only when
	// boxes start and stop, and no deadline depends on it; the pause lets boxes that start or stop
	// together be read at once.
	boxesLongPoll = 20 * time.Second
	boxesPause    = 500 * time.Millisecond
)

// Registry maintains the view of the streams.
type Registry struct {
	cfg     Config
	catalog atomic.Pointer[catalog.Catalog]

	// applyMu serializes the application of records, which come from the log and from other boxes,
	// so that each batch is compared with the result of the one before.
	applyMu sync.Mutex
	// shared has the values that entries of servers have in common, and catalogRecord is the record of the
	// configuration in force. applyMu guards both.
	shared        sharedValues
	catalogRecord sharedlog.Record

	mu sync.Mutex
	// weights holds the versions declared for each model, the newest last.
	weights map[string][]DeclaredWeights
	lost    map[sharedlog.Stream]bool
	states  map[sharedlog.Stream]*streamState
	// serversReadAt is the readAt of the servers' stream, for readers that must not wait for mu.
	serversReadAt atomic.Pointer[time.Time]

	// pollInterval and longPoll replace those of cfg if they are not zero, in nanoseconds.
	pollInterval atomic.Int64
	longPoll     atomic.Int64
	// pollingSet is signalled when these are set.
	pollingSet waiting.Signal

	// reloadFromReader is set by SetReloadFromReader.
	reloadFromReader atomic.Bool

	// readDirectly is signalled when this box must read the log itself instead of waiting for its
	// reader, and direct is set once this has happened.
	readDirectly waiting.Signal
	direct       bool
	// logBack is signalled when the operators' stream can be read again.
	logBack waiting.Signal
	// streamsChanged is signalled after changes, for those who wait to forward them to other boxes.
	streamsChanged *waiting.Signal
}

// New returns a registry with an empty view.
func New(cfg Config) *Registry {
	cfg.PollInterval = cmp.Or(cfg.PollInterval, DefaultPollInterval)
	cfg.LongPoll = cmp.Or(cfg.LongPoll, DefaultLongPoll)
	cfg.ServersDeadline = max(cfg.ServersDeadline, DefaultDeadline)
	cfg.OperatorDeadline = max(cfg.OperatorDeadline, DefaultDeadline)
	cfg.StreamsChanged = cmp.Or(cfg.StreamsChanged, &waiting.Signal{})
	cfg.Eras = cmp.Or(cfg.Eras, &sharedlog.Eras{})
	never := func() bool { return false }
	if cfg.HasReader == nil {
		cfg.HasReader = never
	}
	if cfg.ExpectsReader == nil {
		cfg.ExpectsReader = cfg.HasReader
	}
	if cfg.ReaderLostLog == nil {
		cfg.ReaderLostLog = never
	}
	return &Registry{
		cfg: cfg, weights: map[string][]DeclaredWeights{}, lost: map[sharedlog.Stream]bool{}, streamsChanged: cfg.StreamsChanged,
		states: map[sharedlog.Stream]*streamState{},
	}
}

// state returns the state of a stream. The caller holds mu.
func (r *Registry) state(stream sharedlog.Stream) *streamState {
	if r.states[stream] == nil {
		r.states[stream] = newStreamState()
	}
	return r.states[stream]
}

// Catalog returns the configuration in force, or nil before the first.
func (r *Registry) Catalog() *catalog.Catalog { return r.catalog.Load() }

const (
	// MaxReadAge is the age up to which the view of the operators' stream counts as recent: updates
	// from a reader may be maxOperatorUpdateAge old, and then a direct read takes a while.
	MaxReadAge = maxOperatorUpdateAge + slowReadTime
	// slowReadTime is how long a read takes when the store is slow, long poll or not.
	slowReadTime = time.Second
)

// OperatorReadAt returns the latest moment up to which this box knows all records of the operators'
// stream.
func (r *Registry) OperatorReadAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(sharedlog.Operator).readAt
}

// ServersAge returns how long ago this box last knew all records of the servers' stream.
func (r *Registry) ServersAge() time.Duration {
	if readAt := r.serversReadAt.Load(); readAt != nil {
		return boottime.Since(*readAt)
	}
	return boottime.Since(time.Time{})
}

// setReadAt records a moment up to which all records of a stream are known. The caller holds mu.
func (r *Registry) setReadAt(stream sharedlog.Stream, readAt time.Time) {
	s := r.state(stream)
	if !readAt.After(s.readAt) {
		return
	}
	s.readAt = readAt
	if stream == sharedlog.Servers {
		r.serversReadAt.Store(&readAt)
	}
}

// LoopOperator reads the operators' stream until ctx ends.
func (r *Registry) LoopOperator(ctx context.Context) {
	r.deferFirstRead(sharedlog.Operator)
	r.readLoop(ctx, sharedlog.Operator)
}

// LoopServers reads the servers' stream until ctx ends.
func (r *Registry) LoopServers(ctx context.Context) {
	r.deferFirstRead(sharedlog.Servers)
	r.readLoop(ctx, sharedlog.Servers)
}

// polling defines how a stream is read.
type polling struct {
	// longPoll is the longest time that a read waits for a record, and pause the time between two
	// reads.
	longPoll, pause time.Duration
	// afterRecords bounds the long poll after one that returned records. That one proves only what
	// was there when it began, so without a bound the age of the view could reach two long polls.
	// Zero means no bound.
	afterRecords time.Duration
}

// SetPolling sets the time between two reads of the servers' stream, and the longest wait of a read
// of the operators' stream. If they change, the present pause or long poll ends, since it may be longer
// than the view may be old: the readers of other zones would leave a new root at once.
func (r *Registry) SetPolling(pollInterval, longPoll time.Duration) {
	before := r.pollInterval.Swap(int64(pollInterval))
	beforeLongPoll := r.longPoll.Swap(int64(longPoll))
	if before != int64(pollInterval) || beforeLongPoll != int64(longPoll) {
		r.pollingSet.Broadcast()
	}
}

// ResetPolling makes this box read the streams as configured, from the next read on.
func (r *Registry) ResetPolling() {
	r.pollInterval.Store(0)
	r.longPoll.Store(0)
}

func (r *Registry) currentPolling(stream sharedlog.Stream) polling {
	switch stream {
	case sharedlog.Servers:
		return polling{pause: cmp.Or(time.Duration(r.pollInterval.Load()), r.cfg.PollInterval)}
	case sharedlog.Boxes:
		return polling{longPoll: boxesLongPoll, pause: boxesPause}
	default:
		if longPoll := time.Duration(r.longPoll.Load()); longPoll > 0 {
			return polling{longPoll: longPoll, afterRecords: longPoll / 5}
		}
		return polling{longPoll: r.cfg.LongPoll}
	}
}

// LoopBoxes reads the stream of entry boxes until ctx ends.
func (r *Registry) LoopBoxes(ctx context.Context) {
	r.deferFirstRead(sharedlog.Boxes)
	r.readLoop(ctx, sharedlog.Boxes)
}

// deferFirstRead delays the first read of a stream, so that a reader may send the stream before. A
// box that has been made to read directly does not wait.
func (r *Registry) deferFirstRead(stream sharedlog.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.state(stream); s.validUntil.IsZero() && !r.direct && !s.direct {
		s.validUntil = boottime.Now().Add(r.cfg.FirstReadDelay)
	}
}
