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

// Calls beside a request that ends servers are cut off with it. Here 330 calls a second, each
// 0.3 s long, run at 18 servers, one of which ends each 0.8 s for a minute, as if nothing held
// the request; a server is back after two seconds. A third of the calls are for one of four
// pages, the others are sent once more when they are cut off. In 20 histories none of all these
// may come to be held.
func TestCallsBesideARequestThatEndsServersAreNotHeld(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var heldBeside []quarantine.Request
			b := &beside{random: rand.New(rand.NewPCG(seed, 3))}
			b.known = quarantine.New(quarantine.Config{OnChange: func(change quarantine.Change) {
				if change.Held && change.Request != request("guilty") {
					heldBeside = append(heldBeside, change.Request)
				}
			}})
			b.play(time.Minute)
			g.Expect(held(b.known, "guilty")).To(BeTrue())
			g.Expect(heldBeside).To(BeEmpty(), "seed %d", seed)
			g.Expect(b.cut).To(BeNumerically(">", 200), "some five calls with each of 70 ends are cut off, or this shows nothing")
		})
	}
}

const (
	manyServers  = 18
	callsEvery   = 3 * time.Millisecond
	callLasts    = 300 * time.Millisecond
	endsEvery    = 800 * time.Millisecond
	serverIsAway = 2 * time.Second
)

// running is a call at a server.
type running struct {
	name  string
	until time.Time
	again bool
}

// beside is a small model of calls at servers.
type beside struct {
	random  *rand.Rand
	known   *quarantine.Set
	servers [manyServers]struct {
		life  uint64
		from  time.Time // away until then
		calls []running
	}
	number int
	cut    int
}

func (b *beside) play(length time.Duration) {
	endsAt := time.Now().Add(endsEvery)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(callsEvery) {
		b.finish()
		b.number++
		name := fmt.Sprint("call-", b.number)
		if b.random.IntN(3) == 0 {
			name = fmt.Sprint("page-", b.random.IntN(4))
		}
		b.place(name, true)
		if time.Now().After(endsAt) {
			endsAt = endsAt.Add(endsEvery)
			b.endOne()
		}
	}
}

// place begins a call at a server that is there.
func (b *beside) place(name string, again bool) {
	for range 100 {
		server := &b.servers[b.random.IntN(manyServers)]
		if !time.Now().Before(server.from) {
			server.calls = append(server.calls, running{name, time.Now().Add(callLasts), again})
			return
		}
	}
}

// finish ends the calls whose time is over.
func (b *beside) finish() {
	for i := range b.servers {
		server := &b.servers[i]
		for len(server.calls) > 0 && !time.Now().Before(server.calls[0].until) {
			b.known.NoteServed(request(server.calls[0].name))
			server.calls = server.calls[1:]
		}
	}
}

// endOne ends a server under the request that does so.
func (b *beside) endOne() {
	b.number++
	server := &b.servers[b.random.IntN(manyServers)]
	if time.Now().Before(server.from) {
		return
	}
	server.life++
	server.from = time.Now().Add(serverIsAway)
	life := uint64(b.number)
	b.known.NoteCrash(quarantine.Crash{Request: request("guilty"), Incarnation: life})
	cut := server.calls
	server.calls = nil
	for _, call := range cut {
		b.cut++
		b.known.NoteCrash(quarantine.Crash{Request: request(call.name), Incarnation: life})
		if call.again {
			b.place(call.name, false)
		}
	}
}
