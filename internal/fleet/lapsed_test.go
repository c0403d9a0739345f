package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// outage has the registry not answer for a time, in which a fleet goes on asking.
func outage(f *fleet.Fleet, length time.Duration) {
	f.NoteRegistryFailure(time.Now())
	time.Sleep(length)
	f.NoteRegistryFailure(time.Now())
	f.NoteRegistryRecovery()
}

// A box handed a call to a server that it had read as gone eleven seconds before. Its zone
// had just been cut off: the first read of the log that failed made it believe again in
// every server that it remembered, since entries lapse while the log is away. But this one
// had gone while the log was well, and a server that does not say that it leaves may serve
// on for many seconds:
//
//	22.78  b-1  server_gone      server=i-d10a5e2386 offset=41
//	34.61  b-1  log_lost         stream=servers
//	34.83  b-1  not_handed_over  server=i-d10a5e2386 try=3
func TestAServerThatWentWhileTheRegistryWasReadStaysGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("s")
		f.Apply([]fleet.Update{{Key: "s", Offset: 9}})
		time.Sleep(11 * time.Second)
		f.NoteRegistryFailure(time.Now())
		name, _ := choose(f)
		g.Expect(name).To(BeEmpty(), "as soon as the registry is lost")
		outage(f, 5*time.Second)
		name, _ = choose(f)
		g.Expect(name).To(BeEmpty(), "when it is back")
		f.NoteRegistryFailure(time.Now())
		name, _ = choose(f)
		g.Expect(name).To(BeEmpty(), "and when it is lost again at once")
	})
}

// Entries lapse after some heartbeats that could not be written. A read that failed once,
// since a connection had gone silent or the box was busy, says nothing of that: a server
// that went meanwhile has left, and the platform wants nothing new to reach it two seconds
// after its going.
func TestAReadThatFailedOnceBringsNobodyBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("s")
		f.NoteRegistryFailure(time.Now())
		time.Sleep(300 * time.Millisecond)
		f.NoteRegistryRecovery()
		f.Apply([]fleet.Update{{Key: "s", Offset: 9}})
		name, _ := choose(f)
		g.Expect(name).To(BeEmpty())
	})
}

// A server whose entry lapsed while the registry was away is believed in for less than the
// two seconds within which a leaving one must get nothing new, counted from when its going
// was read, however often the registry is lost meanwhile.
func TestALapsedServerIsNotBelievedInForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("s")
		outage(f, 20*time.Second)
		f.Apply([]fleet.Update{{Key: "s", Offset: 9}})
		for range 6 {
			time.Sleep(300 * time.Millisecond)
			f.NoteRegistryFailure(time.Now())
			f.NoteRegistryRecovery()
		}
		time.Sleep(100 * time.Millisecond)
		name, _ := choose(f)
		g.Expect(name).To(BeEmpty(), "1.9 s after its going was read")
	})
}

// A box believed in servers whose entries had gone while the registry was away until 2.5 s
// after it first read again. That came up to 1.9 s after the registry was back: the box may
// have waited for a call that was never answered, and then paused. Three seconds after the
// registry's return the platform holds a box to what the registry says. Of the first call
// that was seen to reach a server too late no logs were kept; this is the one way that was
// found in which it could come about:
//
//	 4.007  the server's entry goes
//	13.977  d-1 hands a call to the server, 9970 ms later
func TestALapsedServerIsNotBelievedInLongAfterTheRegistryIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("s")
		f.NoteRegistryFailure(time.Now())
		time.Sleep(8 * time.Second)
		backAt := time.Now() // just after the call was sent
		time.Sleep(time.Second)
		f.NoteRegistryFailure(backAt)
		time.Sleep(600 * time.Millisecond)
		f.NoteRegistryRecovery()
		f.Apply([]fleet.Update{{Key: "s", Offset: 9}})
		name, hold := choose(f)
		g.Expect(name).To(Equal("s"), "it may be back at any moment")
		hold.Done(fleet.OutcomeServed)
		time.Sleep(time.Until(backAt.Add(2700 * time.Millisecond)))
		name, _ = choose(f)
		g.Expect(name).To(BeEmpty())
	})
}
