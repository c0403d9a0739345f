// Package streamorigin records which software version began each stream, so that a caller who resumes a
// stream at any box gets the rest of it from the same version.
//
// Servers of several versions of their software may serve one service, and what two versions write for
// one stream does not fit together. A caller names the request that brought the first event of its
// stream, and neither that name nor the events contain a version. The box that began the stream has
// often crashed, together with all streams that it was relaying.
//
// While the servers of a service have more than one version, a box sends the origin of each stream to
// its holders: the first boxes of three zones by rendezvous hashing of the request, or of fewer zones
// where there are not as many. So any two boxes, or any zone, may be lost at once. A box that does not
// have the origin asks the holders, all at once, and uses the first answer that has it. Nothing is
// broadcast, so each box holds about three times as many origins as it begins streams, however many boxes
// there are. While a service has one version nothing is sent; when a second one appears, the origins of the
// streams in flight are.
//
// When all holders of a stream and the box that began it crash at once, none of that is left. So the origins
// of streams that last are recorded in the platform's log, too, by one box for many (recorder.go), and are
// read back when no holder has an origin.
//
// A stream without a record is one of its base version (package baseversion): the first event of a stream of any
// other version waits until its origin is in the log (await.go). Where no base version is known,
// such a stream is resumed only if all boxes that were asked know of one version (decide.go).
package streamorigin

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/originlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// keySize is large enough that no caller finds the key of another one's stream by search.
	keySize = 16
	// batchDelay is how long origins are collected before they are sent. A box that crashes loses those
	// of its last streams, which are a small part of the streams that it relays.
	batchDelay = 20 * time.Millisecond
	// recheckInterval is the time between two checks whether a service has a second version now.
	recheckInterval = 250 * time.Millisecond
	// dropInterval is the time between two searches for expired streams.
	dropInterval = 2 * time.Second
	// avoidDuration is how long a box that did not respond is replaced by the next one as a holder.
	avoidDuration = 2 * time.Second
)

// Key identifies a stream by the caller and its request ID.
type Key [keySize]byte

// KeyOf returns the key of a caller's request.
func KeyOf(caller, requestID string) Key {
	hash := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(caller)))
	for _, text := range [][]byte{length[:], []byte(caller), []byte(requestID)} {
		_, _ = hash.Write(text) // Write of a hash never returns an error
	}
	return Key(hash.Sum(nil)[:keySize])
}

// Origin is the software version that began a stream of a service.
type Origin struct {
	Service  string
	Software string
	// Stream is the hash by which the base version of the stream is chosen (baseversion.HashOf).
	Stream uint64
	// Expires is when the caller no longer resumes the stream.
	Expires time.Time
	// Alias is a second key under which the stream is found, by its box and in the log; zero if it has none.
	Alias Key
}

// Box is another box with the address at which it holds origins; an empty one means that it holds none.
type Box struct {
	Name    string
	Zone    string
	Address string
	// Process identifies the process of the box, which starts without origins; empty if unknown.
	Process string
	// Cores is the number of CPU cores that the box may use; zero if unknown.
	Cores float64
	// Unavailable boxes are asked, but origins are sent to others.
	Unavailable bool
}

// Config configures Origins.
type Config struct {
	Logger zerolog.Logger
	// Self is this box, and Others returns the other boxes that are listed.
	Self   Box
	Others func() []Box
	// Started reports whether the box knows the other boxes and the servers. Nil means that it does.
	Started func() bool
	// Versions returns the software versions of a service's servers now and in the last minute.
	Versions func(service string) []string
	// Writer and Reader record origins in the log and read them back, and LogEra returns the newest era of the
	// log that this box knows of. Nil means that origins are not recorded. LogEraSeenAt returns when the box first saw
	// that era; nil means that this is unknown.
	Writer       *originlog.Writer
	Reader       *originlog.Reader
	LogEra       func() int64
	LogEraSeenAt func() time.Time
	// Bases reads the base versions, and Services returns the services that have servers. Without Bases the first
	// event of a stream waits for no record.
	Bases    *baseversion.Keeper
	Services func() []string
	// Outages has when the log was away; nil means never.
	Outages *sharedlog.Outages
	// Dial connects to another box; nil selects TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Origins are the origins that this box has, of its own streams and of those that it holds for others.
type Origins struct {
	cfg    Config
	client *frame.Client
	server *frame.Server
	// startedAt is when the box started.
	startedAt time.Time

	mu    sync.Mutex
	known table
	// avoided maps boxes that did not respond to when they are used again.
	avoided map[string]time.Time
	// own has the streams of this box that have not been completed.
	own map[Key]*ownStream
	// checkedBoxes is a digest of the possible holders as of the last check of all streams.
	checkedBoxes uint64
	// failedRecorders maps boxes that did not record origins to when they are used again.
	failedRecorders map[string]time.Time
	// chosenRecorder is the recorder that was chosen last.
	chosenRecorder recorderChoice
	// recordedEra is the era of the log that the streams were recorded in.
	recordedEra int64
	// bases are the base versions as far as this box knows them.
	bases knownBases
	// awaited are the origins that are handed over next for streams whose first event waits.
	awaited *awaitedBatch
	// unrecordable has the origins whose record failed last.
	unrecordable unrecordable
	// wake and recordWake are signalled when there are origins to send and to record.
	wake, recordWake waiting.Signal
}

// ownStream is a stream of this box.
type ownStream struct {
	origin Origin
	// copies has the holders that have the origin, with the process that got it. checked is set if all present
	// holders have got it.
	copies  map[string]string
	checked bool
	// recorder is the box that has taken the origin to record it at recordedAt, with its process; empty if none
	// has.
	recorder, recorderProcess string
	recordedAt                time.Time
}

// New returns Origins without any.
func New(cfg Config) *Origins {
	o := &Origins{cfg: cfg, known: newTable(), avoided: map[string]time.Time{}, own: map[Key]*ownStream{}, failedRecorders: map[string]time.Time{}, startedAt: boottime.Now()}
	o.client = frame.NewClient(frame.ClientConfig{Dial: cfg.Dial, MaxIdle: maxIdle, MaxIdleTime: maxIdleTime, MaxResponseBytes: maxResponseBytes})
	o.server = frame.NewServer(cfg.Logger, o.serve)
	return o
}

// Note records that a server has sent the first event of a stream of this box, or continues one whose
// origin was found.
func (o *Origins) Note(key Key, origin Origin) {
	severalVersions := o.hasSeveralVersions(origin.Service)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := boottime.Now()
	o.known.add(key, origin, now)
	if origin.Alias != (Key{}) {
		o.known.add(origin.Alias, origin, now)
	}
	if len(o.own) >= maxOrigins {
		o.dropExpired(now)
	}
	if len(o.own) < maxOrigins {
		o.own[key] = &ownStream{origin: origin, copies: map[string]string{}}
	}
	if severalVersions {
		o.wake.Broadcast()
		o.recordWake.Broadcast()
	}
}

// Complete records that the caller has the whole stream, so that nobody resumes it.
func (o *Origins) Complete(key Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.own, key)
}

// dropExpired drops this box's streams that callers no longer resume. The caller holds mu.
func (o *Origins) dropExpired(now time.Time) {
	maps.DeleteFunc(o.own, func(_ Key, stream *ownStream) bool { return !now.Before(stream.origin.Expires) })
}

// uptime returns how long the box has been running.
func (o *Origins) uptime() time.Duration { return boottime.Since(o.startedAt) }

func (o *Origins) hasSeveralVersions(service string) bool { return len(o.cfg.Versions(service)) > 1 }

// Loop sends origins to their holders until ctx ends.
func (o *Origins) Loop(ctx context.Context) {
	defer o.client.CloseIdle()
	droppedAt, wake := boottime.Now(), o.wake.Chan()
	for ctx.Err() == nil {
		if now := boottime.Now(); now.Sub(droppedAt) >= dropInterval {
			droppedAt = now
			o.mu.Lock()
			o.dropExpired(now)
			o.mu.Unlock()
		}
		waiting.ForOrSignal(ctx, recheckInterval, wake)
		waiting.For(ctx, batchDelay)
		wake = o.wake.Chan() // before the work, so that it is signalled for streams that begin meanwhile
		o.send(ctx)
	}
}

// LoopAccept serves other boxes until ctx ends.
func (o *Origins) LoopAccept(ctx context.Context, listener net.Listener) {
	o.server.LoopAccept(ctx, listener)
}

// Wait waits until all connections have been served; LoopAccept must have returned.
func (o *Origins) Wait() { o.server.Wait() }

// serve handles the requests on one connection.
func (o *Origins) serve(ctx context.Context, connection net.Conn, reader *frame.Reader) {
	for ctx.Err() == nil {
		if err := connection.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		var received request
		if err := frame.Read(reader, &received, maxRequestBytes); err != nil {
			return
		}
		answer := o.handle(ctx, received)
		if err := frame.Write(connection, &answer, exchangeTimeout); err != nil {
			return
		}
	}
}
