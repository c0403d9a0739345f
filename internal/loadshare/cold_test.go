package loadshare_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/coldstart"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/loadshare"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// The number of calls that all boxes together send to a cold server in any second is bounded. The
// boxes share no counter, so this test runs random histories: boxes crash, restart, leave and join,
// freeze with calls pending, and are cut off with an outdated list, while all of them have more
// calls than the server may get.

// coldLimit allows 26 calls in a second.
var coldLimit = coldstart.Limit{ColdTime: time.Hour, PerSecond: 14, Overage: 1.5, Slack: 5}

const (
	coldMaxCalls = 26
	coldZone     = "a"
	coldBoxes    = 5
	coldStep     = 10 * time.Millisecond
	// eventProbability is the probability of an event in a step.
	eventProbability = 0.005
	coldLength       = 80 * time.Second
	// maxListLag is the longest delay with which a box reads the list. maxListAge is how long a box
	// that is cut off continues to call cold servers.
	maxListLag = time.Second
	// maxAbsence is the longest time that a box stays off the list after a planned stop.
	maxAbsence = 8 * time.Second
	maxListAge = 3 * time.Second
)

// coldHistory is one random history.
type coldHistory struct {
	random *rand.Rand
	// list holds the records of the list of boxes in order.
	list []sharedlog.Record
	// writtenAt holds the times of the records.
	writtenAt []time.Time
	boxes     []*coldBox
	arrivals  []time.Time
	// Injected faults: boxes that are cut off continue, and calls are handed over however late.
	ignoreListAge, ignoreExpiry bool
	// noEvents disables the random events.
	noEvents bool
}

// coldBox is a box across its restarts.
type coldBox struct {
	h    *coldHistory
	name string
	// share and fleet are nil while the box is down.
	share *loadshare.Share
	fleet *fleet.Fleet
	// applied counts the records of the list that the box has read.
	applied int
	// The times until which the box is down, frozen or cut off. leavingSince is set during a
	// planned stop.
	downUntil, frozenUntil, cutUntil time.Time
	leavingSince                     time.Time
	lastContact                      time.Time
	pending                          []pendingCall
}

// pendingCall is a call that was placed and reaches the server at a given time.
type pendingCall struct {
	hold *fleet.Hold
	at   time.Time
}

func (b *coldBox) start(now time.Time) {
	b.fleet = fleet.New(fleet.Config{Logger: zerolog.Nop(), OwnsColdServer: func(zone, server string) bool { return b.share.OwnsColdServer(zone, server) }})
	b.share = loadshare.New(loadshare.Config{
		Fleet: b.fleet, Logger: zerolog.Nop(), Box: b.name, Incarnation: fmt.Sprint(b.name, "/", now), Zone: coldZone, Address: b.name,
		MayCallCold: func() bool {
			return b.leavingSince.IsZero() && (b.h.ignoreListAge || time.Since(b.lastContact) < maxListAge)
		},
	})
	b.fleet.SetColdLimits(map[string]coldstart.Limit{"s": coldLimit})
	b.fleet.Apply([]fleet.Update{{Key: "cold", Offset: 1, Server: &fleet.Server{Incarnation: "cold", Service: "s", Zone: coldZone, Slots: 8, ColdFor: time.Hour}}})
	b.applied, b.lastContact, b.leavingSince = 0, now, time.Time{}
	if !b.h.isListed(b.name) {
		b.h.write(b.name, true)
	}
}

func (h *coldHistory) isListed(name string) bool {
	listed := false
	for _, record := range h.list {
		if record.Key == name {
			listed = len(record.Value) > 0
		}
	}
	return listed
}

func (h *coldHistory) write(name string, listed bool) {
	record := sharedlog.Record{Key: name, Offset: int64(len(h.list))}
	if listed {
		record.Value, _ = msgpack.Marshal(map[string]any{"a": name, "z": coldZone})
	}
	h.list, h.writtenAt = append(h.list, record), append(h.writtenAt, time.Now())
}

// readList makes a box that is in contact read the list, up to a random lag.
func (b *coldBox) readList(now time.Time) {
	b.lastContact = now
	lag := time.Duration(b.h.random.Int64N(int64(maxListLag)))
	next := b.applied
	for next < len(b.h.list) && (b.applied == 0 || now.Sub(b.h.writtenAt[next]) >= lag) {
		next++
	}
	if next > b.applied {
		b.share.ApplyBoxRecords(b.h.list[b.applied:next])
		b.applied = next
	}
}

// step simulates one box for one step.
func (b *coldBox) step(now time.Time) {
	if b.share == nil {
		if now.After(b.downUntil) {
			b.start(now)
		}
		return
	}
	if now.Before(b.frozenUntil) {
		return
	}
	if now.After(b.cutUntil) {
		b.readList(now)
	}
	b.deliver(now)
	for range b.h.random.IntN(4) {
		if hold := b.fleet.Choose(fleet.Query{Service: "s", Zone: coldZone}); hold != nil {
			b.pending = append(b.pending, pendingCall{hold, now.Add(time.Duration(b.h.random.Int64N(int64(30 * time.Millisecond))))})
		}
	}
	if !b.leavingSince.IsZero() && now.Sub(b.leavingSince) > 2500*time.Millisecond {
		b.h.write(b.name, false)
		b.stop(now, time.Duration(b.h.random.Int64N(int64(maxAbsence))))
	}
}

// deliver hands over the calls that are due.
func (b *coldBox) deliver(now time.Time) {
	b.pending = slices.DeleteFunc(b.pending, func(call pendingCall) bool {
		if now.Before(call.at) {
			return false
		}
		if b.h.ignoreExpiry || call.hold.MayHandOver() {
			b.h.arrivals = append(b.h.arrivals, now)
		}
		call.hold.Done(fleet.OutcomeServed)
		return true
	})
}

func (b *coldBox) stop(now time.Time, length time.Duration) {
	b.share, b.fleet, b.pending = nil, nil, nil
	b.downUntil = now.Add(length)
}

// injectEvent causes a random event at a random box.
func (h *coldHistory) injectEvent(now time.Time) {
	b := h.boxes[h.random.IntN(len(h.boxes))]
	length := 300*time.Millisecond + time.Duration(h.random.Int64N(int64(3*time.Second)))
	switch h.random.IntN(4) {
	case 0:
		if b.share != nil {
			b.stop(now, length)
		}
	case 1:
		if b.share != nil && b.leavingSince.IsZero() {
			b.leavingSince = now
		}
	case 2:
		b.frozenUntil = now.Add(length)
	case 3:
		b.cutUntil = now.Add(6 * length)
	}
}

// play runs the history and returns the maximum number of calls that arrived within a second.
func (h *coldHistory) play() (peak int) {
	for i := range coldBoxes {
		h.boxes = append(h.boxes, &coldBox{h: h, name: fmt.Sprint("box-", i)})
	}
	end := time.Now().Add(coldLength)
	for now := time.Now(); now.Before(end); now = time.Now() {
		if !h.noEvents && h.random.Float64() < eventProbability {
			h.injectEvent(now)
		}
		for _, b := range h.boxes {
			b.step(now)
		}
		time.Sleep(coldStep)
	}
	first := 0
	for i, at := range h.arrivals {
		for at.Sub(h.arrivals[first]) >= time.Second {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

func playCold(t *testing.T, seed uint64, prepare func(*coldHistory)) (peak, arrivals int) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		h := &coldHistory{random: rand.New(rand.NewPCG(seed, 1))}
		prepare(h)
		peak, arrivals = h.play(), len(h.arrivals)
	})
	return peak, arrivals
}

func TestAllBoxesTogetherRespectTheLimitOfAColdServer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const histories = 40
	for seed := range uint64(histories) {
		peak, _ := playCold(t, seed, func(*coldHistory) {})
		g.Expect(peak).To(BeNumerically("<=", coldMaxCalls), "seed %d", seed)
	}
}

// The limit must not be kept by sending nothing: without events a cold server gets at least half of
// its rate.
func TestAColdServerGetsAtLeastHalfOfItsLimit(t *testing.T) {
	g := NewWithT(t)
	peak, arrivals := playCold(t, 1, func(h *coldHistory) { h.noEvents = true })
	g.Expect(peak).To(BeNumerically("<=", coldMaxCalls))
	g.Expect(float64(arrivals) / coldLength.Seconds()).To(BeNumerically(">", coldLimit.PerSecond/2))
}

// The same histories detect code without one of its guards: then a second box sends its part too,
// or one box sends it twice. The guards leave that margin for what the boxes cannot know.
func TestColdServerHistoriesDetectInjectedFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		prepare func(*coldHistory)
	}{
		{"calls are handed over however late", func(h *coldHistory) { h.ignoreExpiry = true }},
		{"boxes that are cut off continue", func(h *coldHistory) { h.ignoreListAge = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			const histories = 60
			worst := 0
			for seed := range uint64(histories) {
				peak, _ := playCold(t, seed, test.prepare)
				worst = max(worst, peak)
			}
			t.Log("maximum calls in a second:", worst)
			g.Expect(worst).To(BeNumerically(">", coldMaxCalls/2))
		})
	}
}
