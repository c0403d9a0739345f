package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/quarantine"
)

// Times that the promises name.
const (
	firstTry = 5 * time.Minute
	second   = time.Second
)

func request(name string) quarantine.Request {
	return fingerprint.Of(fingerprint.Request{Target: name})
}

// end notes that some lives of servers ended under a request.
func end(s *quarantine.Set, name string, lives ...uint64) {
	for _, life := range lives {
		s.NoteCrash(quarantine.Crash{Request: request(name), Caller: 1, Incarnation: life})
	}
}

func held(s *quarantine.Set, name string) bool {
	_, isHeld := s.HeldFor(request(name))
	return isHeld
}

// tell has a box hear all that another knows.
func tell(from, to *quarantine.Set) {
	for since := uint64(0); ; {
		words, next := from.ChangesSince(since)
		to.Merge(words)
		if next == since || len(words) == 0 {
			return
		}
		since = next
	}
}

func TestWhichRequestsAreHeld(t *testing.T) {
	tests := []struct {
		name  string
		play  func(s *quarantine.Set)
		held  bool
		count int
	}{
		{"one under which two servers ended", func(s *quarantine.Set) { end(s, "r", 1, 2) }, false, 2},
		{"one under which three ended", func(s *quarantine.Set) { end(s, "r", 1, 2, 3) }, true, 3},
		{"one of whose calls ran three times in a life that ended", func(s *quarantine.Set) { end(s, "r", 1, 1, 1, 2) }, false, 2},
		{"one that is served between the ends", func(s *quarantine.Set) {
			end(s, "r", 1, 2)
			s.NoteServed(request("r"))
			time.Sleep(3 * second)
			end(s, "r", 3)
		}, false, 1},
		{"one that is served after the ends", func(s *quarantine.Set) {
			end(s, "r", 1, 2, 3)
			s.NoteServed(request("r"))
		}, false, 0},
		{"a page that everybody asks for, under way at servers that end together", func(s *quarantine.Set) {
			s.NoteServed(request("r"))
			time.Sleep(second)
			end(s, "r", 1, 2, 3, 4)
		}, false, 0},
		{"one that was served until lately and ends servers since", func(s *quarantine.Set) {
			s.NoteServed(request("r"))
			time.Sleep(3 * second)
			end(s, "r", 1, 2, 3)
		}, true, 3},
		{"one that was served, and the ends came in the seconds after", func(s *quarantine.Set) {
			s.NoteServed(request("r"))
			for life := range uint64(6) {
				time.Sleep(second)
				end(s, "r", life)
			}
		}, true, 4},
		{"another one than that under which servers ended", func(s *quarantine.Set) { end(s, "other", 1, 2, 3) }, false, 0},
		{"one whose ends lie far apart", func(s *quarantine.Set) {
			for life := range uint64(3) {
				end(s, "r", life)
				time.Sleep(time.Minute)
			}
		}, true, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := quarantine.New(quarantine.Config{})
				test.play(s)
				g.Expect(held(s, "r")).To(Equal(test.held))
				g.Expect(s.Crashes(request("r"))).To(Equal(test.count))
			})
		})
	}
}

// A request that is held may be sound again: other software may run, or chance was to blame.
// One box tries it, once, and each further end makes the next try later. Three tries take two
// hours.
func TestARequestThatIsHeldIsTriedSeldomAndByOneBox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ours := quarantine.New(quarantine.Config{MayRetry: func(quarantine.Request) bool { return true }})
		theirs := quarantine.New(quarantine.Config{MayRetry: func(quarantine.Request) bool { return false }})
		end(ours, "r", 1, 2, 3)
		tell(ours, theirs)
		left, admitted := ours.Admit(request("r"))
		g.Expect(admitted).To(BeFalse())
		g.Expect(left).To(Equal(firstTry))
		wait := firstTry
		for life := uint64(4); life < 7; life++ {
			time.Sleep(wait)
			_, admitted = theirs.Admit(request("r"))
			g.Expect(admitted).To(BeFalse(), "it is up to the other box")
			_, admitted = ours.Admit(request("r"))
			g.Expect(admitted).To(BeTrue())
			_, admitted = ours.Admit(request("r"))
			g.Expect(admitted).To(BeFalse(), "once")
			end(ours, "r", life)
			tell(ours, theirs)
			wait *= 4
			left, _ = ours.HeldFor(request("r"))
			g.Expect(left).To(Equal(wait))
		}
		time.Sleep(wait)
		_, admitted = ours.Admit(request("r"))
		g.Expect(admitted).To(BeTrue())
		ours.NoteServed(request("r"))
		tell(ours, theirs)
		_, admitted = theirs.Admit(request("r"))
		g.Expect(admitted).To(BeTrue(), "it was served")
	})
}

// One caller can make up as many requests as it likes. They take no room from what is known
// of other callers' requests, and there is a bound to all.
func TestAFloodOfOneCallersRequestsPushesOutNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := quarantine.New(quarantine.Config{})
		end(s, "r", 1, 2, 3)
		for number := range uint64(5000) {
			name := fmt.Sprint("flood-", number)
			for life := range uint64(3) {
				s.NoteCrash(quarantine.Crash{Request: request(name), Caller: 2, Incarnation: life})
			}
			time.Sleep(time.Millisecond)
		}
		g.Expect(held(s, "r")).To(BeTrue())
		g.Expect(held(s, "flood-4999")).To(BeTrue(), "the newest of the flood")
		isHeld, suspected := s.Counts()
		g.Expect(isHeld + suspected).To(BeNumerically("<=", 1024))
	})
}

// Requests beside those that end servers are forgotten after a while.
func TestWhatWasBesideIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := quarantine.New(quarantine.Config{})
		end(s, "r", 1, 2)
		time.Sleep(11 * time.Minute)
		end(s, "r", 3)
		g.Expect(held(s, "r")).To(BeFalse())
	})
}

// Whatever boxes hear, in which order and how often, those that have heard all agree, count no
// end twice, and hold what ended three servers and was served by none.
func TestBoxesAgreeWhateverTheOrderOfWords(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 1))
			boxes := make([]*quarantine.Set, 4)
			for i := range boxes {
				boxes[i] = quarantine.New(quarantine.Config{})
			}
			box := func() *quarantine.Set { return boxes[random.IntN(len(boxes))] }
			names := []string{"guilty", "beside"}
			ended := map[string]map[uint64]bool{"guilty": {}, "beside": {}}
			for range 60 {
				name := names[random.IntN(2)]
				switch random.IntN(5) {
				case 0:
					life := random.Uint64N(6)
					ended[name][life] = true
					end(box(), name, life)
				case 1:
					box().NoteServed(request("beside"))
				default:
					tell(box(), box())
				}
				time.Sleep(time.Duration(random.IntN(int(second))))
			}
			for range len(boxes) {
				for i := range boxes {
					tell(boxes[i], boxes[(i+1)%len(boxes)])
				}
			}
			for _, b := range boxes {
				g.Expect(b.Crashes(request("guilty"))).To(Equal(len(ended["guilty"])), "seed %d", seed)
				g.Expect(held(b, "guilty")).To(Equal(len(ended["guilty"]) >= quarantine.HoldThreshold), "seed %d", seed)
				g.Expect(b.Crashes(request("beside"))).To(Equal(boxes[0].Crashes(request("beside"))), "seed %d", seed)
				g.Expect(b.Crashes(request("beside"))).To(BeNumerically("<=", len(ended["beside"])), "seed %d", seed)
			}
		})
	}
}

// Changes are told so that others can act on them at once.
func TestChangesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var changes []quarantine.Change
		s := quarantine.New(quarantine.Config{OnChange: func(change quarantine.Change) { changes = append(changes, change) }})
		other := quarantine.New(quarantine.Config{})
		end(s, "r", 1, 1, 2)
		end(other, "r", 3)
		tell(other, s)
		tell(other, s)
		s.NoteServed(request("r"))
		g.Expect(changes).To(Equal([]quarantine.Change{
			{Request: request("r"), Crashes: 1},
			{Request: request("r"), Crashes: 2},
			{Request: request("r"), Crashes: 3, Held: true, FromPeer: true},
			{Request: request("r"), Released: true},
		}))
	})
}

// Only what changed is told, and a message holds a bounded part of it.
func TestOnlyChangesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := quarantine.New(quarantine.Config{})
		words, next := s.ChangesSince(0)
		g.Expect(words).To(BeEmpty())
		for number := range uint64(100) {
			end(s, fmt.Sprint(number), 1)
		}
		words, next = s.ChangesSince(next)
		g.Expect(len(words)).To(BeNumerically("<", 100))
		rest, last := s.ChangesSince(next)
		g.Expect(len(words) + len(rest)).To(Equal(100))
		again, _ := s.ChangesSince(last)
		g.Expect(again).To(BeEmpty())
		end(s, "7", 2)
		again, _ = s.ChangesSince(last)
		g.Expect(again).To(HaveLen(1))
	})
}

// BenchmarkServed is what each call that is served costs, in a box that remembers many
// requests.
func BenchmarkServed(b *testing.B) {
	s := quarantine.New(quarantine.Config{})
	for number := range uint64(1000) {
		end(s, fmt.Sprint(number), 1)
	}
	var each quarantine.Request
	for number := uint64(0); b.Loop(); number++ {
		binary.BigEndian.PutUint64(each[:], number)
		s.Admit(each)
		s.NoteServed(each)
	}
}
