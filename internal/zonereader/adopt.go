// The start of a box that reads the log itself, when the log came back from a copy: other boxes hold what the
// copy lacks, such as the removal of a key, and this box would go by the copy. So it gets the view of another
// box first, as a follower does, and reads the log on from there.

package zonereader

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// adoptAttempts is the number of boxes that may fail to send their view, and adoptTimeout bounds each of
	// them, so that the first read is not delayed for long when boxes are unreachable.
	adoptAttempts = 3
	adoptTimeout  = 600 * time.Millisecond
	// adoptRound bounds all requests together, since boxes without a view may respond late too.
	adoptRound = adoptAttempts * adoptTimeout
	// maxWithoutView is the number of boxes that may respond that they have no view. If all boxes have just
	// started, none has one. If nine in ten have, one of this many others has a view in four of five cases.
	maxWithoutView = 16
	// adoptPause separates two rounds of requests while the log cannot be read either.
	adoptPause = 2 * time.Second
	// adoptHold is the long poll of a request for a view: a box that has one responds at once.
	adoptHold = 10 * time.Millisecond
)

// errNoView means that a box has just started too and has no view of a stream.
var errNoView = merry.Sentinel("the box has no view")

// mayLackRecords reports whether the log may lack records that other boxes hold.
func (m *Member) mayLackRecords() bool {
	era, _ := m.cfg.Eras.Newest()
	return era > 0
}

// adoptView gets the streams from another box, if this one has just started and the log may lack records.
func (m *Member) adoptView(ctx context.Context) {
	if !m.mayLackRecords() || m.hasView() || boottime.Now().Before(m.adoptAgainAt) {
		return
	}
	others := m.cfg.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	ctx, cancel := context.WithTimeout(ctx, adoptRound)
	defer cancel()
	failed, without := 0, 0
	var lastError error
	for _, other := range others {
		if other.Unavailable {
			continue
		}
		if failed == adoptAttempts || without == maxWithoutView || ctx.Err() != nil {
			break
		}
		err := m.adoptFrom(ctx, other)
		if err == nil {
			m.cfg.Logger.Info().Str("from", other.Name).Msg("view_adopted")
			return
		}
		if errors.Is(err, errNoView) {
			without++
			continue
		}
		failed, lastError = failed+1, err
	}
	if without > 0 { // where no box responded, those that do may have a view
		m.adoptAgainAt = boottime.Now().Add(adoptPause)
	}
	// Where connections are refused, a round takes no time, and there are five a second.
	if now := boottime.Now(); now.Sub(m.notAdoptedLoggedAt) >= adoptPause {
		m.notAdoptedLoggedAt = now
		m.cfg.Logger.Info().Int("failed", failed).Int("without_view", without).AnErr("error", lastError).Msg("view_not_adopted")
	}
}

// adoptFrom follows a box until it has sent its views of the streams.
func (m *Member) adoptFrom(ctx context.Context, other Box) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	connection, err := m.cfg.Dial(ctx, other.Address)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })() // ends a poll that gets no response
	defer connection.Close()
	s := newSession(connection, role{following: other.Name})
	s.hold = adoptHold
	for ctx.Err() == nil {
		if err := m.poll(s); err != nil {
			return err
		}
		if m.hasView() {
			return nil
		}
		if s.withoutView {
			return errNoView
		}
		if len(s.loads) == 0 {
			waiting.For(ctx, requestPause)
		}
	}
	return ctx.Err()
}

// hasView reports whether this box has views of the streams that calls depend on.
func (m *Member) hasView() bool {
	return m.cfg.Registry.Position(sharedlog.Operator) >= 0 && m.cfg.Registry.Position(sharedlog.Servers) >= 0
}
