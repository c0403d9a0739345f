package loadshare

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A hub that stopped sending had listed a box most recently. Until its report expired, the box's state
// aged with it, to 1.8 s, although another hub still listed the box.
func TestAStateDoesNotAgeWithAHubThatStoppedSending(t *testing.T) {
	g := NewWithT(t)
	started := time.Now()
	entry := rosterEntry{Box: "a", Incarnation: "a/1"}
	roster := func(hub string, sentAfter time.Time) *remoteRoster {
		r := &remoteRoster{}
		r.apply(&rosterUpdate{Generation: 1, Entries: []rosterEntry{entry}}, hub, sentAfter)
		return r
	}
	stopped, sending := roster("hub-1", started.Add(time.Second)), roster("hub-2", started)
	state := &peerState{}
	state.mergeRoster(entry, stopped, started)
	state.mergeRoster(entry, sending, started)
	g.Expect(state.lastSent()).To(Equal(started.Add(time.Second)))
	sending.apply(&rosterUpdate{Since: 1, Generation: 1}, "hub-2", started.Add(3*time.Second))
	g.Expect(state.lastSent()).To(Equal(started.Add(3 * time.Second)))
	sending.apply(&rosterUpdate{Since: 1, Generation: 2, Entries: []rosterEntry{{Box: "a", Removed: true}}}, "hub-2", started.Add(4*time.Second))
	g.Expect(state.lastSent()).To(Equal(started.Add(time.Second)), "a changed roster may no longer list the box")
}
