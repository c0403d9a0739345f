// Package zonereader elects one box of a zone, the reader, to read the platform's log and poll the
// store boxes, and to forward what it learns to the other boxes, its followers.
//
// Each call of the log has a price and a store box can serve only a dozen pollers, so the number of
// calls must not grow with the number of boxes. Every box computes the reader from the list of
// boxes by rendezvous hashing (package delegate), without a lease or any agreement. Boxes with
// different lists may have several readers for a while, which costs calls and nothing else. A box
// that gets no update in time reads directly (packages registry and partindex define when), so a
// reader that crashes, freezes or is cut off delays its followers by a bounded time: at most 0.7 s
// until they notice, or, if the reader itself is cut off from the log, 1.6 s, for which its last
// update may be used.
//
// The alternatives are worse: a lease in the log costs a call a second, and no box reads while the
// lease changes hands; with gossip an update passes several boxes, so its age is a multiple of one
// hop, and the deadlines leave 2 s; with every box sending to every other the traffic grows with
// the square of their number. With one reader for a zone, which its followers poll, there is one
// hop, and a request costs the reader 0.1 ms.
//
// In a fleet of three zones and more one of the readers, the root, reads the log for the readers of
// the other zones, which follow it as their own boxes follow them. The bytes that are read from the
// log then do not grow with the zones either. This second hop is short: it has no pause between
// requests, a long poll of a third, and a shorter timeout, and the root polls the log more often, so
// that updates are no older than with one hop. Every reader polls the store boxes itself. A zone
// that is cut off from the root goes on by itself.
package zonereader

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Box is an entry box, with the address at which it serves its followers.
type Box struct {
	delegate.Box
	Address string
}

// maxBoxesPerReader bounds the boxes of one reader: 192 of them together send 480 requests a second,
// at 0.15 ms each, an acceptable load for a large box of the zone. A store box serves twelve pollers,
// and there are no more readers than that in a fleet of 2,000 boxes in six zones.
const maxBoxesPerReader = 192

// readerRole configures the election of readers.
var readerRole = delegate.Config{Role: "reader", BoxesPerDelegate: maxBoxesPerReader}

// Config configures a Member.
type Config struct {
	Registry *registry.Registry
	Parts    *partindex.Index
	Logger   zerolog.Logger
	// Self is this box, and Others returns those that may be its reader. BoxesKnown reports whether
	// the list of boxes is known yet; nil means that it always is.
	Self       Box
	Others     func() []Box
	BoxesKnown func() bool
	// StreamsChanged is signalled when a forwarded stream of this box has changed, PartsChanged
	// when the state of a store box has; nil where it never does.
	StreamsChanged *waiting.Signal
	PartsChanged   *waiting.Signal
	// Log holds the directory of readers; nil means that there is none. FirstSystemStart is true
	// when the whole system starts for the first time.
	Log              sharedlog.Log
	FirstSystemStart bool
	// Mechanisms records which mechanisms are switched off.
	Mechanisms mechanism.Switches
	// Dial connects to another box; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Member is one box as a reader or follower of its zone.
type Member struct {
	cfg Config

	mu sync.Mutex
	// current is this box's role. roleLogged means that it has been chosen and logged.
	current    role
	roleLogged bool
	// loggedFollowing is the role in which this box was last logged as following a reader, until the
	// reader is left. notFound counts the readers that were not found since notFoundLoggedAt.
	loggedFollowing  role
	notFound         int
	notFoundLoggedAt time.Time
	// advertised means that the directory has an entry of this box as a reader.
	advertised bool
	// roleChanged is signalled when this box becomes a reader or a follower.
	roleChanged waiting.Signal
	// avoided holds the readers that failed, and until when they are not followed.
	avoided map[string]time.Time
	// lostInRow counts the readers that were left in a row since they could not read the log.
	lostInRow int
	// readerLostLog means that the current reader cannot read the log.
	readerLostLog bool
	// standby means that this box would be the next reader where one box reads for all.
	standby bool
	// pages keeps the pages of full views that several followers request.
	pages pageCache
	// followers counts the boxes that are connected to this one.
	followers int
	// transfers bounds the full states of store boxes that are under way to followers.
	transfers transfers
	// responding bounds the responses that are made at a time.
	responding chan struct{}
	server     *frame.Server
}

// New returns a member that reads directly.
func New(cfg Config) *Member {
	if cfg.Dial == nil {
		dialer := net.Dialer{Timeout: ioTimeout}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.PartsChanged == nil {
		cfg.PartsChanged = &waiting.Signal{}
	}
	if cfg.BoxesKnown == nil {
		cfg.BoxesKnown = func() bool { return true }
	}
	m := &Member{cfg: cfg, avoided: map[string]time.Time{}, responding: make(chan struct{}, maxResponding), transfers: make(transfers, maxTransfers)}
	m.server = frame.NewServer(cfg.Logger, m.serve)
	return m
}

// role is what a box does for its zone.
type role struct {
	// following names the reader that this box follows; it is empty while this box reads the log.
	following string
	// reader means that this box is the reader of its zone, and root that it reads the log for the
	// readers of all zones.
	reader, root bool
}

// Following names the reader that this box follows; it is empty while this box reads the log.
func (m *Member) Following() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.following
}

// IsReader reports whether this box is the reader of its zone.
func (m *Member) IsReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.reader
}

// IsRoot reports whether this box reads the log for the readers of all zones.
func (m *Member) IsRoot() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.root
}

// ReaderLostLog reports whether this box's reader has announced that it cannot read the log.
func (m *Member) ReaderLostLog() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.following != "" && m.readerLostLog
}

// Standby reports whether this box would be the next reader where one box reads for all.
func (m *Member) Standby() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standby
}

// request is a follower's request to its reader for the changes since the follower's positions.
type request struct {
	Streams map[sharedlog.Stream]int64    `msgpack:"s"`
	Stores  map[string]partindex.Position `msgpack:"p"`
	// Doubted lists the store boxes whose state the follower has reason to doubt.
	Doubted []string `msgpack:"d,omitempty"`
	// Paged means that the follower accepts full views in pages, and Loads holds its position in
	// those that it has begun to receive.
	Paged bool                                     `msgpack:"g,omitempty"`
	Loads map[sharedlog.Stream]registry.LoadCursor `msgpack:"l,omitempty"`
	// Hold bounds the long poll; zero means longPoll.
	Hold time.Duration `msgpack:"h,omitempty"`
}

// response holds the changes since the positions of a request.
type response struct {
	Streams []registry.StreamUpdate `msgpack:"s"`
	// Digests are those of the updates in Streams, in the same order.
	Digests []uint64       `msgpack:"d,omitempty"`
	Stores  []packedUpdate `msgpack:"p"`
	// Held is the time from the arrival of the request to the making of the response.
	Held time.Duration `msgpack:"h"`
	// LogLost means that the reader cannot read the log.
	LogLost bool `msgpack:"l,omitempty"`
	// Pages holds the records of those updates in Streams that are pages of a full view.
	Pages map[sharedlog.Stream]page `msgpack:"g,omitempty"`
	// Relayed means that the sender follows a root.
	Relayed bool `msgpack:"r,omitempty"`
}

const (
	// longPoll is how long a request waits for changes. Updates age by it and by requestPause, so
	// partindex and registry allow for it in the ages up to which they use an update.
	longPoll = 300 * time.Millisecond
	// maxRequestBytes and maxResponseBytes bound messages: 40 bytes for each store box in a
	// request; 300 bytes for each server and 60 for each part, of which store boxes may keep some
	// ten thousand, in a response.
	maxRequestBytes  = 64 << 10
	maxResponseBytes = 4 << 20
	// idleTimeout bounds the wait for the next request on a connection.
	idleTimeout = 10 * time.Second
	// ioTimeout bounds a write and a connect.
	ioTimeout = 300 * time.Millisecond
)

// maxResponding bounds the responses that are made at a time, without their transfer. Making one takes
// only processor time, and up to some 100 KB until it is encoded.
const maxResponding = 8

// LoopAccept serves followers until ctx ends.
func (m *Member) LoopAccept(ctx context.Context, listener net.Listener) {
	m.server.LoopAccept(ctx, listener)
}

// Wait waits until all connections have been served; LoopAccept must have returned.
func (m *Member) Wait() { m.server.Wait() }

// serve answers the requests of one follower on one connection.
func (m *Member) serve(ctx context.Context, connection net.Conn, reader *bufio.Reader) {
	m.addFollowers(1)
	defer m.addFollowers(-1)
	for ctx.Err() == nil {
		if err := connection.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		var received request
		if err := frame.Read(reader, &received, maxRequestBytes); err != nil {
			return
		}
		if err := m.answer(ctx, connection, received); err != nil {
			return
		}
	}
}

// answer sends the response to a request.
func (m *Member) answer(ctx context.Context, connection net.Conn, r request) error {
	sent, release, err := m.respond(ctx, r)
	defer release()
	if err != nil {
		m.cfg.Logger.Error().Str("error", err.Error()).Msg("response_not_encoded")
		return err
	}
	return frame.WriteParts(connection, sent, ioTimeout)
}

// hasUnknownStore reports whether the follower knows nothing of a store box. After a power failure
// all boxes start at once, and until they know which parts are kept, all prompts are prefilled
// again.
func (r request) hasUnknownStore() bool {
	for _, position := range r.Stores {
		if position.Epoch == 0 {
			return true
		}
	}
	return false
}

// addFollowers changes the number of followers.
func (m *Member) addFollowers(delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.followers += delta
}

// maxPushFollowers is the number of followers up to which a change of a store box ends their long
// polls. Under load these changes never stop, and 50 boxes with ten requests a second each would
// take 5% of a core of their reader, at 0.1 ms a request.
const maxPushFollowers = 12

// pushesParts reports whether changes of store boxes end the long polls of followers.
func (m *Member) pushesParts() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.followers <= maxPushFollowers
}

// respond returns the encoded response to a request: the changes since its positions, at the end of
// the long poll or as soon as there are changes that end it early. The caller calls release once the
// response has been sent.
func (m *Member) respond(ctx context.Context, r request) (encoded [][]byte, release func(), err error) {
	receivedAt := boottime.Now()
	m.cfg.Parts.MarkOverdue(r.Doubted)
	push := m.pushesParts() || r.hasUnknownStore()
	hold := longPoll
	if r.Hold > 0 {
		hold = min(r.Hold, longPoll)
	}
	isOverdue := func() bool { return boottime.Since(receivedAt) >= hold || ctx.Err() != nil }
	room := room{transfers: m.transfers}
	for {
		streamsWake, partsWake := m.cfg.StreamsChanged.Chan(), m.cfg.PartsChanged.Chan()
		if !push {
			partsWake = nil
		}
		if (push || isOverdue()) && m.needsFullState(r) {
			room.acquire(ctx, m.roomWait(r, hold-boottime.Since(receivedAt)))
		}
		next, isDue, err := m.tryRespond(r, receivedAt, responseLimits{push: push, overdue: isOverdue(), fullStates: room.acquired})
		if isDue || err != nil {
			return next, room.release, err
		}
		m.waitForChange(ctx, hold-boottime.Since(receivedAt), streamsWake, partsWake)
	}
}

// responseLimits defines which changes make a response due, and what it may contain.
type responseLimits struct {
	// push means that changes of store boxes make it due, and overdue that it is due in any case.
	push, overdue bool
	// fullStates means that it may contain full states of store boxes.
	fullStates bool
}

// tryRespond returns the encoded response to a request if it is due.
func (m *Member) tryRespond(r request, receivedAt time.Time, limits responseLimits) (encoded [][]byte, isDue bool, err error) {
	m.responding <- struct{}{}
	defer func() { <-m.responding }()
	held := boottime.Since(receivedAt)
	next, streamsChanged, partsChanged := m.collect(r, limits.fullStates)
	if !limits.overdue && !streamsChanged && !(limits.push && partsChanged) {
		return nil, false, nil
	}
	next.Held, next.LogLost, next.Relayed = held, m.cfg.Registry.LogLost(), m.Following() != ""
	encoded, err = next.encode()
	return encoded, true, err
}

// waitForChange waits for a time, or until either signal.
func (m *Member) waitForChange(ctx context.Context, length time.Duration, streamsWake, partsWake <-chan struct{}) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-streamsWake:
	case <-partsWake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// maxPartsPerResponse is the number of parts in a response after which no further store box is sent
// in full; the follower soon sends another request. After a power failure 50 boxes at once request
// all that 47 store boxes keep: 20 MB within less than the response timeout, and 105 MB of memory
// in the reader.
const maxPartsPerResponse = 2000

// collectStream returns the changes of a stream since a request's position, or the next page of the
// full view, which it describes in the response.
func (m *Member) collectStream(r request, stream sharedlog.Stream, collected *response) (update registry.StreamUpdate, changed bool) {
	from, listed := r.Streams[stream]
	if !listed {
		from = sharedlog.FromNewest
	}
	cursor, loading := r.Loads[stream]
	if !loading && (!r.Paged || !m.cfg.Registry.NeedsLoad(stream, from)) {
		return m.cfg.Registry.UpdateSince(stream, from)
	}
	next, err := m.loadPage(stream, cursor)
	if err != nil {
		m.cfg.Logger.Error().Stringer("stream", stream).Str("error", err.Error()).Msg("page_not_encoded")
		return m.cfg.Registry.UpdateSince(stream, from)
	}
	if collected.Pages == nil {
		collected.Pages = map[sharedlog.Stream]page{}
	}
	collected.Pages[stream] = next.page
	return next.update, true
}

// collect returns the changes since a request's positions, and whether a stream or a store box has
// changed. Without fullStates it defers what has to be sent in full of a store box.
func (m *Member) collect(r request, fullStates bool) (collected response, streamsChanged, partsChanged bool) {
	for _, stream := range registry.ForwardedStreams() {
		update, changed := m.collectStream(r, stream, &collected)
		collected.Streams = append(collected.Streams, update)
		collected.Digests = append(collected.Digests, update.Digest)
		streamsChanged = streamsChanged || changed
	}
	parts := 0
	collected.Stores = make([]packedUpdate, 0, len(r.Stores))
	for address, since := range r.Stores {
		if m.cfg.Parts.NeedsFull(address, since) && (!fullStates || parts > maxPartsPerResponse) {
			collected.Stores = append(collected.Stores, pack(partindex.StoreUpdate{Address: address, Unknown: true}))
			partsChanged = true
			continue // it is sent with a later response
		}
		update, changed, known := m.cfg.Parts.UpdateSince(address, since)
		if known {
			parts += len(update.Parts)
			collected.Stores = append(collected.Stores, pack(update))
			partsChanged = partsChanged || changed
		}
	}
	return collected, streamsChanged, partsChanged
}
