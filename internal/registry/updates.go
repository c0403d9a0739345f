// Updates between boxes: in each zone one box, the reader, reads the log and forwards what it read
// to the other boxes, its followers, since each call of the log has a price. An update contains the
// age of the reader's view, and the follower counts that age from before its request. However long
// the update was in transit, it never counts as newer than it is. A box reads the log itself as
// soon as the reader's updates are too old, so the platform's deadlines do not depend on the
// reader.

package registry

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// StreamUpdate is a box's view of a stream, or the changes since an offset.
type StreamUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double its size

	Stream sharedlog.Stream `msgpack:"s"`
	// Full means that Records holds the newest record of every key rather than the changes.
	Full    bool               `msgpack:"w,omitempty"`
	Records []sharedlog.Record `msgpack:"r,omitempty"`
	// Next is the offset after all known records.
	Next int64 `msgpack:"n"`
	// Age is how long ago all records were known; NeverRead means that they never were.
	Age       time.Duration `msgpack:"a"`
	NeverRead bool          `msgpack:"u,omitempty"`
	// Digest shows whether two boxes at the same offset have the same view; see digest.go. It is
	// sent next to the update, since boxes of another version accept only updates with the same
	// number of fields.
	Digest uint64 `msgpack:"-"`
}

// The largest age of a reader's update up to which a follower does not read the stream itself. The
// reader polls the servers' stream every 0.6 s and the operators' stream with long polls of up to
// 0.8 s, and followers poll the reader every 0.4 s, so updates are at most 1.0 s and 1.2 s old
// while all is well. A leaving server must get no new calls after the platform's deadline, and a new
// configuration must be in force by then. What is left covers a read on a dead connection
// (urgentTimeout), the delay after it, and the read that succeeds.
//
// Where the deadlines are longer than DefaultDeadline, followers wait longer for their reader to be
// replaced. If a thousand boxes read the log themselves, each reads every heartbeat of every server.
const (
	// DefaultDeadline is the shortest deadline of the platform.
	DefaultDeadline = 2 * time.Second
	// serversReadTime and operatorReadTime are what a direct read takes at worst.
	serversReadTime  = 700 * time.Millisecond
	operatorReadTime = 600 * time.Millisecond
	// maxOperatorUpdateAge is the age for the default deadline.
	maxOperatorUpdateAge = DefaultDeadline - operatorReadTime
	// maxFollowedAge bounds the age for any deadline: by then all readers would have been tried.
	maxFollowedAge = 2500 * time.Millisecond
	// maxBoxesUpdateAge exceeds the long poll of that stream with its response and its pause.
	maxBoxesUpdateAge = 30 * time.Second
)

// maxUpdateAge returns how old an update of a stream may be.
func (r *Registry) maxUpdateAge(stream sharedlog.Stream) time.Duration {
	switch stream {
	case sharedlog.Servers:
		return min(r.cfg.ServersDeadline-serversReadTime, maxFollowedAge)
	case sharedlog.Boxes:
		return maxBoxesUpdateAge
	default:
		return min(r.cfg.OperatorDeadline-operatorReadTime, maxFollowedAge)
	}
}

// ForwardedStreams lists the streams that readers forward to their followers.
func ForwardedStreams() []sharedlog.Stream {
	return []sharedlog.Stream{sharedlog.Operator, sharedlog.Servers, sharedlog.Boxes}
}

// Position returns the offset after all records of a stream that this box knows.
func (r *Registry) Position(stream sharedlog.Stream) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(stream).next
}

// ReaderPosition returns the offset from which this box needs the changes of a stream from its
// reader: that after all records that it knows, or a negative one if it needs the full view.
func (r *Registry) ReaderPosition(stream sharedlog.Stream) int64 {
	r.endHold(stream)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(stream)
	if !s.reload {
		return s.next
	}
	return sharedlog.FromNewest
}

// SetReloadFromReader defines what this box does when its view differs from that of its reader. If
// the reader follows a root itself, the two compare their views too, so the box takes the reader's;
// otherwise it reads the stream in full.
func (r *Registry) SetReloadFromReader(reload bool) { r.reloadFromReader.Store(reload) }

// View describes this box's view of a stream, without its records.
func (r *Registry) View(stream sharedlog.Stream) StreamUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(stream).view(stream)
}

// view describes the view of a stream, without its records.
func (s *streamState) view(stream sharedlog.Stream) StreamUpdate {
	return StreamUpdate{Stream: stream, Next: s.next, Age: boottime.Since(s.readAt), NeverRead: s.readAt.IsZero(), Digest: s.digest()}
}

// IsSameView reports whether two updates describe views with the same records. Views with records
// past their offset may differ.
func (u StreamUpdate) IsSameView(other StreamUpdate) bool {
	return u.Next == other.Next && u.Digest == other.Digest && u.Digest != noDigest
}

// UpdateSince returns this box's changes of a stream since an offset, and whether there are any.
func (r *Registry) UpdateSince(stream sharedlog.Stream, from int64) (update StreamUpdate, hasChanges bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(stream)
	update = s.view(stream)
	switch {
	case s.next < 0 || from >= s.next:
		return update, false
	case from < 0 || from < s.deltaFloor:
		update.Full, update.Records = true, s.records()
		return update, true
	}
	for known := range s.changedSince(change{offset: from}) {
		update.Records = append(update.Records, known.record)
	}
	return update, len(update.Records) > 0
}

// ApplyUpdate applies an update that another box sent, whose Age counts from asOf or later. It
// reports whether the update is recent enough to rely on.
func (r *Registry) ApplyUpdate(update StreamUpdate, asOf time.Time) bool {
	if update.NeverRead || update.Next < 0 {
		return false
	}
	readAt := asOf.Add(-update.Age)
	fresh := boottime.Since(readAt) < r.maxUpdateAge(update.Stream)
	if fresh {
		r.recordLogBack(update.Stream, update.Next)
	}
	if update.Full || len(update.Records) > 0 {
		r.logUpdate(update)
		r.apply(update.Stream, update.Records, batch{next: update.Next, full: update.Full})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(update.Stream)
	if update.Next < s.next {
		return fresh // this box already has a newer view and its time
	}
	s.next, s.awaitedSince = update.Next, time.Time{}
	r.setReadAt(update.Stream, readAt)
	s.validUntil = readAt.Add(r.maxUpdateAge(update.Stream))
	r.checkDigest(s, update)
	return fresh
}

// logUpdate logs what an update contains: a full view, or the changes since the offset that this
// box had reached.
func (r *Registry) logUpdate(update StreamUpdate) {
	r.cfg.Logger.Info().Stringer("stream", update.Stream).Bool("whole", update.Full).Int("records", len(update.Records)).
		Int64("from", logposition.Offset(r.Position(update.Stream))).EmbedObject(logposition.Logged(update.Next)).Dur("age", update.Age).Msg("told")
}

// checkDigest makes this box get the stream in full when the reader has a different view at the same
// offset, and logs when a difference begins and ends. A reader that stays wrong causes only
// one such read. The caller holds mu.
func (r *Registry) checkDigest(s *streamState, update StreamUpdate) {
	compared, differs := s.compare(update)
	if !compared || differs == s.differs {
		return
	}
	s.differs = differs
	if !differs {
		r.cfg.Logger.Info().Stringer("stream", update.Stream).EmbedObject(logposition.Logged(update.Next)).Msg("view_converged")
		return
	}
	r.cfg.Logger.Warn().Stringer("stream", update.Stream).EmbedObject(logposition.Logged(update.Next)).Msg("view_diverged")
	if r.reloadFromReader.Load() {
		s.reload = true
		return
	}
	s.rereadAll, s.validUntil = true, time.Time{}
	r.readDirectly.Broadcast()
}

// UsesReader reports whether this box relies on its reader for the operators' stream.
func (r *Registry) UsesReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return boottime.Now().Before(r.state(sharedlog.Operator).validUntil)
}

// LogLost reports whether this box cannot read the operators' stream.
func (r *Registry) LogLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost[sharedlog.Operator]
}

// ReadDirectly makes this box read the log itself until the next recent update from a reader.
func (r *Registry) ReadDirectly() {
	r.mu.Lock()
	r.direct = true
	for _, s := range r.states {
		s.validUntil = time.Time{}
	}
	r.mu.Unlock()
	r.readDirectly.Broadcast()
}

// ReadStreamDirectly makes this box read one stream itself until the next recent update from a
// reader.
func (r *Registry) ReadStreamDirectly(stream sharedlog.Stream) {
	r.mu.Lock()
	s := r.state(stream)
	s.validUntil, s.direct = time.Time{}, true
	r.mu.Unlock()
	r.readDirectly.Broadcast()
}

// waitWhileValid waits while the reader's updates of a stream are recent enough, and reports
// whether it had to wait.
func (r *Registry) waitWhileValid(ctx context.Context, stream sharedlog.Stream) (waited bool) {
	for ctx.Err() == nil {
		wake := r.readDirectly.Chan()
		r.mu.Lock()
		left := boottime.Until(r.state(stream).validUntil)
		r.mu.Unlock()
		if left <= 0 {
			return waited
		}
		waited = true
		waiting.ForOrSignal(ctx, left, wake)
	}
	return waited
}
