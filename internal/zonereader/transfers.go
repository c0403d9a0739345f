// A bound on the full states of store boxes under way to followers. Pages of views are the same for
// all followers; these are not, and each response holds up to 100 KB of them until it has been sent.
// After a power failure all boxes of a zone request them at once. A follower that finds no room waits
// for the rest of its long poll, in the order of arrival. The response then says that the reader has no state
// of the store box yet, and the follower requests it again.

package zonereader

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/registry"
)

// maxTransfers bounds the responses with full states that are under way: to boxes with links of
// 20 Mbit/s, 32 use 640 Mbit/s, two thirds of a large box's link.
const maxTransfers = 32

// transfers has an element for each response with full states that is under way.
type transfers chan struct{}

// room is the room of one response among the transfers.
type room struct {
	transfers transfers
	acquired  bool
}

// acquire waits for room for a time at most, unless it has been acquired.
func (r *room) acquire(ctx context.Context, longest time.Duration) {
	if r.acquired {
		return
	}
	select {
	case r.transfers <- struct{}{}:
		r.acquired = true
		return
	default:
	}
	if longest <= 0 {
		return
	}
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case r.transfers <- struct{}{}:
		r.acquired = true
	case <-timer.C:
	case <-ctx.Done():
	}
}

// release releases the room if it has been acquired.
func (r *room) release() {
	if r.acquired {
		<-r.transfers
	}
}

// needsFullState reports whether a request needs the full state of a store box.
func (m *Member) needsFullState(r request) bool {
	for address, since := range r.Stores {
		if m.cfg.Parts.NeedsFull(address, since) {
			return true
		}
	}
	return false
}

// roomWait returns how long a request waits for room, given what remains of its long poll. Pages of
// views do not wait for it.
func (m *Member) roomWait(r request, left time.Duration) time.Duration {
	for _, stream := range registry.ForwardedStreams() {
		from, listed := r.Streams[stream]
		if _, loading := r.Loads[stream]; loading || !listed || m.cfg.Registry.NeedsLoad(stream, from) {
			return 0
		}
	}
	return left
}
