package baseversion

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const service = "runners"

// countedLog counts the calls of a log.
type countedLog struct {
	*fakesharedlog.Log
	appends, reads atomic.Int64
	// readDelay is how long a read takes.
	readDelay atomic.Int64
}

func newLog() *countedLog { return &countedLog{Log: fakesharedlog.New()} }

func (l *countedLog) Append(ctx context.Context, stream sharedlog.Stream, end int64, record sharedlog.Record) (int64, error) {
	l.appends.Add(1)
	return l.Log.Append(ctx, stream, end, record)
}

func (l *countedLog) NewestPage(ctx context.Context, stream sharedlog.Stream, after string) (sharedlog.Page, error) {
	l.reads.Add(1)
	if !waiting.For(ctx, time.Duration(l.readDelay.Load())) {
		return sharedlog.Page{}, sharedlog.ErrUnknown
	}
	return l.Log.NewestPage(ctx, stream, after)
}

// table returns what the log has.
func (l *countedLog) table(g *WithT) Table {
	page, err := l.Log.NewestPage(context.Background(), sharedlog.BaseVersions, "")
	g.Expect(err).NotTo(HaveOccurred())
	if len(page.Records) == 0 {
		return Table{}
	}
	g.Expect(page.Records).To(HaveLen(1))
	table, err := Decode(page.Records[0].Value)
	g.Expect(err).NotTo(HaveOccurred())
	return table
}

// box is the keeper of a box and what the box observes.
type box struct {
	*Keeper
	writer    atomic.Bool
	eras      sharedlog.Eras
	startedAt time.Time

	mu   sync.Mutex
	seen map[string]Observation
}

// startBox starts a box that writes and observes versions of the service. It stops before the test ends.
func startBox(t *testing.T, log sharedlog.Log, versions ...string) *box {
	t.Helper()
	b := &box{startedAt: time.Now(), seen: map[string]Observation{}}
	b.writer.Store(true)
	b.list(service, versions...)
	b.Keeper = New(Config{Log: log, Eras: &b.eras, Logger: zerolog.Nop(), Observe: b.observe, IsWriter: b.writer.Load})
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { b.Loop(ctx) })
	t.Cleanup(func() {
		cancel()
		loops.Wait()
	})
	return b
}

// list sets the versions of a service that the box observes; the first one has the most servers.
func (b *box) list(service string, versions ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := map[string]int{}
	for i, version := range versions {
		listed[version] = len(versions) - i
	}
	b.seen[service] = Observation{Listed: listed, Remembered: versions}
}

func (b *box) observe() map[string]Observation {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := map[string]Observation{}
	for service, observation := range b.seen {
		observation.ObservedFor = time.Since(b.startedAt)
		seen[service] = observation
	}
	return seen
}

// settleTime is longer than a change takes to be written.
const settleTime = 2*checkInterval + time.Millisecond

// Each call of the log has a price, so none is made while no version changes.
func TestTheLogIsCalledWhileNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		b := startBox(t, log, "v1")
		other := startBox(t, log, "v1")
		other.writer.Store(false)
		b.list("several", "v1", "v2")
		time.Sleep(settleTime)
		g.Expect(log.table(g)).To(HaveKeyWithValue(service, HaveField("Version", "v1")))
		time.Sleep(2 * pauseTime)
		g.Expect(log.table(g)).To(HaveKeyWithValue("several", HaveField("Version", "v1")))
		appends, reads := log.appends.Load(), log.reads.Load()
		g.Expect(appends).To(BeEquivalentTo(2))
		time.Sleep(time.Hour)
		g.Expect(log.appends.Load()).To(Equal(appends))
		g.Expect(log.reads.Load()).To(Equal(reads))
	})
}

func TestServicesThatAppearTogetherCauseAWriteEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		b := startBox(t, log, "v1")
		for _, name := range []string{"a", "b", "c"} {
			b.list(name, "v1")
		}
		time.Sleep(settleTime)
		g.Expect(log.table(g)).To(HaveLen(4))
		g.Expect(log.appends.Load()).To(BeEquivalentTo(1))
		g.Expect(log.reads.Load()).To(BeEquivalentTo(1))
	})
}

func TestABaseVersionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		b := startBox(t, log, "v1")
		time.Sleep(minAbsence)
		b.list(service, "v2")
		time.Sleep(settleTime)
		g.Expect(log.table(g)[service].Present).To(BeFalse())
		time.Sleep(pauseTime - settleTime - checkInterval)
		g.Expect(log.table(g)[service].Present).To(BeFalse())
		time.Sleep(2 * settleTime)
		g.Expect(log.table(g)[service]).To(And(HaveField("Version", "v2"), HaveField("Present", true), HaveField("Replaced", true)))
		g.Expect(time.Since(log.table(g)[service].Since)).To(BeNumerically("<", 2*settleTime+checkInterval))
	})
}

// Boxes may disagree on which of them is elected, and have different lists of servers.
func TestTwoWritersReplaceEachOthersRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		first, second := startBox(t, log, "v1"), startBox(t, log, "v2")
		first.list("first", "v1")
		second.list("second", "v1")
		log.readDelay.Store(int64(100 * time.Millisecond)) // so that both read before either writes
		time.Sleep(2 * settleTime)
		table := log.table(g)
		g.Expect(table).To(And(HaveKey("first"), HaveKey("second"), HaveKey(service)))
		g.Expect(log.appends.Load()).To(BeNumerically("<=", 4))
		time.Sleep(5 * time.Second)
		g.Expect(log.table(g)).To(Equal(table))
	})
}

// An append without a response may have taken effect, or may do so later.
func TestAnAppendWithoutAResponseIsRepeatedOrLost(t *testing.T) {
	tests := []struct {
		name   string
		faults fakelog.Faults
	}{
		{"it took effect", fakelog.Faults{LoseResponses: 1}},
		{"it takes effect later", fakelog.Faults{LateAppends: 1, Delay: 500 * time.Millisecond}},
		{"it takes effect after the next one", fakelog.Faults{LateAppends: 1, Delay: 5 * time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				log := newLog()
				log.Underlying().SetFaults(test.faults)
				startBox(t, log, "v1")
				time.Sleep(checkInterval + time.Millisecond)
				log.Underlying().SetFaults(fakelog.Faults{})
				time.Sleep(2*maxPause + settleTime)
				g.Expect(log.table(g)).To(HaveKeyWithValue(service, HaveField("Version", "v1")))
				g.Expect(log.Underlying().Appends()).To(BeEquivalentTo(1))
			})
		})
	}
}

// Many streams are resumed at once, so callers must share a read, and a caller that gives up must not wait for the log.
func TestEachCallerReadsTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		startBox(t, log, "v1")
		time.Sleep(settleTime)
		reader := New(Config{Log: log, Eras: &sharedlog.Eras{}, Logger: zerolog.Nop()})
		reads := log.reads.Load()
		log.readDelay.Store(int64(200 * time.Millisecond))
		var callers sync.WaitGroup
		for range 100 {
			callers.Go(func() {
				reading, err := reader.Read(t.Context(), 2*time.Second)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(reading.Table[service].Version).To(Equal("v1"))
			})
		}
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			began := time.Now()
			_, err := reader.Read(ctx, 0)
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(began)).To(Equal(50 * time.Millisecond))
		})
		callers.Wait()
		g.Expect(log.reads.Load() - reads).To(BeNumerically("<=", 2))
		time.Sleep(2 * time.Second)
		_, err := reader.Read(t.Context(), 2*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(log.reads.Load() - reads).To(BeNumerically("<=", 3))
	})
}

// The failure of a read is shared, but not if it failed only because the caller that read had given up.
func TestACallerThatGivesUpFailsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		log.readDelay.Store(int64(200 * time.Millisecond))
		reader := New(Config{Log: log, Eras: &sharedlog.Eras{}, Logger: zerolog.Nop()})
		var callers sync.WaitGroup
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := reader.Read(ctx, 0)
			g.Expect(err).To(HaveOccurred())
		})
		synctest.Wait()
		for range 10 {
			callers.Go(func() {
				_, err := reader.Read(t.Context(), 2*time.Second)
				g.Expect(err).NotTo(HaveOccurred())
			})
		}
		callers.Wait()
		g.Expect(log.reads.Load()).To(BeNumerically("<=", 2))
	})
}

// The log charges for calls that it refuses, too, so calls to an unavailable log must back off.
func TestALogThatIsAwayIsCalledAllTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		refusing := &refusingLog{countedLog: log}
		refusing.refuses.Store(true)
		startBox(t, refusing, "v1")
		const outage = 5 * time.Minute
		time.Sleep(outage)
		g.Expect(refusing.calls.Load()).To(BeNumerically("<=", 6+int64(outage/maxPause)))
		refusing.refuses.Store(false)
		time.Sleep(maxPause + settleTime)
		g.Expect(log.table(g)).To(HaveKey(service))
	})
}

// refusingLog is a log that a box does not reach while refuses is set.
type refusingLog struct {
	*countedLog
	refuses atomic.Bool
	calls   atomic.Int64
}

func (l *refusingLog) NewestPage(ctx context.Context, stream sharedlog.Stream, after string) (sharedlog.Page, error) {
	if l.refuses.Load() {
		l.calls.Add(1)
		return sharedlog.Page{}, sharedlog.ErrRefused
	}
	return l.countedLog.NewestPage(ctx, stream, after)
}

// A box that is elected must not write on the basis of a record that it read long ago.
func TestANewWriterGoesByWhatItReadLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		first, second := startBox(t, log, "v1"), startBox(t, log, "v1")
		second.writer.Store(false)
		time.Sleep(settleTime)
		_, err := second.Read(t.Context(), 0)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(minAbsence)
		for _, b := range []*box{first, second} {
			b.list(service, "v2")
		}
		time.Sleep(settleTime)
		first.writer.Store(false)
		since := log.table(g)[service].Since
		second.writer.Store(true)
		time.Sleep(pauseTime - settleTime)
		g.Expect(log.table(g)[service]).To(And(HaveField("Present", false), HaveField("Since", since)), "its own pause begins when it reads that there is none")
		time.Sleep(3 * settleTime)
		g.Expect(log.table(g)[service]).To(And(HaveField("Version", "v2"), HaveField("Present", true)))
	})
}

// The log may be restored from a copy without the record, or with an earlier one.
func TestTheLogCameBackFromACopy(t *testing.T) {
	for _, test := range []struct {
		name     string
		versions []string
	}{{"without a record", nil}, {"with an earlier version", []string{"v1"}}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				log := newLog()
				if test.versions != nil {
					value, err := Encode(Table{service: {Version: test.versions[0], Present: true, Since: time.Now()}})
					g.Expect(err).NotTo(HaveOccurred())
					log.Put(sharedlog.BaseVersions, recordKey, value)
				}
				copied := log.Copy()
				b := startBox(t, log, "v2")
				time.Sleep(minAbsence + pauseTime + 2*settleTime)
				g.Expect(log.table(g)[service]).To(And(HaveField("Version", "v2"), HaveField("Present", true)))
				log.Restore(copied)
				page, err := log.Log.NewestPage(t.Context(), sharedlog.BaseVersions, "")
				g.Expect(err).NotTo(HaveOccurred())
				b.eras.Note(page.End)
				time.Sleep(pauseTime - time.Second)
				g.Expect(log.table(g)[service]).NotTo(HaveField("Version", "v2"))
				time.Sleep(pauseTime + 3*settleTime)
				g.Expect(log.table(g)[service]).To(And(HaveField("Version", "v2"), HaveField("Present", true), HaveField("Era", int64(1)), HaveField("Replaced", true)))
			})
		})
	}
}

// A record that cannot be decoded must be neither used nor replaced: another version of the program may have
// written it.
func TestARecordThatCannotBeDecodedIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		log.Put(sharedlog.BaseVersions, recordKey, []byte("?"))
		b := startBox(t, log, "v1")
		time.Sleep(time.Minute)
		_, err := b.Read(t.Context(), 0)
		g.Expect(err).To(HaveOccurred())
		g.Expect(log.Underlying().Appends()).To(BeEquivalentTo(1))
	})
}
