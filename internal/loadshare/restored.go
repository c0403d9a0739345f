// The list of boxes after the log came back from a copy. Entries that boxes had written since the copy are
// missing, and boxes that had removed theirs are listed again. Each box writes its own entry again; the
// boxes that read the log write the removals again, since the boxes concerned have ended.

package loadshare

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// minRemovalDelay and removalDelaySpread make up the time before a box removes others from the list.
	// One of the boxes that read the log is the first, and the others then find nothing to remove.
	minRemovalDelay    = 200 * time.Millisecond
	removalDelaySpread = 600 * time.Millisecond
)

// ApplyRestored makes this box write its entry again if the log came back without it. has reports whether
// the log has the newest entry of a box.
func (s *Share) ApplyRestored(has func(box string) bool) {
	listed := has(s.cfg.Box)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announced && !listed {
		s.announced = false
		s.unlisted.Broadcast()
		s.cfg.Logger.Info().Msg("box_missing_in_copy")
	}
	s.restored.Broadcast()
}

// LoopRemoveRestored removes boxes from the list that are listed again, until ctx ends.
func (s *Share) LoopRemoveRestored(ctx context.Context) {
	if s.cfg.RestoredBoxes == nil {
		return
	}
	for ctx.Err() == nil {
		wake := s.restored.Chan()
		if boxes, _ := s.cfg.RestoredBoxes(); len(boxes) == 0 || !s.cfg.ReadsLog() {
			select {
			case <-wake:
			case <-ctx.Done():
			}
		}
		waiting.For(ctx, minRemovalDelay+rand.N(removalDelaySpread))
		s.removeRestored(ctx)
	}
}

// removeRestored removes boxes from the list on the condition that nothing else was written to it, since a
// box may have started again.
func (s *Share) removeRestored(ctx context.Context) {
	boxes, end := s.cfg.RestoredBoxes()
	if len(boxes) == 0 || !s.cfg.ReadsLog() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	for _, box := range boxes {
		offset, err := s.cfg.Log.Append(ctx, sharedlog.Boxes, end, sharedlog.Record{Key: box})
		if err != nil {
			s.cfg.Logger.Info().Str("removed", box).Str("error", err.Error()).Msg("restored_box_not_removed")
			return // it is tried again
		}
		s.cfg.Logger.Info().Str("removed", box).EmbedObject(logposition.Logged(offset)).Msg("restored_box_removed")
		end = offset + 1
	}
}
