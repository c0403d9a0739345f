// The responses of a reader to its followers.

package zonereader

import (
	"context"
	"net"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// LoopAccept serves followers until ctx ends.
func (m *Member) LoopAccept(ctx context.Context, listener net.Listener) {
	m.server.LoopAccept(ctx, listener)
}

// Wait waits until all connections have been served; LoopAccept must have returned.
func (m *Member) Wait() { m.server.Wait() }

// serve answers the requests of one follower on one connection.
func (m *Member) serve(ctx context.Context, connection net.Conn, reader *frame.Reader) {
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
	if r.Quarantine && m.cfg.Quarantine != nil {
		next.Quarantine = m.cfg.Quarantine.Snapshot()
	}
	if !limits.overdue && !streamsChanged && next.Quarantine == nil && !(limits.push && partsChanged) {
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
		if !r.Eras && logposition.Era(m.cfg.Registry.Position(stream)) > 0 {
			continue
		}
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
