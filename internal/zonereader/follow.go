// The follower's side: a box polls its reader and applies the responses. When the reader does not
// respond, the box chooses another one at once.

package zonereader

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// chooseInterval is the time between two attempts to choose a reader while there is none.
	chooseInterval = 200 * time.Millisecond
	// rootHold and rootTimeout replace longPoll and responseTimeout between readers of zones and the
	// root. rootPollInterval and rootLongPoll are those of the root's reads of the log.
	rootHold         = 100 * time.Millisecond
	rootTimeout      = 200 * time.Millisecond
	rootPollInterval = 300 * time.Millisecond
	rootLongPoll     = 500 * time.Millisecond
	// maxRootAge is the age of the root's view of a stream above which a reader leaves it: the root
	// may be cut off from the log, which it finds out later. Its first responses, within
	// newRootGrace, may be older, since it becomes the root when the others leave the last one.
	maxRootAge   = 650 * time.Millisecond
	newRootGrace = 300 * time.Millisecond
	// reconsiderInterval is the time between two choices while the reader responds.
	reconsiderInterval = time.Second
	// boxesKnownInterval is the time between two checks whether the list of boxes is known, which
	// is the first thing that a starting box reads.
	boxesKnownInterval = 20 * time.Millisecond
	// requestPause separates a response and the next request, so that a response contains several
	// changes.
	requestPause = 100 * time.Millisecond
	// responseTimeout bounds the wait for a response in addition to its long poll. It is longer
	// than two retransmissions of a lost packet take.
	responseTimeout = 400 * time.Millisecond
	// avoidDuration is how long a box that did not respond is not followed.
	avoidDuration = 2 * time.Second
	// avoidLostDuration is the same for a reader that cannot read the log, and maxLostInRow how
	// many such readers are left in a row: after these it is the log that is down, and no other
	// reader would do better. Without leaving, a reader that alone is cut off from the log would
	// make all boxes of its zone read directly.
	avoidLostDuration = 5 * time.Second
	// notFoundInterval is the time between two log lines on readers that were not found.
	notFoundInterval = 5 * time.Second
	maxLostInRow     = 2
)

// errReaderLostLog means that the reader cannot read the log.
var errReaderLostLog = merry.Sentinel("the reader cannot read the log")

// LoopFollow follows the reader that is chosen for this box until ctx ends.
func (m *Member) LoopFollow(ctx context.Context) {
	m.bootstrap(ctx)
	for ctx.Err() == nil {
		if !m.cfg.BoxesKnown() {
			waiting.For(ctx, boxesKnownInterval) // the choice of a reader depends on the list of boxes
			continue
		}
		reader, chosen := m.choose()
		if chosen.following == "" {
			m.adoptView(ctx)
		}
		m.setRole(chosen)
		if chosen.following == "" {
			waiting.For(ctx, chooseInterval)
			continue
		}
		if found, err := m.follow(ctx, reader, chosen); err != nil && ctx.Err() == nil {
			m.logFailure(reader.Name, found, err)
			m.avoid(reader.Name, err)
		}
	}
}

// LoopForgetOutages follows readers again that could not read the log, once the log is in a later era, until
// ctx ends. Otherwise all boxes of an outage would read the streams of that era in full.
func (m *Member) LoopForgetOutages(ctx context.Context) {
	for ctx.Err() == nil {
		wake := m.cfg.Eras.Changed()
		m.forgetOutages()
		select {
		case <-wake:
		case <-ctx.Done():
		}
	}
}

func (m *Member) forgetOutages() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for reader := range m.lostLog {
		delete(m.avoided, reader)
	}
	clear(m.lostLog)
	m.lostInRow = 0
}

// ExpectsReader reports whether this box follows a reader, or is to follow one as soon as readers that could
// not read the log are followed again.
func (m *Member) ExpectsReader() bool {
	if m.Following() != "" {
		return true
	}
	m.forgetOutages()
	_, chosen := m.choose()
	return chosen.following != ""
}

// choose returns this box's role, and the reader to follow among the boxes that respond, if any.
func (m *Member) choose() (Box, role) {
	direct := role{reader: true}
	if !m.cfg.Mechanisms.Enabled(mechanism.ZoneReaders) {
		return Box{}, direct
	}
	others := m.cfg.Others()
	addresses := make(map[string]string, len(others))
	boxes := make([]delegate.Box, len(others))
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	for i, box := range others {
		boxes[i], addresses[box.Name] = box.Box, box.Address
		boxes[i].Unavailable = box.Unavailable || now.Before(m.avoided[box.Name])
	}
	m.standby = delegate.IsStandby(readerRole, m.cfg.Self.Box, boxes)
	if chosen, follow := delegate.Choose(readerRole, m.cfg.Self.Box, boxes); follow {
		return Box{chosen, addresses[chosen.Name]}, role{following: chosen.Name}
	}
	roots := delegate.Roots(readerRole, append(boxes, m.cfg.Self.Box))
	if len(roots) == 0 {
		return Box{}, direct
	}
	if roots[0].Name == m.cfg.Self.Name {
		return Box{}, role{reader: true, root: true}
	}
	m.standby = roots[1].Name == m.cfg.Self.Name
	return Box{roots[0], addresses[roots[0].Name]}, role{following: roots[0].Name, reader: true}
}

// setRole applies this box's role.
func (m *Member) setRole(next role) {
	m.mu.Lock()
	before, first := m.current, !m.roleLogged
	m.current, m.roleLogged = next, true
	m.advertised = m.advertised && next.reader
	if next.following == "" {
		m.loggedFollowing = role{}
	}
	m.mu.Unlock()
	if next == before && !first {
		return
	}
	m.roleChanged.Broadcast()
	m.applyPolling(next)
	if next.following == "" && (before.following != "" || first) {
		m.cfg.Registry.ReadDirectly()
	}
	if next.reader && (!before.reader || first) {
		m.cfg.Parts.PollDirectly()
	}
	if next.following == "" {
		m.cfg.Logger.Info().Bool("root", next.root).Msg("direct_reading_started")
	}
}

// applyPolling makes the root poll the log more often than other boxes would.
func (m *Member) applyPolling(next role) {
	if next.root {
		m.cfg.Registry.SetPolling(rootPollInterval, rootLongPoll)
		return
	}
	m.cfg.Registry.ResetPolling()
}

// noteFound logs that this box follows a reader, when the reader has sent its first response.
func (m *Member) noteFound(s *session) {
	if s.found {
		return
	}
	s.found = true
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loggedFollowing != s.role {
		m.loggedFollowing = s.role
		m.cfg.Logger.Info().Str("reader", s.role.following).Bool("zone_reader", s.role.reader).Msg("reader_followed")
	}
}

// logFailure logs why a reader is left. Readers that have sent no response may be starting, and all
// others of a zone may be tried within a second, so these are counted in one line.
func (m *Member) logFailure(reader string, found bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if found {
		m.loggedFollowing = role{}
		m.cfg.Logger.Warn().Str("reader", reader).Str("error", err.Error()).Msg("reader_lost")
		return
	}
	m.notFound++
	if now := boottime.Now(); now.Sub(m.notFoundLoggedAt) >= notFoundInterval {
		m.cfg.Logger.Warn().Str("reader", reader).Int("count", m.notFound).Str("error", err.Error()).Msg("readers_not_found")
		m.notFound, m.notFoundLoggedAt = 0, now
	}
}

// avoid excludes a reader that failed from the choice for a while.
func (m *Member) avoid(reader string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	length := avoidDuration
	if errors.Is(err, errReaderLostLog) {
		length = avoidLostDuration
		m.lostLog[reader] = true
	}
	m.avoided[reader] = boottime.Now().Add(length)
}

// follow polls a reader until that fails, which it returns as an error, or until this box is to
// follow another one. found reports whether the reader has sent a response.
func (m *Member) follow(ctx context.Context, reader Box, chosen role) (found bool, err error) {
	connection, err := m.cfg.Dial(ctx, reader.Address)
	if err != nil {
		return false, err
	}
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })() // when this box stops
	defer connection.Close()
	s := newSession(connection, chosen)
	for ctx.Err() == nil {
		if err := m.poll(s); err != nil {
			return s.found, err
		}
		if len(s.loads) == 0 && !chosen.reader { // the next page of a view is requested at once
			waiting.For(ctx, requestPause)
		}
		if !m.shouldStay(s) {
			return s.found, nil
		}
	}
	return s.found, nil
}

// shouldStay reports whether the reader is still the one to follow. Until the list of boxes is
// known, it is. The choice takes time in proportion to the boxes, so while the list stays the same a
// reader that responds is reconsidered seldom.
func (m *Member) shouldStay(s *session) bool {
	if !m.cfg.BoxesKnown() {
		return true
	}
	now, list := boottime.Now(), m.cfg.Registry.Position(sharedlog.Boxes)
	if list == s.chosenBy && now.Sub(s.chosenAt) < reconsiderInterval {
		return true
	}
	s.chosenAt, s.chosenBy = now, list
	_, chosen := m.choose()
	return chosen == s.role
}

// poll sends one request and applies the response.
func (m *Member) poll(s *session) error {
	sentAt := boottime.Now()
	if err := frame.Write(s.connection, m.newRequest(s), ioTimeout); err != nil {
		return err
	}
	if err := s.connection.SetReadDeadline(time.Now().Add(s.timeout())); err != nil {
		return err
	}
	var received response
	if err := frame.Read(s.buffered, &received, maxResponseBytes); err != nil {
		return err
	}
	s.withoutView = hasNoView(received.Streams)
	m.noteFound(s)
	if m.shouldLeave(received.LogLost || s.isStale(received.Streams)) {
		return errReaderLostLog
	}
	if received.Quarantine != nil && m.cfg.Quarantine != nil {
		m.cfg.Quarantine.ApplySnapshot(*received.Quarantine) // before this box knows servers to send calls to
	}
	m.cfg.Registry.SetReloadFromReader(received.Relayed)
	// The reader made its response no earlier than this.
	asOf := sentAt.Add(received.Held)
	for i, update := range received.Streams {
		if i < len(received.Digests) {
			update.Digest = received.Digests[i]
		}
		next, paged := received.Pages[update.Stream]
		if !paged {
			m.applyStream(update, asOf)
			continue
		}
		if err := m.applyPage(s, update, next, asOf); err != nil {
			return err
		}
	}
	for _, packed := range received.Stores {
		update, err := packed.unpack()
		if err != nil {
			return err
		}
		if m.cfg.Parts.ApplyUpdate(update, asOf) {
			s.lists[update.Address] = update.Position.Lists
		}
	}
	return nil
}

// shouldLeave reports whether to leave a reader because it cannot read the log.
func (m *Member) shouldLeave(lost bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readerLostLog = lost
	if !lost {
		m.lostInRow = 0
		return false
	}
	if m.lostInRow >= maxLostInRow {
		return false
	}
	m.lostInRow++
	return true
}

func (m *Member) newRequest(s *session) *request {
	next := request{
		Streams: map[sharedlog.Stream]int64{}, Stores: map[string]partindex.Position{}, Doubted: m.cfg.Parts.OverdueStores(),
		Paged: true, Eras: true, Hold: s.hold, Loads: s.cursors(), Quarantine: m.cfg.Quarantine != nil && !m.cfg.Quarantine.IsLoaded(),
	}
	for _, stream := range registry.ForwardedStreams() {
		next.Streams[stream] = m.cfg.Registry.ReaderPosition(stream)
	}
	if s.role.reader {
		return &next // readers poll the store boxes themselves
	}
	for address, position := range m.cfg.Parts.Positions() {
		position.Lists = s.lists[address]
		next.Stores[address] = position
	}
	return &next
}
