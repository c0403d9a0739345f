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

// parts returns the fingerprints of parts by their names.
func parts(names ...string) []quarantine.Request {
	all := make([]quarantine.Request, len(names))
	for i, name := range names {
		all[i] = request(name)
	}
	return all
}

func newPartSet(mayRetry bool) *quarantine.Set {
	return quarantine.New(quarantine.Config{Threshold: quarantine.PartThreshold, MayRetry: func(quarantine.Request) bool { return mayRetry }})
}

// crashUnder records that some incarnations crashed under all parts of a call.
func crashUnder(s *quarantine.Set, call []quarantine.Request, incarnations ...uint64) {
	for _, incarnation := range incarnations {
		var crashes []quarantine.Crash
		for _, part := range call {
			crashes = append(crashes, quarantine.Crash{Request: part, Caller: 1, Incarnation: incarnation})
		}
		s.NoteCrashes(crashes)
	}
}

func serve(s *quarantine.Set, call []quarantine.Request) {
	for _, part := range call {
		s.NoteServed(part)
	}
}

// A part that crashes servers is held, and not those that other calls share with it.
func TestWhichPartsAreHeld(t *testing.T) {
	bad, sound := parts("first", "bad", "third"), parts("first", "second", "third")
	tests := []struct {
		name string
		play func(s *quarantine.Set)
		// badHeld and soundHeld are whether a call with the bad part, and one without it, are held.
		badHeld, soundHeld bool
	}{
		{"three crashes", func(s *quarantine.Set) { crashUnder(s, bad, 1, 2, 3) }, false, false},
		{"four crashes, the other parts are served shortly before", func(s *quarantine.Set) {
			serve(s, sound)
			crashUnder(s, bad, 1, 2, 3, 4)
		}, true, false},
		{"four crashes, the other parts are served between them", func(s *quarantine.Set) {
			crashUnder(s, bad, 1, 2)
			serve(s, sound)
			crashUnder(s, bad, 3, 4)
		}, true, false},
		{"the other parts are served before, and cannot be while servers are away", func(s *quarantine.Set) {
			crashUnder(s, bad, 1)
			serve(s, sound)
			time.Sleep(5 * second)
			crashUnder(s, bad, 2, 3, 4, 5, 6)
		}, true, false},
		{"the same, and a crash under a sound call was not seen under the bad part", func(s *quarantine.Set) {
			crashUnder(s, bad, 1)
			serve(s, sound)
			time.Sleep(5 * second)
			crashUnder(s, sound, 2)
			crashUnder(s, bad, 3, 4, 5, 6)
		}, true, false},
		{"sound calls run at each server that crashes", func(s *quarantine.Set) {
			for incarnation := range uint64(6) {
				crashUnder(s, sound, incarnation)
				crashUnder(s, bad, incarnation)
				serve(s, sound)
				time.Sleep(second)
			}
		}, true, false},
		{"only calls with all three parts come: none can be told apart", func(s *quarantine.Set) { crashUnder(s, bad, 1, 2, 3, 4) }, true, true},
		{"a part is served after four crashes", func(s *quarantine.Set) {
			crashUnder(s, bad, 1, 2, 3, 4)
			serve(s, bad)
		}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newPartSet(false)
				test.play(s)
				_, admitted := s.AdmitAll(bad)
				g.Expect(admitted).To(Equal(!test.badHeld))
				_, admitted = s.AdmitAll(sound)
				g.Expect(admitted).To(Equal(!test.soundHeld))
			})
		})
	}
}

// If only calls with the bad part came, the parts beside it are held as well. Calls without it must be
// served soon after they come, at a cost of few crashes whichever part is the bad one.
func TestSoundPartsThatOnlyCameWithABadOneStayHeld(t *testing.T) {
	for _, bad := range []string{"first", "second", "third"} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(1, 1))
			boxes := make([]*quarantine.Set, 4)
			for i := range boxes {
				boxes[i] = quarantine.New(quarantine.Config{Threshold: quarantine.PartThreshold, MayRetry: func(part quarantine.Request) bool { return int(part[0])%len(boxes) == i }})
			}
			exchange := func() {
				for range 2 {
					for i := range boxes {
						send(boxes[i], boxes[(i+1)%len(boxes)])
						send(boxes[i], boxes[(i+2)%len(boxes)])
					}
				}
			}
			crashUnder(boxes[0], parts("first", "second", "third"), 1, 2, 3, 4)
			exchange()
			crashes, served, sent := 0, 0, 0
			for call := range 600 { // six seconds
				time.Sleep(10 * time.Millisecond)
				names := []string{"first", "second", "third"}
				hasBad := call%3 == 0
				if !hasBad {
					names = without(names, bad)
				}
				box := boxes[random.IntN(len(boxes))]
				_, admitted := box.AdmitAll(parts(names...))
				switch {
				case admitted && hasBad:
					crashes++
					crashUnder(box, parts(names...), uint64(100+call))
				case admitted:
					serve(box, parts(names...))
				}
				if !hasBad && call >= 300 {
					sent++
					if admitted {
						served++
					}
				}
				if call%20 == 0 {
					exchange()
				}
			}
			g.Expect(crashes).To(BeNumerically("<=", 1))
			g.Expect(served).To(Equal(sent))
		})
	}
}

func without(names []string, name string) []string {
	var rest []string
	for _, each := range names {
		if each != name {
			rest = append(rest, each)
		}
	}
	return rest
}

// Two parts that are held together are tried together, by one box.
func TestTwoHeldPartsAreNeverTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		call := parts("first", "second")
		admittedBy := 0
		for box := range 4 {
			s := quarantine.New(quarantine.Config{Threshold: quarantine.PartThreshold, MayRetry: func(part quarantine.Request) bool { return int(part[0])%4 == box }})
			crashUnder(s, call, 1, 2, 3, 4)
			left, admitted := s.AdmitAll(call)
			g.Expect(admitted).To(BeFalse())
			g.Expect(left).To(Equal(firstTry))
			time.Sleep(firstTry)
			if _, admitted = s.AdmitAll(call); admitted {
				admittedBy++
				_, admitted = s.AdmitAll(call)
				g.Expect(admitted).To(BeFalse(), "once")
			}
		}
		g.Expect(admittedBy).To(Equal(1))
	})
}

// A large fleet serves a sound part rarely at each box, and boxes learn of crashes before they learn that the
// part was served elsewhere. Of sound parts that are served ten times a second by 50 boxes, none may block a
// call that does not have the bad part.
func TestSoundPartsOfALargeFleetAreNotHeld(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 5))
			boxes := make([]*quarantine.Set, 50)
			for i := range boxes {
				boxes[i] = newPartSet(false)
			}
			bad, sound := parts("first", "bad", "third"), parts("first", "second", "third")
			crashes, blocked := 0, 0
			for tick := range 400 { // 20 s
				time.Sleep(50 * time.Millisecond)
				box := boxes[random.IntN(len(boxes))]
				if _, admitted := box.AdmitAll(bad); admitted && tick%8 == 0 {
					crashes++
					crashUnder(box, bad, uint64(1000+tick))
					crashUnder(boxes[random.IntN(len(boxes))], sound, uint64(1000+tick)) // a call beside it
				}
				if tick%2 == 0 {
					box = boxes[random.IntN(len(boxes))]
					if _, admitted := box.AdmitAll(sound); admitted {
						serve(box, sound)
					} else {
						blocked++
					}
				}
				if tick%4 == 0 { // a report takes 0.2 s
					for i := range boxes {
						send(boxes[i], boxes[0])
					}
					for i := range boxes {
						send(boxes[0], boxes[i])
					}
				}
			}
			g.Expect(crashes).To(BeNumerically("<=", 7), "seed %d", seed)
			g.Expect(blocked).To(BeNumerically("<=", 2), fmt.Sprintf("seed %d", seed))
		})
	}
}
