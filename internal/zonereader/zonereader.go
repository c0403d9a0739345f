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
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/quarantinelog"
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
	// Quarantine has what the log has of what is quarantined; nil means nothing.
	Quarantine *quarantinelog.Keeper
	// Log holds the directory of readers; nil means that there is none. FirstSystemStart is true
	// when the whole system starts for the first time.
	Log              sharedlog.Log
	FirstSystemStart bool
	// Eras knows the eras of the log that this box has seen; nil means none but era 0.
	Eras *sharedlog.Eras
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
	// advertised means that the directory has an entry of this box as a reader, which was written in
	// advertisedEra. The log may have lost it in a later one.
	advertised    bool
	advertisedEra int64
	// adoptAgainAt is when other boxes may be asked for their views again, and notAdoptedLoggedAt when it was last
	// logged that none sent it. Only LoopFollow uses them.
	adoptAgainAt, notAdoptedLoggedAt time.Time
	// roleChanged is signalled when this box becomes a reader or a follower.
	roleChanged waiting.Signal
	// avoided holds the readers that failed, and until when they are not followed. Those that could not
	// read the log are in lostLog until the log is in another era, which some box has read.
	avoided map[string]time.Time
	lostLog map[string]bool
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
	if cfg.Eras == nil {
		cfg.Eras = &sharedlog.Eras{}
	}
	m := &Member{cfg: cfg, avoided: map[string]time.Time{}, lostLog: map[string]bool{}, responding: make(chan struct{}, maxResponding), transfers: make(transfers, maxTransfers)}
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

// ReadsLog reports whether this box has begun to read the log itself.
func (m *Member) ReadsLog() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roleLogged && m.current.following == ""
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
	// Eras means that the follower knows positions that hold an era. Boxes of an earlier version read a
	// log with eras themselves: they would take such a position for an offset.
	Eras bool `msgpack:"e,omitempty"`
	// Quarantine means that the follower does not have what the log has of what is quarantined.
	Quarantine bool `msgpack:"q,omitempty"`
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
	// Quarantine has what is quarantined, for a follower that asks for it.
	Quarantine *quarantinelog.Snapshot `msgpack:"q,omitempty"`
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
