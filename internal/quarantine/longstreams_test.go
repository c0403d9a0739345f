package quarantine_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/quarantine"
)

// Streams of many seconds with a part in common rarely end, so that few of them excuse a crash by their end. When
// servers crash together, the streams that go on at other servers must keep the part from being held.
func TestAPartOfLongStreamsIsHeldWhenServersCrashTogether(t *testing.T) {
	tests := []struct {
		name string
		// gap is the time between the begins of two streams, and crashAt when servers crash.
		gap, crashAt time.Duration
	}{
		{"streams that begin together", 0, 1200 * time.Millisecond},
		{"streams that have been running for long", 0, 20 * second},
		{"streams that begin one after the other", 100 * time.Millisecond, 3 * second},
		{"streams that begin slowly one after the other", 700 * time.Millisecond, 17 * second},
	}
	for _, test := range tests {
		for seed := range uint64(10) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newStreamFleet(seed, 0)
				crashAt := time.Now().Add(test.crashAt)
				for number := range 24 {
					f.work.Go(func() {
						time.Sleep(time.Duration(number) * test.gap)
						f.runStream(30 * second)
					})
				}
				f.work.Go(func() { f.loopShare(crashAt.Add(10 * second)) })
				time.Sleep(time.Until(crashAt))
				for server := range crashedServers {
					f.crash(server)
				}
				for range 20 { // new streams in the next 10 s
					time.Sleep(second / 2)
					f.work.Go(func() { f.runStream(30 * second) })
				}
				f.work.Wait()
				g.Expect(f.lost).To(BeNumerically(">=", quarantine.PartThreshold), "fewer streams show nothing")
				g.Expect(f.refused).To(BeZero(), "%s, seed %d", test.name, seed)
			})
		}
	}
}

// A part that crashes servers some time after they begin to answer must be held, although streams with it run
// until then. Later than three seconds after the fifth crash it may be sent to servers three more times.
func TestAPartThatCrashesServersLateIsNeverHeld(t *testing.T) {
	tests := []struct {
		// delay is the time to a crash, and gap the time between two calls.
		delay, gap time.Duration
	}{
		{800 * time.Millisecond, 300 * time.Millisecond},
		{1500 * time.Millisecond, 300 * time.Millisecond},
		{1500 * time.Millisecond, 2 * second},
		{4 * second, 2 * second},
	}
	for _, test := range tests {
		for seed := range uint64(10) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newStreamFleet(seed, test.delay)
				end := time.Now().Add(time.Minute)
				f.work.Go(func() { f.loopShare(end) })
				for time.Now().Before(end) {
					f.work.Go(func() { f.runStream(30 * second) })
					time.Sleep(test.gap)
				}
				f.work.Wait()
				g.Expect(len(f.crashTimes)).To(BeNumerically(">", quarantine.PartThreshold))
				late := countAfter(f.sentTimes, f.crashTimes[quarantine.PartThreshold].Add(3*second))
				t.Logf("seed %d, a crash after %v, a call each %v: %d crashes, %d late sendings", seed, test.delay, test.gap, len(f.crashTimes), late)
				g.Expect(late).To(BeNumerically("<=", 3), "seed %d, a crash after %v, a call each %v", seed, test.delay, test.gap)
			})
		}
	}
}

const (
	streamBoxes   = 4
	streamServers = 20
	// crashedServers is the number of servers that crash together.
	crashedServers = 12
	// streamNote is the time between two notes of a stream in progress.
	streamNote = 500 * time.Millisecond
)

// streamFleet is a small model of streams with one part in common, which boxes relay from servers.
type streamFleet struct {
	boxes []*quarantine.Set
	// crashDelay is when a stream crashes its server; zero means never.
	crashDelay time.Duration
	work       sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	// servers have a channel that is closed when they crash.
	servers [streamServers]chan struct{}
	// incarnations are those of the servers.
	incarnations          [streamServers]uint64
	crashTimes, sentTimes []time.Time
	lost, refused         int
}

func newStreamFleet(seed uint64, crashDelay time.Duration) *streamFleet {
	f := &streamFleet{crashDelay: crashDelay, random: rand.New(rand.NewPCG(seed, 7))}
	for range streamBoxes {
		f.boxes = append(f.boxes, newPartSet(false))
	}
	for server := range f.servers {
		f.start(server)
	}
	return f
}

// start starts an incarnation of a server. The caller holds mu, or has the only reference.
func (f *streamFleet) start(server int) {
	f.incarnations[server] = f.random.Uint64()
	f.servers[server] = make(chan struct{})
}

// crash crashes a server, which restarts at once.
func (f *streamFleet) crash(server int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashTimes = append(f.crashTimes, time.Now())
	close(f.servers[server])
	f.start(server)
}

// loopShare exchanges the crashes between boxes.
func (f *streamFleet) loopShare(end time.Time) {
	for ; time.Now().Before(end); time.Sleep(second / 5) {
		for range 2 {
			for i := range f.boxes {
				send(f.boxes[i], f.boxes[(i+1)%streamBoxes])
				send(f.boxes[i], f.boxes[(i+2)%streamBoxes])
			}
		}
	}
}

// streamTry is a stream at a server.
type streamTry struct {
	box         *quarantine.Set
	server      int
	incarnation uint64
	crashed     chan struct{}
	began       time.Time
}

func (f *streamFleet) place() streamTry {
	f.mu.Lock()
	defer f.mu.Unlock()
	server := f.random.IntN(streamServers)
	return streamTry{f.boxes[f.random.IntN(streamBoxes)], server, f.incarnations[server], f.servers[server], time.Now()}
}

// runStream runs a stream, which goes on at another server once if its own crashes.
func (f *streamFleet) runStream(length time.Duration) {
	for range 2 {
		try := f.place()
		if _, admitted := try.box.AdmitAll(parts("shared")); !admitted {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.refused++
			return
		}
		if f.runTry(try, length) {
			return
		}
	}
}

// runTry runs a stream at one server and reports whether it was served.
func (f *streamFleet) runTry(try streamTry, length time.Duration) (served bool) {
	end, crash := time.After(length), f.sent()
	for {
		select {
		case <-end:
			try.box.NoteServed(request("shared"))
			return true
		case <-crash:
			f.crash(try.server)
		case <-try.crashed:
			f.countLost()
			try.box.NoteCrash(quarantine.Crash{Request: request("shared"), Incarnation: try.incarnation, Running: time.Since(try.began)})
			return false
		case <-time.After(streamNote):
			try.box.NoteRunning(request("shared"), time.Since(try.began))
		}
	}
}

// sent records that a stream was sent to a server, and returns the channel from which it receives when it crashes
// the server.
func (f *streamFleet) sent() <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sentTimes = append(f.sentTimes, time.Now())
	if f.crashDelay == 0 {
		return nil
	}
	return time.After(f.crashDelay + time.Duration(f.random.IntN(50))*time.Millisecond)
}

func (f *streamFleet) countLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost++
}

func countAfter(times []time.Time, limit time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(limit) {
			count++
		}
	}
	return count
}

// What the log has of a held part does not state how long calls had been running. A stream with the part that has
// been running for a while must not release it.
func TestARestoredPartIsReleasedBeforeItIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		before, after := newPartSet(false), newPartSet(false)
		for incarnation := range uint64(quarantine.PartThreshold) {
			before.NoteCrash(quarantine.Crash{Request: request("bad"), Incarnation: incarnation, Running: 4 * second})
		}
		g.Expect(held(before, "bad")).To(BeFalse(), "the crashes are pending")
		time.Sleep(2 * second)
		synctest.Wait() // for the timers that are due now
		g.Expect(held(before, "bad")).To(BeTrue())
		after.MergeRecorded(before.Held())
		g.Expect(held(after, "bad")).To(BeTrue())
		after.NoteRunning(request("bad"), 10*second)
		g.Expect(held(after, "bad")).To(BeTrue())
		after.NoteServed(request("bad"))
		g.Expect(held(after, "bad")).To(BeFalse())
	})
}
