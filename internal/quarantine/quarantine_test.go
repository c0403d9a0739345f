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

// Retry delays that the package guarantees.
const (
	firstTry = 5 * time.Minute
	second   = time.Second
)

func request(name string) quarantine.Request {
	return fingerprint.Of(fingerprint.Request{Target: name})
}

// crash records that some incarnations of servers crashed under a request.
func crash(s *quarantine.Set, name string, incarnations ...uint64) {
	for _, incarnation := range incarnations {
		s.NoteCrash(quarantine.Crash{Request: request(name), Caller: 1, Incarnation: incarnation})
	}
}

func held(s *quarantine.Set, name string) bool {
	_, isHeld := s.HeldFor(request(name))
	return isHeld
}

// send merges everything that one box has into another.
func send(from, to *quarantine.Set) {
	for since := uint64(0); ; {
		records, next := from.ChangesSince(since)
		to.Merge(records)
		if next == since || len(records) == 0 {
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
		{"two servers crashed under it", func(s *quarantine.Set) { crash(s, "r", 1, 2) }, false, 2},
		{"three servers crashed under it", func(s *quarantine.Set) { crash(s, "r", 1, 2, 3) }, true, 3},
		{"three of its calls ran on one incarnation that crashed", func(s *quarantine.Set) { crash(s, "r", 1, 1, 1, 2) }, false, 2},
		{"served between the crashes", func(s *quarantine.Set) {
			crash(s, "r", 1, 2)
			s.NoteServed(request("r"))
			time.Sleep(3 * second)
			crash(s, "r", 3)
		}, false, 1},
		{"served after the crashes", func(s *quarantine.Set) {
			crash(s, "r", 1, 2, 3)
			s.NoteServed(request("r"))
		}, false, 0},
		{"a popular page in flight at servers that crash together", func(s *quarantine.Set) {
			s.NoteServed(request("r"))
			time.Sleep(second)
			crash(s, "r", 1, 2, 3, 4)
		}, false, 0},
		{"served until recently, and crashes servers since", func(s *quarantine.Set) {
			s.NoteServed(request("r"))
			time.Sleep(3 * second)
			crash(s, "r", 1, 2, 3)
		}, true, 3},
		{"served, and servers crash in the seconds after that", func(s *quarantine.Set) {
			s.NoteServed(request("r"))
			for incarnation := range uint64(6) {
				time.Sleep(second)
				crash(s, "r", incarnation)
			}
		}, true, 4},
		{"servers crashed under another request", func(s *quarantine.Set) { crash(s, "other", 1, 2, 3) }, false, 0},
		{"crashes far apart", func(s *quarantine.Set) {
			for incarnation := range uint64(3) {
				crash(s, "r", incarnation)
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

// A held request may be harmless by now: other software may be running, or it was held by chance.
// One box tries it, once, and each further crash makes the next try later. Three tries take two
// hours.
func TestAHeldRequestIsRetriedRarelyAndByOneBox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ours := quarantine.New(quarantine.Config{MayRetry: func(quarantine.Request) bool { return true }})
		theirs := quarantine.New(quarantine.Config{MayRetry: func(quarantine.Request) bool { return false }})
		crash(ours, "r", 1, 2, 3)
		send(ours, theirs)
		left, admitted := ours.Admit(request("r"))
		g.Expect(admitted).To(BeFalse())
		g.Expect(left).To(Equal(firstTry))
		wait := firstTry
		for incarnation := uint64(4); incarnation < 7; incarnation++ {
			time.Sleep(wait)
			_, admitted = theirs.Admit(request("r"))
			g.Expect(admitted).To(BeFalse(), "the other box retries it")
			_, admitted = ours.Admit(request("r"))
			g.Expect(admitted).To(BeTrue())
			_, admitted = ours.Admit(request("r"))
			g.Expect(admitted).To(BeFalse(), "once")
			crash(ours, "r", incarnation)
			send(ours, theirs)
			wait *= 4
			left, _ = ours.HeldFor(request("r"))
			g.Expect(left).To(Equal(wait))
		}
		time.Sleep(wait)
		_, admitted = ours.Admit(request("r"))
		g.Expect(admitted).To(BeTrue())
		ours.NoteServed(request("r"))
		send(ours, theirs)
		_, admitted = theirs.Admit(request("r"))
		g.Expect(admitted).To(BeTrue(), "it was served")
	})
}

// One caller can make up any number of requests. They must not evict the records of other
// callers' requests, and the total is bounded.
func TestAFloodOfOneCallersRequestsEvictsNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := quarantine.New(quarantine.Config{})
		crash(s, "r", 1, 2, 3)
		for number := range uint64(5000) {
			name := fmt.Sprint("flood-", number)
			for incarnation := range uint64(3) {
				s.NoteCrash(quarantine.Crash{Request: request(name), Caller: 2, Incarnation: incarnation})
			}
			time.Sleep(time.Millisecond)
		}
		g.Expect(held(s, "r")).To(BeTrue())
		g.Expect(held(s, "flood-4999")).To(BeTrue(), "the newest of the flood")
		isHeld, suspected := s.Counts()
		g.Expect(isHeld + suspected).To(BeNumerically("<=", 1024))
	})
}

// Requests that ran next to one that crashes servers are forgotten after a while.
func TestRequestsWithFewCrashesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := quarantine.New(quarantine.Config{})
		crash(s, "r", 1, 2)
		time.Sleep(11 * time.Minute)
		crash(s, "r", 3)
		g.Expect(held(s, "r")).To(BeFalse())
	})
}

// Whatever messages boxes receive, in any order and any number of times, boxes that have received
// all of them agree. They count no crash twice, and hold a request that crashed three servers and
// was never served.
func TestBoxesAgreeInAnyOrderOfMessages(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 1))
			boxes := make([]*quarantine.Set, 4)
			for i := range boxes {
				boxes[i] = quarantine.New(quarantine.Config{})
			}
			box := func() *quarantine.Set { return boxes[random.IntN(len(boxes))] }
			names := []string{"guilty", "bystander"}
			crashed := map[string]map[uint64]bool{"guilty": {}, "bystander": {}}
			for range 60 {
				name := names[random.IntN(2)]
				switch random.IntN(5) {
				case 0:
					incarnation := random.Uint64N(6)
					crashed[name][incarnation] = true
					crash(box(), name, incarnation)
				case 1:
					box().NoteServed(request("bystander"))
				default:
					send(box(), box())
				}
				time.Sleep(time.Duration(random.IntN(int(second))))
			}
			for range len(boxes) {
				for i := range boxes {
					send(boxes[i], boxes[(i+1)%len(boxes)])
				}
			}
			for _, b := range boxes {
				g.Expect(b.Crashes(request("guilty"))).To(Equal(len(crashed["guilty"])), "seed %d", seed)
				g.Expect(held(b, "guilty")).To(Equal(len(crashed["guilty"]) >= quarantine.HoldThreshold), "seed %d", seed)
				g.Expect(b.Crashes(request("bystander"))).To(Equal(boxes[0].Crashes(request("bystander"))), "seed %d", seed)
				g.Expect(b.Crashes(request("bystander"))).To(BeNumerically("<=", len(crashed["bystander"])), "seed %d", seed)
			}
		})
	}
}

// Changes are reported so that the caller can act on them at once.
func TestChangesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var changes []quarantine.Change
		s := quarantine.New(quarantine.Config{OnChange: func(change quarantine.Change) { changes = append(changes, change) }})
		other := quarantine.New(quarantine.Config{})
		crash(s, "r", 1, 1, 2)
		crash(other, "r", 3)
		send(other, s)
		send(other, s)
		s.NoteServed(request("r"))
		g.Expect(changes).To(Equal([]quarantine.Change{
			{Request: request("r"), Crashes: 1},
			{Request: request("r"), Crashes: 2},
			{Request: request("r"), Crashes: 3, Held: true, FromPeer: true},
			{Request: request("r"), Released: true},
		}))
	})
}

// Only changes are sent, and the size of a message is bounded.
func TestOnlyChangesAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := quarantine.New(quarantine.Config{})
		records, next := s.ChangesSince(0)
		g.Expect(records).To(BeEmpty())
		for number := range uint64(100) {
			crash(s, fmt.Sprint(number), 1)
		}
		records, next = s.ChangesSince(next)
		g.Expect(len(records)).To(BeNumerically("<", 100))
		rest, last := s.ChangesSince(next)
		g.Expect(len(records) + len(rest)).To(Equal(100))
		again, _ := s.ChangesSince(last)
		g.Expect(again).To(BeEmpty())
		crash(s, "7", 2)
		again, _ = s.ChangesSince(last)
		g.Expect(again).To(HaveLen(1))
	})
}

// BenchmarkServed measures the cost of each served call in a box that has many records.
func BenchmarkServed(b *testing.B) {
	s := quarantine.New(quarantine.Config{})
	for number := range uint64(1000) {
		crash(s, fmt.Sprint(number), 1)
	}
	var each quarantine.Request
	for number := uint64(0); b.Loop(); number++ {
		binary.BigEndian.PutUint64(each[:], number)
		s.Admit(each)
		s.NoteServed(each)
	}
}
