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
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Declaration is one word of the operators; exactly one field is set.
type Declaration struct {
	Catalog *catalog.Catalog
	Weights *WeightsNamed
}

// Decoder turns records into the product's types.
type Decoder interface {
	// Declaration gives nil for records of no interest.
	Declaration(record sharedlog.Record) (*Declaration, error)
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
	Changed func(*catalog.Catalog)
	// Boxes is told of what is new in the stream of entry boxes, a record without a value
	// for one that has left, and of the first reading also when it names none; nil where
	// nobody follows that stream.
	Boxes func([]sharedlog.Record)
	// FirstWait is how long the operators' and the servers' streams are not read after the
	// start, unless this box is to read for itself, so that a box that will be told need not
	// read them at all.
	FirstWait time.Duration
	// Followed reports whether this box follows another one, which will tell it when the log
	// is back, and TellerLost whether that one says that it cannot read the log either; nil
	// means that it never does.
	Followed   func() bool
	TellerLost func() bool
	// Pace is the time between two looks at the servers' stream.
	Pace time.Duration
	// Hold is the longest time that a read of the operators' stream waits for a record.
	Hold time.Duration
	// News is woken when a stream says anything new.
	News *waiting.Signal
}

// Defaults of Config.
const (
	// DefaultPace leaves more than half of the two seconds within which a leaving
	// server must get nothing new. A held read would return with each heartbeat of
	// each server, which is no cheaper than a loop.
	DefaultPace = 600 * time.Millisecond
	// DefaultHold is short enough that a connection that died without a word is
	// found within the time that a configuration must be in force, by this box and by
	// those that it tells.
	DefaultHold = 800 * time.Millisecond
	// boxesHold and boxesPause are the same two for the stream of boxes. It changes only
	// when boxes start and stop, and no bound of time rests on it; those that do so together
	// are read at once.
	boxesHold  = 20 * time.Second
	boxesPause = 500 * time.Millisecond
)

// Timing of reads.
const (
	// callLimit bounds a call besides the time that it is held; the store answers
	// in 4 ms, and in 260 ms when it is slow.
	callLimit = time.Second
	// urgentLimit bounds a read by a box that was told until now, whose connection has
	// rested and may have gone silent, and the one after a read that failed. What it was
	// told is old by then: with callLimit no box of eight knew of a leaving server 1.9 s
	// after its reader had stood still.
	urgentLimit = 350 * time.Millisecond
	// timerMargin is how much sooner than asked an answer may come and count as held:
	// the timers of the platform's simulated machines fire a little off.
	timerMargin = 60 * time.Millisecond
	// shortestPause and longestPause bound the pause after a failed call.
	shortestPause = 100 * time.Millisecond
	longestPause  = 400 * time.Millisecond
	// leastFollowerPause and spreadFollowerPause make up the pause after the second call in a
	// row that failed of a box that follows another one: it will be told when the log is
	// back, and asks in case that box alone is cut off from it. Nothing is bound to a time
	// until the log has been back for three seconds. In an outage of 8 s, 295 boxes that each
	// asked twice a second made two thirds of all calls of a day.
	leastFollowerPause  = 1200 * time.Millisecond
	spreadFollowerPause = 800 * time.Millisecond
	// longestServersPause is how long such a box does not ask for the servers' stream at most
	// while the operators' is lost too.
	longestServersPause = 4 * time.Second
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
	weights map[string][]NamedWeights
	lost    map[sharedlog.Stream]bool
	tails   map[sharedlog.Stream]*tail

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
	cfg.Pace = cmp.Or(cfg.Pace, DefaultPace)
	cfg.Hold = cmp.Or(cfg.Hold, DefaultHold)
	cfg.News = cmp.Or(cfg.News, &waiting.Signal{})
	never := func() bool { return false }
	if cfg.Followed == nil {
		cfg.Followed = never
	}
	if cfg.TellerLost == nil {
		cfg.TellerLost = never
	}
	return &Registry{
		cfg: cfg, weights: map[string][]NamedWeights{}, lost: map[sharedlog.Stream]bool{}, news: cfg.News,
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
	ReadFresh = operatorToldFor + nextReadTime
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
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.tail(sharedlog.Servers).readAt)
}

// LoopOperator follows the operators' stream until ctx ends.
func (r *Registry) LoopOperator(ctx context.Context) {
	r.awaitTeller(sharedlog.Operator)
	r.loop(ctx, sharedlog.Operator, r.cfg.Hold, 0)
}

// LoopServers follows the servers' stream until ctx ends.
func (r *Registry) LoopServers(ctx context.Context) {
	r.awaitTeller(sharedlog.Servers)
	r.loop(ctx, sharedlog.Servers, 0, r.cfg.Pace)
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
		t.toldUntil = time.Now().Add(r.cfg.FirstWait)
	}
}

// loop reads a stream: whole at first and after a gap, then what was added. A
// read is held for hold, and pause lies between two reads. The read after one that
// failed is not held, so that its answer says at once that the log is back and what
// was missed; until then kept parts may not be fetched. Nor is the first one after another
// box told of the stream; until then nothing is read.
func (r *Registry) loop(ctx context.Context, stream sharedlog.Stream, hold, pause time.Duration) {
	failed, failurePause := 0, shortestPause
	wait := time.Duration(0) // the reading of all is not held
	for ctx.Err() == nil {
		wasTold := r.waitWhileTold(ctx, stream)
		if wasTold {
			wait = 0
		}
		next := r.readFrom(stream)
		asked := time.Now()
		page, whole, err := sharedlog.ReadOn(ctx, r.cfg.Log, stream, next, wait, limitAfter(failed, wasTold))
		if err != nil {
			r.noteLost(ctx, stream, asked, err)
			wait = 0
			failed++
			r.pauseAfter(ctx, stream, failed, failurePause)
			failurePause = min(2*failurePause, longestPause)
			continue
		}
		failed, failurePause = 0, shortestPause
		r.noteBack(stream, page.Next)
		expired := whole && next >= 0
		if expired {
			r.cfg.Logger.Info().Stringer("stream", stream).Int64("from", next).Int64("offset", page.Next).Msg("records_expired")
		}
		if whole || len(page.Records) > 0 {
			r.take(stream, page.Records, reading{next: page.Next, whole: whole, raw: !whole})
		}
		if !whole && len(page.Records) == 0 {
			asked = provenUpTo(asked, wait)
		}
		r.noteRead(stream, asked, page, whole)
		wait = spreadHold(hold)
		if expired {
			waiting.For(ctx, shortestPause) // so that a log that keeps nothing is not asked all the time
		}
		waiting.For(ctx, pause)
	}
}

// pauseAfter lies after a number of calls in a row that failed. A box that follows another
// one asks once more soon, since the connection may just have gone silent, and then seldom;
// and as long as it can read neither stream, it asks for one of them. That none reads for
// this box any more ends the pause.
func (r *Registry) pauseAfter(ctx context.Context, stream sharedlog.Stream, failed int, usual time.Duration) {
	ended, back := r.readItself.Wait(), r.back.Wait()
	switch {
	case failed < 2 && !r.cfg.TellerLost() || !r.cfg.Followed():
		waiting.For(ctx, usual/2+rand.N(usual))
	case stream == sharedlog.Servers && r.Lost():
		waiting.ForOr(ctx, longestServersPause, back)
	default:
		waiting.ForOr(ctx, leastFollowerPause+rand.N(spreadFollowerPause), ended)
	}
}

// readFrom gives the offset that the next reading begins at.
func (r *Registry) readFrom(stream sharedlog.Stream) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tail(stream).readFrom()
}

// limitAfter gives the time for a read after some that failed. Every other one has the
// usual time, for a log that is slower than the short one allows.
func limitAfter(failed int, wasTold bool) time.Duration {
	if failed%2 == 1 || failed == 0 && wasTold {
		return urgentLimit
	}
	return callLimit
}

// spreadHold gives the time for which the next read is held: half of hold or more. Each
// record ends the held reads of all boxes at once. Were the next ones held alike, they
// would end at the same moments for long, and no box could date what is named between
// two of them more closely than the others.
func spreadHold(hold time.Duration) time.Duration {
	if hold == 0 {
		return 0
	}
	return hold/2 + rand.N(hold/2)
}

// provenUpTo gives the moment up to which an answer without records, which has just come,
// proves that there are none: that of the question or, when the log held the answer for
// the whole time that it was asked to, the end of that time.
func provenUpTo(asked time.Time, held time.Duration) time.Time {
	if held > 0 && time.Since(asked) >= held-timerMargin {
		return asked.Add(held - timerMargin)
	}
	return asked
}

// noteRead notes up to where a stream was read and, if that was its end, that all of its
// records up to a moment are known.
func (r *Registry) noteRead(stream sharedlog.Stream, upTo time.Time, page sharedlog.Page, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(stream)
	t.next = max(t.next, page.Next)
	t.reread = t.reread && !whole
	if page.Next >= page.End && upTo.After(t.readAt) {
		t.readAt = upTo
	}
}

func (r *Registry) noteLost(ctx context.Context, stream sharedlog.Stream, asked time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	if stream == sharedlog.Servers {
		r.cfg.Fleet.RegistryLost(asked)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lost[stream] {
		r.lost[stream] = true
		r.cfg.Logger.Warn().Stringer("stream", stream).Str("error", err.Error()).Msg("log_lost")
	}
}

func (r *Registry) noteBack(stream sharedlog.Stream, next int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost[stream] {
		r.lost[stream] = false
		r.cfg.Logger.Info().Stringer("stream", stream).Int64("offset", next).Msg("log_back")
		switch stream {
		case sharedlog.Servers:
			r.cfg.Fleet.RegistryBack()
		case sharedlog.Operator:
			r.back.Send()
		}
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
	}
}

// takeBoxes passes on which boxes are new, have moved, or are gone.
func (r *Registry) takeBoxes(news []entry) {
	if r.cfg.Boxes == nil {
		return
	}
	records := make([]sharedlog.Record, len(news))
	for i, next := range news {
		records[i] = next.record
	}
	r.cfg.Boxes(records)
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
	if r.cfg.Changed != nil {
		r.cfg.Changed(next)
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
