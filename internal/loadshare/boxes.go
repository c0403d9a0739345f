// Which boxes there are: each writes its address into the platform's log when it
// starts, takes it out at a planned stop, and follows those of the others (package
// registry reads that stream, or is told of it by the box that reads for the zone). What a
// box does that cannot read this list stands in withoutlog.go.

package loadshare

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/safepack"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// callLimit bounds a call of the log.
	callLimit = time.Second
	// withdrawLimit bounds the last one at a planned stop. It is short: a log that does not
	// answer must not hold the process until it is killed.
	withdrawLimit = 250 * time.Millisecond
	// announcePause lies after an entry that failed, and grows up to longestAnnouncePause:
	// boxes that started in an outage would otherwise ask twice a second each.
	announcePause = 500 * time.Millisecond
	// listWait bounds the wait for the list before this box enters itself, and listLook is
	// the time between two looks whether it is there.
	listWait             = time.Second
	listLook             = 10 * time.Millisecond
	longestAnnouncePause = 2 * time.Second
)

// announcement is a box's record in the log.
type announcement struct {
	Address string `msgpack:"a"`
	Life    string `msgpack:"l"`
	Zone    string `msgpack:"z,omitempty"`
	// ReaderAddress is where boxes that follow this one ask it.
	Reader string `msgpack:"v,omitempty"`
	// PlacesAddress is where boxes ask it for places at servers that it owns.
	Places string `msgpack:"p,omitempty"`
	// Cores is the processor that the box may use.
	Cores float64 `msgpack:"c,omitempty"`
}

// peer is another box.
type peer struct {
	address string
	zone    string
	reader  string
	places  string
	cores   float64
	// listed says that it stands in the log, rather than having told of itself.
	listed bool
}

// LoopAnnounce keeps this box's address in the log until ctx ends. The list is awaited
// first: a box that starts again is still on it, and has nothing to say. 295 boxes that all
// entered themselves when they started kept the log busy for 1.2 s, and each other from
// reading the list.
func (s *Share) LoopAnnounce(ctx context.Context) {
	pause := announcePause
	s.awaitList(ctx)
	for ctx.Err() == nil {
		wake := s.unlisted.Chan()
		switch {
		case s.isAnnounced():
			select {
			case <-wake:
			case <-ctx.Done():
			}
		case s.announce(ctx):
			pause = announcePause
		default:
			waiting.For(ctx, pause)
			pause = min(2*pause, longestAnnouncePause)
		}
	}
	s.withdraw()
}

// awaitList waits for the list of boxes, for a while.
func (s *Share) awaitList(ctx context.Context) {
	end := boottime.Now().Add(listWait)
	for !s.BoxListLoaded() && boottime.Now().Before(end) && ctx.Err() == nil {
		waiting.For(ctx, listLook)
	}
}

// Wait waits until all that Loop functions began has ended; they must have returned.
func (s *Share) Wait() {
	s.loops.Wait()
	s.server.Wait()
}

// withdraw takes this box's address out of the log at a planned stop.
func (s *Share) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawLimit)
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

// announce writes this box's address into the log, and reports whether it stands there.
func (s *Share) announce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	value, err := msgpack.Marshal(s.announcement())
	offset := int64(0)
	if err == nil {
		offset, err = s.cfg.Log.Append(ctx, sharedlog.Boxes, sharedlog.AnyEnd, sharedlog.Record{Key: s.cfg.Box, Value: value})
	}
	if err != nil {
		s.cfg.Logger.Warn().Str("error", err.Error()).Msg("box_not_announced")
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteAnnounced(offset)
	return true
}

// noteAnnounced notes that this box is listed. The caller holds mu.
func (s *Share) noteAnnounced(offset int64) {
	if !s.announced {
		s.announcedAt = boottime.Now()
	}
	s.announced, s.announcedOffset = true, offset
}

// ApplyBoxRecords takes over what is new in the list of boxes. From the first time on boxes come
// from the list alone.
func (s *Share) ApplyBoxRecords(records []sharedlog.Record) {
	for _, record := range records {
		s.take(record)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.othersAt = time.Time{}
	clear(s.coldOwners)
	s.limits.forget()
	if !s.followed {
		s.followed = true
		for box, known := range s.peers {
			if !known.listed {
				delete(s.peers, box)
			}
		}
	}
	s.relink.Broadcast()
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

// takeOwn looks at a record of this box's own name. One of an earlier life that says the
// same will do. A stop of an earlier life may be carried out late and take this life out of
// the list; it then enters itself again.
func (s *Share) takeOwn(record sharedlog.Record) {
	box, understood := s.decode(record)
	if !understood {
		box = announcement{} // it hides this life as well
	}
	own := s.announcement()
	s.mu.Lock()
	defer s.mu.Unlock()
	sameButLife := own
	sameButLife.Life = box.Life
	says := box.Life == own.Life || box == sameButLife
	switch {
	case says && !s.announced:
		s.noteAnnounced(record.Offset)
	case !says && s.announced && record.Offset > s.announcedOffset:
		s.announced = false
		s.unlisted.Broadcast()
		s.cfg.Logger.Info().Int64("offset", record.Offset).Msg("box_no_longer_listed")
	}
}

// announcement is what this box says of itself.
func (s *Share) announcement() announcement {
	return announcement{Address: s.cfg.Address, Life: s.cfg.Incarnation, Zone: s.cfg.Zone, Reader: s.cfg.ReaderAddress, Places: s.cfg.PlacesAddress, Cores: s.cfg.Cores}
}

// take takes over where a box is reached.
func (s *Share) take(record sharedlog.Record) {
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
	if box.Address == "" {
		delete(s.peers, record.Key)
		return
	}
	s.peers[record.Key] = &peer{address: box.Address, zone: box.Zone, reader: box.Reader, places: box.Places, cores: box.Cores, listed: true}
	delete(s.avoided, record.Key) // it has just started
}

// ListedCount counts the boxes that are announced, this one included; zero while that is not
// known. A box that has not read the list goes by those that have.
func (s *Share) ListedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roll()
}

// roll is ListedCount for a caller that holds mu.
func (s *Share) roll() int {
	if s.followed {
		return len(s.peers) + 1
	}
	return s.rollOfOthers()
}

// Candidate is another box that may do something for this one.
type Candidate struct {
	delegate.Box
	// ReaderAddress is where boxes that follow it ask it.
	ReaderAddress string
	// PlacesAddress is where it is asked for places at servers that it owns.
	PlacesAddress string
}

// Candidates lists the other boxes, which may read for this one unless they are away.
func (s *Share) Candidates() []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	boxes := s.others(boottime.Now())
	others := make([]Candidate, len(boxes))
	for i, box := range boxes {
		others[i] = Candidate{Box: box, ReaderAddress: s.peers[box.Name].reader, PlacesAddress: s.peers[box.Name].places}
		others[i].Unavailable = box.Unavailable || others[i].ReaderAddress == ""
	}
	return others
}

// LoadSentAfter gives a moment after which another box has said what this one has of its work; zero
// when it is not heard first-hand, or when that is not known.
func (s *Share) LoadSentAfter(box string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.heard[box]; last != nil {
		return last.at
	}
	return time.Time{}
}

// BoxListLoaded reports whether the list of boxes has been read.
func (s *Share) BoxListLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followed
}

// BoxCount counts the boxes that are known of, this one included.
func (s *Share) BoxCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) + 1
}
