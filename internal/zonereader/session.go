// A follower's connection to its reader, with the full views that it is receiving in pages.

package zonereader

import (
	"bufio"
	"net"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// session is one connection of a follower to a reader.
type session struct {
	connection net.Conn
	// role is this box's role while it follows the reader.
	role     role
	buffered *bufio.Reader
	// hold bounds the long poll; zero means longPoll.
	hold time.Duration
	// found means that the reader has sent a response, and withoutView that it had a view of no stream
	// that has a deadline.
	found, withoutView bool
	// openedAt is when the session began.
	openedAt time.Time
	// chosenAt is when the reader was last found to be the one to follow, and chosenBy the position
	// of the list of boxes by which it was.
	chosenAt time.Time
	chosenBy int64
	// lists holds, for each store box, how many of its lists the reader's updates have included.
	lists map[string]int
	// loads holds the views that are incomplete. They belong to this reader: another one may list
	// the entries in another order.
	loads map[sharedlog.Stream]*load
}

// load is a full view that is being received.
type load struct {
	cursor  registry.LoadCursor
	records []sharedlog.Record
}

func newSession(connection net.Conn, chosen role) *session {
	s := &session{openedAt: boottime.Now(), connection: connection, role: chosen, buffered: bufio.NewReader(connection), lists: map[string]int{}, loads: map[sharedlog.Stream]*load{}}
	if chosen.reader {
		s.hold = rootHold
	}
	return s
}

// timeout bounds the wait for a response. A page of a view takes a small box a while to receive.
func (s *session) timeout() time.Duration {
	if s.role.reader && len(s.loads) == 0 {
		return rootHold + rootTimeout
	}
	return longPoll + responseTimeout
}

// isStale reports whether the root's view is too old for the boxes that follow this reader. The list
// of boxes has no deadline.
func (s *session) isStale(updates []registry.StreamUpdate) bool {
	if !s.role.reader || boottime.Since(s.openedAt) < newRootGrace {
		return false
	}
	return slices.ContainsFunc(updates, func(u registry.StreamUpdate) bool {
		return u.Stream != sharedlog.Boxes && !u.NeverRead && u.Age > maxRootAge
	})
}

// hasNoView reports whether updates show that their sender has a view of no stream that has a deadline.
func hasNoView(updates []registry.StreamUpdate) bool {
	return !slices.ContainsFunc(updates, func(u registry.StreamUpdate) bool { return u.Stream != sharedlog.Boxes && !u.NeverRead })
}

// cursors returns the positions in the incomplete views.
func (s *session) cursors() map[sharedlog.Stream]registry.LoadCursor {
	cursors := make(map[sharedlog.Stream]registry.LoadCursor, len(s.loads))
	for stream, next := range s.loads {
		cursors[stream] = next.cursor
	}
	return cursors
}

// add adds a page to the view of a stream, and returns all records received so far.
func (s *session) add(stream sharedlog.Stream, received page) ([]sharedlog.Record, error) {
	records, err := received.records()
	if err != nil {
		return nil, err
	}
	next := s.loads[stream]
	if next == nil || received.Restarted {
		next = &load{}
		s.loads[stream] = next
	}
	next.cursor, next.records = received.Next, append(next.records, records...)
	return next.records, nil
}

// applyPage adds a page to a full view, and applies the view once the last page has arrived.
func (m *Member) applyPage(s *session, update registry.StreamUpdate, received page, asOf time.Time) error {
	records, err := s.add(update.Stream, received)
	if err != nil {
		return err
	}
	if received.More {
		m.cfg.Registry.AwaitReader(update.Stream)
		return nil
	}
	delete(s.loads, update.Stream)
	update.Records = records
	m.applyStream(update, asOf)
	return nil
}

// applyStream applies an update of a stream.
func (m *Member) applyStream(update registry.StreamUpdate, asOf time.Time) {
	if update.NeverRead && !m.ReaderLostLog() && m.cfg.Registry.Position(update.Stream) < 0 {
		m.cfg.Registry.AwaitReader(update.Stream) // the reader has just started too
		return
	}
	m.cfg.Registry.ApplyUpdate(update, asOf)
}
