package streamorigin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/baseversion"
)

const service = "runners"

const freePort = "127.0.0.1:0"

// beginStreams begins streams at all boxes in turn, at two versions, and waits until they are sent.
func beginStreams(g *WithT, boxes []*testBox, count int) {
	for number := range count {
		boxes[number%len(boxes)].Note(keyOfNumber(number), originOf(number))
	}
	for _, b := range boxes {
		g.Eventually(b.unsentCount, 5*time.Second, 5*time.Millisecond).Should(BeZero())
	}
	time.Sleep(exchangeTimeout) // until the last batches have arrived
}

func (o *Origins) unsentCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, stream := range o.own {
		if !stream.checked {
			count++
		}
	}
	return count
}

func keyOfNumber(number int) Key { return KeyOf("north", fmt.Sprint(number)) }

func originOf(number int) Origin {
	return Origin{Service: service, Software: fmt.Sprint("v", 1+number%2), Expires: time.Now().Add(time.Minute)}
}

// Boxes that crash take the streams that they relay with them, and their callers resume them elsewhere.
// Two boxes of four, or a whole zone, must not take the origins of the streams along.
func TestOriginsAreLostWithTheirBoxes(t *testing.T) {
	tests := []struct {
		name  string
		zones []string
		lost  []int
	}{
		{"none", []string{"a", "a", "a", "a"}, nil},
		{"two boxes of four", []string{"a", "a", "a", "a"}, []int{0, 2}},
		{"two boxes of four in four zones", []string{"a", "b", "c", "d"}, []int{1, 3}},
		{"a zone of three boxes", []string{"a", "a", "a", "b", "b", "c", "c", "d"}, []int{0, 1, 2}},
		{"one of two zones", []string{"a", "a", "b", "b"}, []int{2, 3}},
		{"three boxes of four in four zones", []string{"a", "b", "c", "d"}, []int{0, 1, 2}},
		{"three boxes of eight in four zones", []string{"a", "b", "c", "d", "a", "b", "c", "d"}, []int{0, 1, 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			boxes := startBoxes(t, g, test.zones...)
			const streams = 200
			beginStreams(g, boxes, streams)
			lost := map[int]bool{}
			for _, box := range test.lost {
				boxes[box].stop()
				lost[box] = true
			}
			for number := range streams {
				for i, b := range boxes {
					if lost[i] {
						continue
					}
					evidence := b.Find(t.Context(), keyOfNumber(number), service)
					g.Expect(evidence.Found).To(BeTrue(), "stream %d at box %d", number, i)
					g.Expect(evidence.Software).To(Equal(originOf(number).Software))
				}
			}
		})
	}
}

// A holder that restarts is empty. When the holders of a stream restarted one after the other, no copy was
// left, though its box was there all the time.
func TestCopiesAreLostAtHoldersThatRestart(t *testing.T) {
	g := NewWithT(t)
	boxes := startBoxes(t, g, "a", "b", "c", "d", "a", "b", "c", "d")
	const streams = 40
	beginStreams(g, boxes[:1], streams)
	for _, b := range boxes[1:] {
		b.restart(g)
		time.Sleep(recheckInterval + exchangeTimeout)
	}
	for _, b := range boxes {
		g.Eventually(b.unsentCount, 5*time.Second, 5*time.Millisecond).Should(BeZero())
	}
	time.Sleep(exchangeTimeout) // until the last batches have arrived
	boxes[0].stop()
	for number := range streams {
		evidence := boxes[1+number%7].Find(t.Context(), keyOfNumber(number), service)
		g.Expect(evidence.Found).To(BeTrue(), "stream %d", number)
	}
}

// Streams that are in flight when a second version appears have no origin anywhere but at their box.
func TestOriginsAreSentWhenASecondVersionAppears(t *testing.T) {
	g := NewWithT(t)
	boxes := startBoxes(t, g, "a", "a", "a", "a")
	for _, b := range boxes {
		b.setVersions("v1")
	}
	boxes[0].Note(keyOfNumber(0), originOf(0))
	time.Sleep(2 * recheckInterval)
	g.Expect(boxes[0].unsentCount()).To(Equal(1), "nothing is sent while there is one version")
	for _, b := range boxes[1:] {
		g.Expect(b.known.origins).To(BeEmpty())
	}
	boxes[0].setVersions("v1", "v2")
	g.Eventually(boxes[0].unsentCount, time.Second).Should(BeZero())
	time.Sleep(exchangeTimeout)
	boxes[0].stop()
	for _, b := range boxes[1:] {
		g.Expect(b.Find(t.Context(), keyOfNumber(0), service).Found).To(BeTrue())
	}
}

// A box that has not read of a new version yet must learn of it from the boxes that it asks.
func TestABoxThatKnowsOfOneVersionLearnsOfOthers(t *testing.T) {
	g := NewWithT(t)
	boxes := startBoxes(t, g, "a", "a", "a", "a")
	boxes[0].setVersions("v1")
	evidence := boxes[0].Find(t.Context(), keyOfNumber(7), service)
	g.Expect(evidence.Versions).To(ConsistOf("v1", "v2"))
	_, known := Decide(evidence, 0)
	g.Expect(known).To(BeFalse())
}

// A holder that accepts connections and never answers delays a caller's first try for a bounded time.
func TestASilentHolderDelaysACaller(t *testing.T) {
	g := NewWithT(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer silent.Close()
	o := New(Config{Logger: zerolog.Nop(), Self: Box{Name: "self"}, Versions: func(string) []string { return []string{"v1"} }, Others: func() []Box {
		return []Box{{Name: "silent", Address: silent.Addr().String()}}
	}})
	began := time.Now()
	evidence := o.Find(t.Context(), keyOfNumber(0), service)
	g.Expect(time.Since(began)).To(BeNumerically("<", 2*exchangeTimeout))
	g.Expect(evidence.LongestUptime).To(BeNumerically(">", 0))
	evidence.LongestUptime = 0
	g.Expect(evidence).To(Equal(Evidence{Versions: []string{"v1"}, Asked: 1}))
}

func TestWhichVersionServesAResumedStream(t *testing.T) {
	const v1, v2 = "v1", "v2"
	base := baseversion.Base{Version: v1, Present: true}
	replaced := baseversion.Base{Version: v1, Present: true, Replaced: true}
	tests := []struct {
		name     string
		evidence Evidence
		listAge  time.Duration
		software string
		known    bool
	}{
		{"found", Evidence{Found: true, Software: v1, Versions: []string{"v1", "v2"}}, time.Hour, v1, true},
		{"found, and this box does not know the version", Evidence{Found: true, Software: v1, Versions: []string{"v2"}}, 0, v1, true},
		{"not found, one version", Evidence{Versions: []string{v1}, Asked: 3, Responded: 3}, 0, v1, true},
		{"not found, two versions", Evidence{Versions: []string{"v1", "v2"}, Asked: 3, Responded: 3}, 0, "", false},
		{"not found, two versions, no other box", Evidence{Versions: []string{"v1", "v2"}}, 0, "", false},
		{"one version, no box responds", Evidence{Versions: []string{v1}, Asked: 3}, time.Second, v1, true},
		{"one version, no box responds and the list is old", Evidence{Versions: []string{v1}, Asked: 3}, time.Minute, "", false},
		{"one version, an old list, a box responds", Evidence{Versions: []string{v1}, Asked: 3, Responded: 1}, time.Minute, v1, true},
		{"one version, an old list, no other box", Evidence{Versions: []string{v1}}, time.Minute, v1, true},
		{"one version, boxes that have just started, the log was read", Evidence{Versions: []string{v1}, Asked: 3, Responded: 3, LogRead: true}, 0, v1, true},
		{"one version, boxes that have just started, the log is away", Evidence{Versions: []string{v1}, Asked: 3, Responded: 3, LogFailed: true}, 0, "", false},
		{"one version, a box that remembers, the log is away", Evidence{Versions: []string{v1}, Asked: 3, Responded: 3, LogFailed: true, LongestUptime: versionMemory}, 0, v1, true},
		{"one version, a box that is older than the stream, the log is away", Evidence{Versions: []string{v1}, Asked: 3, Responded: 3, LogFailed: true, LongestUptime: 20 * time.Second, MaxAge: 20 * time.Second}, 0, v1, true},
		{"one version, boxes that are younger than the stream, the log is away", Evidence{Versions: []string{v1}, Asked: 3, Responded: 3, LogFailed: true, LongestUptime: 19 * time.Second, MaxAge: 20 * time.Second}, 0, "", false},
		{"one version, most boxes are silent, the log is away", Evidence{Versions: []string{v1}, Asked: 7, Responded: 1, Ended: 2, LogFailed: true, LongestUptime: versionMemory}, 0, "", false},
		{"one version, most boxes respond or have ended, the log is away", Evidence{Versions: []string{v1}, Asked: 7, Responded: 1, Ended: 3, LogFailed: true, LongestUptime: versionMemory}, 0, v1, true},
		{"one version, no other box, the log is away", Evidence{Versions: []string{v1}, LogFailed: true, LongestUptime: versionMemory}, 0, v1, true},
		{"a box that has just started and knows of no server", Evidence{}, 0, "", false},
		{"no box knows of a server, one version in the log", Evidence{Versions: []string{v1}, Unlisted: true, LogRead: true}, 0, "", false},
		{"the base version", Evidence{Versions: []string{v1}, LogRead: true, Base: &base}, 0, v1, true},
		{"the base version among others", Evidence{Versions: []string{v1, v2}, LogRead: true, Base: &base}, 0, v1, true},
		{"the base version, which has left", Evidence{Versions: []string{v2}, LogRead: true, Base: &base}, 0, v1, true},
		{"another version than the base version, found", Evidence{Found: true, Software: v2, Versions: []string{v1, v2}, LogRead: true, Base: &base}, 0, v2, true},
		{"a service without a base version", Evidence{Versions: []string{v1}, LogRead: true, Base: &baseversion.Base{Replaced: true}}, 0, "", false},
		{"no box knows of a server, a base version", Evidence{Versions: []string{v1}, Unlisted: true, LogRead: true, Base: &base}, 0, "", false},
		{"a base version of an earlier era, one version", Evidence{Versions: []string{v1}, LogRead: true, Base: &base, LogEra: 1, LongestUptime: versionMemory}, 0, v1, true},
		{"a base version of an earlier era, one version, boxes that are younger than the stream", Evidence{Versions: []string{v1}, LogRead: true, Base: &base, LogEra: 1}, 0, "", false},
		{"a base version of an earlier era, another version", Evidence{Versions: []string{v2}, LogRead: true, Base: &base, LogEra: 1}, 0, "", false},
		{"a base version of an earlier era, two versions", Evidence{Versions: []string{v1, v2}, LogRead: true, Base: &base, LogEra: 1}, 0, "", false},
		{"a base version that replaced another one", Evidence{Versions: []string{v1}, LogRead: true, Base: &replaced, MaxAge: 50 * time.Second}, 0, v1, true},
		{"a base version that replaced another one while a long stream ran", Evidence{Versions: []string{v1}, LogRead: true, Base: &replaced, BaseAge: 9 * time.Second, MaxAge: 70 * time.Second}, 0, "", false},
		{"a base version that replaced another one long ago", Evidence{Versions: []string{v1}, LogRead: true, Base: &replaced, BaseAge: 10 * time.Second, MaxAge: 70 * time.Second}, 0, v1, true},
		{"no box knows of a server, found in the log", Evidence{Found: true, Software: v1, Versions: []string{v1}, Unlisted: true, LogRead: true}, 0, v1, true},
	}
	baseOf := func(version string, replaced bool) *baseversion.Base {
		return &baseversion.Base{Version: version, Present: true, Replaced: replaced}
	}
	for _, unnamed := range []struct {
		name     string
		evidence Evidence
		known    bool
	}{
		{"one version", Evidence{Versions: []string{v1}}, true},
		{"one version, which is the base version", Evidence{Versions: []string{v1}, LogRead: true, Base: baseOf(v1, false)}, true},
		{"one version, and another one is the base version", Evidence{Versions: []string{v1}, LogRead: true, Base: baseOf("v2", false)}, false},
		{"one version, which has just become the base version", Evidence{Versions: []string{v1}, LogRead: true, Base: baseOf(v1, true), MaxAge: versionMemory + time.Second}, false},
		{"one version is the base version, another box or the log has one more", Evidence{Versions: []string{v1, "v2"}, LogRead: true, Base: baseOf(v1, false)}, false},
		{"no version", Evidence{LogRead: true, Base: baseOf(v1, false)}, false},
		{"one version, boxes that have just started, the log is away", Evidence{Versions: []string{v1}, LogFailed: true}, false},
	} {
		t.Run("not named, "+unnamed.name, func(t *testing.T) {
			g := NewWithT(t)
			unnamed.evidence.Unnamed = true
			software, known := Decide(unnamed.evidence, 0)
			g.Expect(known).To(Equal(unnamed.known))
			g.Expect(software == v1).To(Equal(unnamed.known))
		})
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			software, known := Decide(test.evidence, test.listAge)
			g.Expect(software).To(Equal(test.software))
			g.Expect(known).To(Equal(test.known))
		})
	}
}

// A flood of streams must not take more memory than the bound, and the newest ones are kept.
func TestTheTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	known := newTable()
	now := time.Now()
	for number := range maxOrigins + 1000 {
		known.add(keyOfNumber(number), Origin{Service: service, Expires: now.Add(time.Minute)}, now)
	}
	g.Expect(known.origins).To(HaveLen(maxOrigins))
	g.Expect(known.order).To(HaveLen(maxOrigins))
	_, found := known.find(keyOfNumber(0), now)
	g.Expect(found).To(BeFalse())
	_, found = known.find(keyOfNumber(maxOrigins+999), now)
	g.Expect(found).To(BeTrue())
	known.add(keyOfNumber(0), Origin{Expires: now.Add(2 * time.Minute)}, now.Add(time.Minute))
	g.Expect(known.origins).To(HaveLen(1), "the others have expired")
}

// Streams that broke off are never completed. They must make room for later ones.
func TestBrokenStreamsFillTheTableOfOwnStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := New(Config{Logger: zerolog.Nop(), Others: func() []Box { return nil }, Versions: func(string) []string { return []string{"v1"} }})
		ctx, stop := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		loops.Go(func() { o.Loop(ctx) })
		for number := range maxOrigins {
			o.Note(keyOfNumber(number), originOf(number))
		}
		time.Sleep(time.Minute + 2*dropInterval)
		g.Expect(o.ownCount()).To(BeZero())
		stop()
		loops.Wait()
		for number := range maxOrigins {
			o.Note(keyOfNumber(number), originOf(number))
		}
		time.Sleep(time.Minute)
		o.Note(keyOfNumber(maxOrigins), originOf(maxOrigins))
		g.Expect(o.ownCount()).To(Equal(1))
	})
}

func (o *Origins) ownCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.own)
}

// A message of another box must neither crash the box nor make it keep what is invalid.
func TestInvalidOriginsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	o := New(Config{Logger: zerolog.Nop(), Others: func() []Box { return nil }, Versions: func(string) []string { return nil }})
	answer := o.handle(t.Context(), request{Origins: []wireOrigin{
		{Key: []byte{1}, Service: service, Remaining: time.Minute},
		{Key: make([]byte, keySize), Service: service, Remaining: -1},
		{Key: make([]byte, keySize), Service: service, Remaining: time.Hour},
		{},
	}, Key: []byte("short"), Service: service})
	g.Expect(answer.Found).To(BeNil())
	g.Expect(o.known.origins).To(HaveLen(1))
	answer = o.handle(t.Context(), request{Key: make([]byte, keySize), Service: service})
	g.Expect(answer.Found.Remaining).To(BeNumerically("<=", maxRemaining))
	answer = o.handle(t.Context(), request{Key: make([]byte, keySize), Service: "another"})
	g.Expect(answer.Found).NotTo(BeNil(), "the stream of another service")
	g.Expect(answer.Found.Service).To(Equal(service))
}

// A box that has just started knows of no other box yet. It must ask once it does, not refuse at once.
func TestABoxThatHasJustStartedAsksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		began := time.Now()
		var knownAfter time.Duration
		o := New(Config{Logger: zerolog.Nop(), Others: func() []Box { return nil }, Started: func() bool { return time.Since(began) >= knownAfter }, Versions: func(string) []string {
			if time.Since(began) >= knownAfter {
				return []string{"v1"}
			}
			return nil
		}})
		knownAfter = startTimeout / 2
		g.Expect(o.Find(t.Context(), keyOfNumber(0), service).Versions).To(Equal([]string{"v1"}))
		knownAfter = time.Hour
		asked := time.Now()
		g.Expect(o.Find(t.Context(), keyOfNumber(0), service).Versions).To(BeEmpty())
		g.Expect(time.Since(asked)).To(BeNumerically("<=", startTimeout+startPollInterval))
	})
}
