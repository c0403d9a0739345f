package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/quarantine"
)

// Calls that run next to a request that crashes servers are cut off with it. In this test 330
// calls a second, each 0.3 s long, run on 18 servers. One server crashes every 0.8 s for a
// minute, as if the request were never held, and is back after two seconds. A third of the calls
// are for one of four pages, and all calls are retried once when they are cut off. In 20
// histories none of these requests may be held.
func TestCallsNextToARequestThatCrashesServersAreNotHeld(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var heldInnocent []quarantine.Request
			b := &collateral{random: rand.New(rand.NewPCG(seed, 3))}
			b.set = quarantine.New(quarantine.Config{OnChange: func(change quarantine.Change) {
				if change.Held && change.Request != request("guilty") {
					heldInnocent = append(heldInnocent, change.Request)
				}
			}})
			b.play(time.Minute)
			g.Expect(held(b.set, "guilty")).To(BeTrue())
			g.Expect(heldInnocent).To(BeEmpty(), "seed %d", seed)
			g.Expect(b.cut).To(BeNumerically(">", 200), "without some five calls cut off by each of 70 crashes the test proves nothing")
		})
	}
}

const (
	serverCount    = 18
	callInterval   = 3 * time.Millisecond
	callDuration   = 300 * time.Millisecond
	crashInterval  = 800 * time.Millisecond
	serverDowntime = 2 * time.Second
)

// running is a call in flight at a server.
type running struct {
	name  string
	until time.Time
	retry bool
}

// collateral is a small model of calls on servers.
type collateral struct {
	random  *rand.Rand
	set     *quarantine.Set
	servers [serverCount]struct {
		incarnation uint64
		from        time.Time // unavailable until then
		calls       []running
	}
	number int
	cut    int
}

func (b *collateral) play(length time.Duration) {
	crashAt := time.Now().Add(crashInterval)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(callInterval) {
		b.finish()
		b.number++
		name := fmt.Sprint("call-", b.number)
		if b.random.IntN(3) == 0 {
			name = fmt.Sprint("page-", b.random.IntN(4))
		}
		b.place(name, true)
		if time.Now().After(crashAt) {
			crashAt = crashAt.Add(crashInterval)
			b.crashOne()
		}
	}
}

// place starts a call at an available server.
func (b *collateral) place(name string, retry bool) {
	for range 100 {
		server := &b.servers[b.random.IntN(serverCount)]
		if !time.Now().Before(server.from) {
			server.calls = append(server.calls, running{name, time.Now().Add(callDuration), retry})
			return
		}
	}
}

// finish ends the calls whose time is up.
func (b *collateral) finish() {
	for i := range b.servers {
		server := &b.servers[i]
		for len(server.calls) > 0 && !time.Now().Before(server.calls[0].until) {
			b.set.NoteServed(request(server.calls[0].name))
			server.calls = server.calls[1:]
		}
	}
}

// crashOne crashes a server under the request that does so.
func (b *collateral) crashOne() {
	b.number++
	server := &b.servers[b.random.IntN(serverCount)]
	if time.Now().Before(server.from) {
		return
	}
	server.incarnation++
	server.from = time.Now().Add(serverDowntime)
	incarnation := uint64(b.number)
	b.set.NoteCrash(quarantine.Crash{Request: request("guilty"), Incarnation: incarnation})
	cut := server.calls
	server.calls = nil
	for _, call := range cut {
		b.cut++
		b.set.NoteCrash(quarantine.Crash{Request: request(call.name), Incarnation: incarnation})
		if call.retry {
			b.place(call.name, false)
		}
	}
}
