// Which boxes there are: each writes its address into the platform's log when it
// starts, takes it out at a planned stop, and follows those of the others. What a box
// does that cannot read this list stands in withoutlog.go.

package loadshare

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/safepack"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// followHold is how long a read of the stream of boxes waits for a record. The
	// stream changes only when boxes start and stop.
	followHold = 20 * time.Second
	// callLimit bounds a call of the log besides the time that it is held.
	callLimit = time.Second
	// retryPause lies after a call that failed.
	retryPause = 500 * time.Millisecond
	// gatherPause lies after each read: boxes that start or stop often do so together,
	// and each of their records would end a read of every box.
	gatherPause = 500 * time.Millisecond
)

// announcement is a box's record in the log.
type announcement struct {
	Address string `msgpack:"a"`
	Life    string `msgpack:"l"`
	Zone    string `msgpack:"z,omitempty"`
	// Reader is where boxes that follow this one ask it.
	Reader string `msgpack:"v,omitempty"`
}

// peer is another box to tell.
type peer struct {
	address string
	zone    string
	reader  string
	stop    context.CancelFunc
}

// LoopFollow writes this box's address into the log and follows those of others
// until ctx ends.
func (s *Share) LoopFollow(ctx context.Context) {
	next := int64(sharedlog.FromNewest)
	for ctx.Err() == nil {
		if !s.isAnnounced() {
			s.announce(ctx)
		}
		page, whole, err := sharedlog.ReadOn(ctx, s.cfg.Log, sharedlog.Boxes, next, followHold, callLimit)
		if err != nil {
			waiting.For(ctx, retryPause)
			continue
		}
		if whole {
			s.retain(page.Records)
		}
		for _, record := range page.Records {
			s.take(ctx, record)
		}
		waiting.For(ctx, gatherPause)
		next = page.Next
	}
	s.withdraw()
}

// Wait waits until all that Loop functions began has ended; they must have returned.
func (s *Share) Wait() { s.loops.Wait() }

// withdraw takes this box's address out of the log at a planned stop.
func (s *Share) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	if _, err := s.cfg.Log.Append(ctx, sharedlog.Boxes, sharedlog.AnyEnd, sharedlog.Record{Key: s.cfg.Box}); err != nil {
		s.cfg.Logger.Warn().Str("error", err.Error()).Msg("box_not_withdrawn")
	}
}

// isAnnounced reports whether this box stands in the log.
func (s *Share) isAnnounced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced
}

// announce writes this box's address into the log.
func (s *Share) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	value, err := msgpack.Marshal(announcement{Address: s.cfg.Address, Life: s.cfg.Life, Zone: s.cfg.Zone, Reader: s.cfg.Reader})
	offset := int64(0)
	if err == nil {
		offset, err = s.cfg.Log.Append(ctx, sharedlog.Boxes, sharedlog.AnyEnd, sharedlog.Record{Key: s.cfg.Box, Value: value})
	}
	if err != nil {
		s.cfg.Logger.Warn().Str("error", err.Error()).Msg("box_not_announced")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced, s.announcedOffset = true, offset
}

// retain notes that the whole list was read, and stops telling boxes that it does not
// name. From now on boxes come from the list alone.
func (s *Share) retain(records []sharedlog.Record) {
	listed := map[string]bool{}
	for _, record := range records {
		listed[record.Key] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followed = true
	for box, known := range s.peers {
		if !listed[box] {
			known.stop()
			delete(s.peers, box)
		}
	}
}

// begin starts telling a box. The caller holds mu.
func (s *Share) begin(ctx context.Context, box string, at announcement) {
	address, zone, reader := at.Address, at.Zone, at.Reader
	ctx, stop := context.WithCancel(ctx)
	s.peers[box] = &peer{address: address, zone: zone, reader: reader, stop: stop}
	s.loops.Go(func() { s.loopTellPeer(ctx, box, address) })
}

// decode reads what a record says of its box: nothing when the box has left.
func (s *Share) decode(record sharedlog.Record) (box announcement, understood bool) {
	if len(record.Value) == 0 {
		return announcement{}, true
	}
	if err := safepack.Unmarshal(record.Value, &box); err != nil {
		s.cfg.Logger.Error().Str("key", record.Key).Str("error", err.Error()).Msg("box_not_understood")
		return box, false
	}
	return box, true
}

// takeOwn looks at a record of this box's own name. A stop of an earlier life may be
// carried out late and take this life out of the list; it then enters itself again.
func (s *Share) takeOwn(record sharedlog.Record) {
	box, understood := s.decode(record)
	if !understood {
		box = announcement{} // it hides this life as well
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if box.Life != s.cfg.Life && s.announced && record.Offset > s.announcedOffset {
		s.announced = false
		s.cfg.Logger.Info().Int64("offset", record.Offset).Msg("box_no_longer_listed")
	}
}

// take takes over where a box is reached.
func (s *Share) take(ctx context.Context, record sharedlog.Record) {
	if record.Key == s.cfg.Box {
		s.takeOwn(record)
		return
	}
	box, understood := s.decode(record)
	if !understood {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.peers[record.Key]
	if known != nil && known.address == box.Address {
		return
	}
	if known != nil {
		known.stop()
		delete(s.peers, record.Key)
	}
	if box.Address == "" {
		return
	}
	s.begin(ctx, record.Key, box)
}

// Roll counts the boxes that are announced, this one included; zero while that is not
// known. A box that has not read the list goes by those that have.
func (s *Share) Roll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followed {
		return len(s.peers) + 1
	}
	return s.rollOfOthers()
}

// Other is another box that is listed and heard.
type Other struct {
	Name string
	Zone string
	// Reader is where boxes that follow it ask it.
	Reader string
}

// Others lists the other boxes that are listed and not silent.
func (s *Share) Others() []Other {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := make([]Other, 0, len(s.heard))
	for box := range s.heard {
		if known := s.peers[box]; known != nil && known.reader != "" {
			others = append(others, Other{Name: box, Zone: known.zone, Reader: known.reader})
		}
	}
	return others
}

// Boxes counts the boxes that are known of, this one included.
func (s *Share) Boxes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) + 1
}
