// The list of boxes. Each box writes its address into the platform's log when it starts, removes it
// at a planned stop, and follows the entries of the others (package registry reads that stream, or
// receives it from the box that reads for the zone). withoutlog.go covers a box that cannot read
// this list.

package loadshare

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/safepack"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// announceTimeout bounds an entry of this box. The log takes the entries of boxes that start
	// together one after the other, and refuses one that would wait for more than two seconds.
	announceTimeout = 2500 * time.Millisecond
	// withdrawTimeout bounds the last call at a planned stop. It is short: a log that does not
	// respond must not delay the exit until the process is killed.
	withdrawTimeout = 250 * time.Millisecond
	// minAnnouncePause is the pause after an entry that failed. It doubles up to maxAnnouncePause:
	// otherwise all boxes that started during an outage would send two requests a second each.
	minAnnouncePause = 500 * time.Millisecond
	// listTimeout bounds the wait for the list before this box writes its own entry, and
	// listPollInterval is the interval at which it checks for the list. When all boxes restart
	// together, their readers need seconds for the list and everything else.
	listTimeout      = 5 * time.Second
	listPollInterval = 10 * time.Millisecond
	maxAnnouncePause = 2 * time.Second
)

// announcement is the entry of a box in the log.
type announcement struct {
	Address     string `msgpack:"a"`
	Incarnation string `msgpack:"l"`
	Zone        string `msgpack:"z,omitempty"`
	// ReaderAddress serves the boxes that read the log through this one.
	ReaderAddress string `msgpack:"v,omitempty"`
	// PlacesAddress serves requests for places at the servers that the box owns.
	PlacesAddress string `msgpack:"p,omitempty"`
	// ForwardAddress serves calls that other boxes forward.
	ForwardAddress string `msgpack:"f,omitempty"`
	// OriginsAddress is where the box holds the origins of streams.
	OriginsAddress string `msgpack:"o,omitempty"`
	// Cores is the number of CPU cores that the box may use.
	Cores float64 `msgpack:"c,omitempty"`
}

// peer is another box.
type peer struct {
	address       string
	zone          string
	readerAddress string
	placesAddress string
	// forwardAddress is empty for boxes that take no forwarded calls.
	forwardAddress string
	// originsAddress is empty for boxes that hold no origins of streams.
	originsAddress string
	cores          float64
	// listed is whether the box is in the log; otherwise it was added because it sent a message.
	listed bool
}

// LoopAnnounce keeps this box's address in the log until ctx ends. It waits for the list first: a
// box that restarts is usually still listed and need not write its entry. When 295 boxes all wrote
// their entry as they started, the log was busy for 1.2 s and none of them could read the list.
func (s *Share) LoopAnnounce(ctx context.Context) {
	pause := minAnnouncePause
	s.waitForList(ctx)
	s.waitForOwnTurn(ctx)
	for ctx.Err() == nil {
		wake := s.unlisted.Chan()
		switch {
		case s.isAnnounced():
			select {
			case <-wake:
			case <-ctx.Done():
			}
		case s.announce(ctx):
			pause = minAnnouncePause
		default:
			waiting.For(ctx, pause)
			pause = min(2*pause, maxAnnouncePause)
		}
	}
	s.withdraw()
}

// waitForList waits for the list of boxes, for at most listTimeout.
func (s *Share) waitForList(ctx context.Context) {
	deadline := boottime.Now().Add(listTimeout)
	for !s.BoxListLoaded() && boottime.Now().Before(deadline) && ctx.Err() == nil {
		waiting.For(ctx, listPollInterval)
	}
}

// appendsPerSpread is how many appends the log has time for, for each box on the list, in the time
// over which boxes spread their entries.
const appendsPerSpread = 2

// waitForOwnTurn delays the entry of a box at the first start of the whole system, when all boxes
// write one. Each box waits a random time in proportion to the boxes that have written theirs, so
// that the log keeps up with any number of boxes.
func (s *Share) waitForOwnTurn(ctx context.Context) {
	if !s.cfg.FirstSystemStart || s.isAnnounced() {
		return
	}
	spread := appendsPerSpread * s.cfg.AppendTime * time.Duration(s.BoxCount())
	waiting.For(ctx, rand.N(spread))
}

// Wait waits until everything that the Loop functions started has ended. They must have returned.
func (s *Share) Wait() {
	s.loops.Wait()
	s.server.Wait()
}

// withdraw removes this box's address from the log at a planned stop.
func (s *Share) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if _, err := s.cfg.Log.Append(ctx, sharedlog.Boxes, sharedlog.AnyEnd, sharedlog.Record{Key: s.cfg.Box}); err != nil {
		s.cfg.Logger.Warn().Str("error", err.Error()).Msg("box_not_withdrawn")
	}
}

// isAnnounced reports whether this box is listed in the log.
func (s *Share) isAnnounced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced
}

// announce writes this box's address into the log and reports whether that succeeded.
func (s *Share) announce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
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
	s.markAnnounced(offset)
	return true
}

// markAnnounced records that this box is listed. The caller holds mu.
func (s *Share) markAnnounced(offset int64) {
	if !s.announced {
		s.announcedAt = boottime.Now()
	}
	s.announced, s.announcedOffset = true, offset
}

// ApplyBoxRecords applies new records of the list of boxes. After the first call, boxes are added
// from the list only.
func (s *Share) ApplyBoxRecords(records []sharedlog.Record) {
	for _, record := range records {
		s.applyRecord(record)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.candidatesAt = time.Time{}
	clear(s.coldOwners)
	s.limits.invalidate()
	if !s.listLoaded {
		s.listLoaded = true
		for box, peer := range s.peers {
			if !peer.listed {
				delete(s.peers, box)
			}
		}
	}
	s.relink.Broadcast()
}

// decode returns the entry in a record, which is empty when the box was removed. It returns false if
// the entry is invalid.
func (s *Share) decode(record sharedlog.Record) (box announcement, ok bool) {
	if len(record.Value) == 0 {
		return announcement{}, true
	}
	if err := safepack.Unmarshal(record.Value, &box); err != nil {
		s.cfg.Logger.Error().Str("key", record.Key).Str("error", err.Error()).Msg("box_entry_invalid")
		return box, false
	}
	return box, true
}

// applyOwnRecord applies a record of this box's own name. An entry of an earlier incarnation that
// is otherwise the same is valid for this one too. The removal by an earlier incarnation may be
// carried out late and remove the entry of this one, which then announces itself again.
func (s *Share) applyOwnRecord(record sharedlog.Record) {
	box, ok := s.decode(record)
	if !ok {
		box = announcement{} // an unreadable entry also replaces this incarnation's
	}
	own := s.announcement()
	s.mu.Lock()
	defer s.mu.Unlock()
	sameExceptIncarnation := own
	sameExceptIncarnation.Incarnation = box.Incarnation
	matches := box.Incarnation == own.Incarnation || box == sameExceptIncarnation
	switch {
	case matches && !s.announced:
		s.markAnnounced(record.Offset)
	case !matches && s.announced && record.Offset > s.announcedOffset:
		s.announced = false
		s.unlisted.Broadcast()
		s.cfg.Logger.Info().EmbedObject(logposition.Logged(record.Offset)).Msg("box_no_longer_listed")
	}
}

// announcement returns the entry of this box.
func (s *Share) announcement() announcement {
	return announcement{Address: s.cfg.Address, Incarnation: s.cfg.Incarnation, Zone: s.cfg.Zone, ReaderAddress: s.cfg.ReaderAddress, PlacesAddress: s.cfg.PlacesAddress, ForwardAddress: s.cfg.ForwardAddress, OriginsAddress: s.cfg.OriginsAddress, Cores: s.cfg.Cores}
}

// applyRecord adds, updates or removes a box.
func (s *Share) applyRecord(record sharedlog.Record) {
	if record.Key == s.cfg.Box {
		s.applyOwnRecord(record)
		return
	}
	box, ok := s.decode(record)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.candidatesAt = time.Time{} // the cached candidates are boxes in peers
	if box.Address == "" {
		delete(s.peers, record.Key)
		return
	}
	s.peers[record.Key] = &peer{address: box.Address, zone: box.Zone, readerAddress: box.ReaderAddress, placesAddress: box.PlacesAddress, forwardAddress: box.ForwardAddress, originsAddress: box.OriginsAddress, cores: box.Cores, listed: true}
	delete(s.avoided, record.Key) // its new entry shows that it has just started
}

// ListedCount returns the number of listed boxes including this one, or zero while it is unknown. A
// box that has not read the list uses the count of boxes that have.
func (s *Share) ListedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listedCount()
}

// listedCount is ListedCount for a caller that holds mu.
func (s *Share) listedCount() int {
	if s.listLoaded {
		return len(s.peers) + 1
	}
	return s.listedCountOfPeers()
}

// Candidate is another box that may be chosen as a delegate of this one.
type Candidate struct {
	delegate.Box
	// ReaderAddress serves the boxes that read the log through it.
	ReaderAddress string
	// PlacesAddress serves requests for places at the servers that it owns.
	PlacesAddress string
	// ForwardAddress serves calls that other boxes forward; empty if the box takes none.
	ForwardAddress string
	// OriginsAddress is where the box holds the origins of streams; empty if it holds none.
	OriginsAddress string
	// Incarnation is that of the box's last report; empty if there is none.
	Incarnation string
}

// Candidates lists the other boxes, which may read the log for this one unless they are
// unavailable.
func (s *Share) Candidates() []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	boxes := s.candidates(boottime.Now())
	candidates := make([]Candidate, len(boxes))
	for i, box := range boxes {
		candidates[i] = Candidate{Box: box, ReaderAddress: s.peers[box.Name].readerAddress, PlacesAddress: s.peers[box.Name].placesAddress, ForwardAddress: s.peers[box.Name].forwardAddress, OriginsAddress: s.peers[box.Name].originsAddress}
		if state := s.states[box.Name]; state != nil {
			candidates[i].Incarnation = state.incarnation
		}
		candidates[i].Unavailable = box.Unavailable || candidates[i].ReaderAddress == ""
	}
	return candidates
}

// LoadSentAfter returns a time after which another box sent the load report that this box has of
// it. It is zero when the other box does not report directly, or when the time is unknown.
func (s *Share) LoadSentAfter(box string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.reports[box]; last != nil {
		return last.sentAfter
	}
	return time.Time{}
}

// BoxListLoaded reports whether the list of boxes has been read.
func (s *Share) BoxListLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listLoaded
}

// BoxCount returns the number of known boxes, including this one.
func (s *Share) BoxCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) + 1
}
