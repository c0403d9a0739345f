// Overdue saves. Some events of store boxes are lost, and a store box sends no event for a part
// that it already holds. After such a loss the part is prefilled again for every request until
// the store box is listed. A list blocks the store box while it is produced, so a store box is
// listed early only when a save is overdue, at this box or at a box that follows it.
//
// Of 2,000 parts prefilled in a day behind a fleet of 295 boxes, some 100 were prefilled
// repeatedly for more than eight seconds after they had first been saved.

package partindex

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

const (
	// overdueAfter is how long after it was requested a save without an event counts as overdue:
	// the runner prefills the prompt within half a second, the transfer waits for at most two, and
	// an event of a store box reaches every box within one.
	overdueAfter = 4 * time.Second
	// overdueWindow is how long a save counts as overdue. Without it, saves that failed would count
	// for ever.
	overdueWindow = 30 * time.Second
	// minListInterval is the shortest interval between two lists of a store box for overdue saves.
	minListInterval = 4 * time.Second
)

// save is a save that was requested, with the store box and the time of the request.
type save struct {
	address string
	at      time.Time
}

// OverdueStores lists the store boxes with overdue saves of this box.
func (x *Index) OverdueStores() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := boottime.Now()
	var overdue []string
	for _, s := range x.stores {
		if x.hasOverdueSave(s, now) {
			overdue = append(overdue, s.config.Address)
		}
	}
	return overdue
}

// hasOverdueSave reports whether a save in a store box is overdue. The caller holds mu.
func (x *Index) hasOverdueSave(s *store, now time.Time) bool {
	for key, pending := range x.pendingSaves {
		if age := now.Sub(pending.at); pending.address == s.config.Address && age > overdueAfter && age < overdueWindow && s.held[key] == 0 {
			return true
		}
	}
	return false
}

// MarkOverdue records that another box has overdue saves in these store boxes.
func (x *Index) MarkOverdue(addresses []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, address := range addresses {
		if s := x.find(address); s != nil {
			s.peerOverdue = true
		}
	}
}

// NeedsList reports whether a store box must be listed because of an overdue save.
func (x *Index) NeedsList(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil || boottime.Since(s.listedAt) < minListInterval {
		return false
	}
	return s.peerOverdue || x.hasOverdueSave(s, boottime.Now())
}

// markListed records that a store box was listed and that the list is current as of asOf. A save
// that was overdue by then is in the list or has failed. The caller holds mu.
func (x *Index) markListed(s *store, asOf time.Time) {
	s.listedAt, s.peerOverdue = boottime.Now(), false
	for key, pending := range x.pendingSaves {
		if pending.address == s.config.Address && asOf.Sub(pending.at) > overdueAfter {
			delete(x.pendingSaves, key)
		}
	}
}
