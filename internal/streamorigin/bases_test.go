package streamorigin

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// putBase puts a base version in the log.
func putBase(g *WithT, log *fakesharedlog.Log, base baseversion.Base) {
	value, err := baseversion.Encode(baseversion.Table{service: base})
	g.Expect(err).NotTo(HaveOccurred())
	log.Put(sharedlog.BaseVersions, "all", value)
}

// tableOf returns the wire form of a table with one base version that was read some time ago.
func tableOf(g *WithT, base baseversion.Base, age time.Duration) *wireBases {
	value, err := baseversion.Encode(baseversion.Table{service: base})
	g.Expect(err).NotTo(HaveOccurred())
	return &wireBases{Table: value, Age: age}
}

// A stream of the base version needs no record, and every other one does.
func TestWhichStreamsNeedARecord(t *testing.T) {
	const lease = baseversion.LeaseTime
	v1, v2 := baseversion.Base{Version: "v1", Present: true}, baseversion.Base{Version: "v2", Present: true}
	tests := []struct {
		name string
		// base is in the table that was read before; nil means that the table is without the service, and unread that
		// there is none.
		base        *baseversion.Base
		unread      bool
		age, uptime time.Duration
		versions    []string
		era         int64
		needs       bool
	}{
		{"the base version alone", &v1, false, 0, time.Hour, []string{"v1"}, 0, false},
		{"the base version alone, read long ago", &v1, false, time.Hour, 2 * time.Hour, []string{"v1"}, 0, false},
		{"the base version alone in another era", &v1, false, 0, time.Hour, []string{"v1"}, 1, false},
		{"the base version of two", &v1, false, lease - 1, time.Hour, []string{"v1", "v2"}, 0, false},
		{"the base version of two, read before the lease", &v1, false, lease, time.Hour, []string{"v1", "v2"}, 0, true},
		{"the base version of two in another era", &v1, false, 0, time.Hour, []string{"v1", "v2"}, 1, true},
		{"another one of two", &v2, false, 0, time.Hour, []string{"v1", "v2"}, 0, true},
		{"another one alone", &v2, false, time.Hour, 2 * time.Hour, []string{"v1"}, 0, true},
		{"no base version", &baseversion.Base{}, false, 0, time.Hour, []string{"v1"}, 0, true},
		{"no record of the service", nil, false, 0, time.Hour, []string{"v1"}, 0, true},
		{"no record of the service, two versions", nil, false, 0, time.Hour, []string{"v1", "v2"}, 0, true},
		{"no record of the service, read before the lease", nil, false, lease, time.Hour, []string{"v1"}, 0, true},
		{"no record of the service, the box has just started", nil, false, 0, versionMemory - 1, []string{"v1"}, 0, true},
		{"nothing read", nil, true, 0, time.Hour, []string{"v1"}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				b := startLoneBox(t, test.versions...)
				b.era = test.era
				time.Sleep(test.uptime)
				table := tableOf(g, baseversion.Base{}, test.age)
				switch {
				case test.base != nil:
					table = tableOf(g, *test.base, test.age)
				default:
					value, err := baseversion.Encode(baseversion.Table{})
					g.Expect(err).NotTo(HaveOccurred())
					table.Table = value
				}
				if !test.unread {
					b.keepBases(table)
				}
				g.Expect(b.needsRecord(Origin{Service: service, Software: "v1"})).To(Equal(test.needs))
			})
		})
	}
}

// A table that arrives late must not replace a newer one, nor an invalid one any.
func TestAnEarlierTableReplacesALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := startLoneBox(t, "v1")
		time.Sleep(time.Minute)
		g.Expect(b.keepBases(tableOf(g, baseversion.Base{Version: "v2", Present: true}, time.Second))).To(BeTrue())
		g.Expect(b.keepBases(tableOf(g, baseversion.Base{Version: "v1", Present: true}, 2*time.Second))).To(BeTrue())
		g.Expect(b.keepBases(&wireBases{Table: []byte("?")})).To(BeFalse())
		g.Expect(b.bases.table[service].Version).To(Equal("v2"))
		g.Expect(b.keepBases(tableOf(g, baseversion.Base{Version: "v3", Present: true}, 0))).To(BeTrue())
		g.Expect(b.bases.table[service].Version).To(Equal("v3"))
	})
}

// A box whose table is out of date took another version than that of the log for the base version.
func TestABoxDoesNotAskForTheTableThatChanged(t *testing.T) {
	v1 := baseversion.Base{Version: "v1", Present: true}
	tests := []struct {
		name     string
		base     *baseversion.Base
		versions []string
		era      int64
		needs    bool
	}{
		{"the base version alone", &v1, []string{"v1"}, 0, false},
		{"no servers", &v1, nil, 0, false},
		{"two versions", &v1, []string{"v1", "v2"}, 0, true},
		{"another version", &v1, []string{"v2"}, 0, true},
		{"no base version", &baseversion.Base{}, []string{"v1"}, 0, true},
		{"the log came back from a copy", &v1, []string{"v1"}, 1, true},
		{"a service that has appeared since", nil, []string{"v1"}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				b := startLoneBox(t, test.versions...)
				b.era = test.era
				g.Expect(b.needsBases()).To(BeTrue(), "nothing read")
				table := baseversion.Table{}
				if test.base != nil {
					table[service] = *test.base
				}
				value, err := baseversion.Encode(table)
				g.Expect(err).NotTo(HaveOccurred())
				b.keepBases(&wireBases{Table: value})
				g.Expect(b.needsBases()).To(BeFalse(), "just read")
				time.Sleep(basesInterval)
				g.Expect(b.needsBases()).To(Equal(test.needs))
			})
		})
	}
}

// Without the table of base versions nothing is known of a stream that is not in the log.
func TestAStreamIsResumedByAnEarlierTable(t *testing.T) {
	tests := []struct {
		name   string
		change func(b *loneBox)
	}{
		{"the table is invalid", func(b *loneBox) { b.log.Put(sharedlog.BaseVersions, "all", []byte("?")) }},
		{"the log is away", func(b *loneBox) {
			failing := &failingLog{Log: b.log}
			failing.failing.Store(true)
			b.cfg.Bases = baseversion.New(baseversion.Config{Log: failing, Eras: &sharedlog.Eras{}})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				b := startLoneBox(t, "v2")
				b.keepBases(tableOf(g, baseversion.Base{Version: "v1", Present: true}, 0))
				test.change(b)
				evidence := b.Find(t.Context(), keyOfNumber(7), service)
				g.Expect(evidence.Base).To(BeNil())
				g.Expect(evidence.LogFailed).To(BeTrue())
				evidence.MaxAge = time.Minute
				_, known := Decide(evidence, 0)
				g.Expect(known).To(BeFalse())
			})
		})
	}
}

// The box that resumes a stream may not know that the log came back from a copy, which its recorder has read.
func TestAStreamIsResumedAsIfItsRecordWereNotLost(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	putBase(g, log, baseversion.Base{Version: "v1", Present: true})
	boxes := startBoxesWith(t, g, func(int) sharedlog.Log { return log }, "a", "a")
	for _, b := range boxes {
		b.readsBases = true
		b.restart(g)
	}
	recorder := boxNumber(boxes, recorderOf(boxes[0]))
	log.Restore(log.Copy())
	boxes[recorder].era.Store(1)
	evidence := boxes[1-recorder].Find(t.Context(), keyOfNumber(7), service)
	g.Expect(evidence.LogEra).To(BeEquivalentTo(1))
	_, known := Decide(evidence, 0)
	g.Expect(known).To(BeFalse())
}

// While each service has its base version alone the table is read once.
func TestTheTableIsReadWhileNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := startLoneBox(t, "v1")
		counted := &newestCounter{Log: b.log}
		b.cfg.Bases = baseversion.New(baseversion.Config{Log: counted, Eras: &sharedlog.Eras{}})
		putBase(g, b.log, baseversion.Base{Version: "v1", Present: true})
		ctx, stop := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		loops.Go(func() { b.LoopBases(ctx) })
		time.Sleep(time.Hour)
		stop()
		loops.Wait()
		g.Expect(counted.reads).To(Equal(1))
	})
}

// newestCounter counts the full reads of a log.
type newestCounter struct {
	sharedlog.Log
	reads int
}

func (l *newestCounter) NewestPage(ctx context.Context, stream sharedlog.Stream, after string) (sharedlog.Page, error) {
	l.reads++
	return l.Log.NewestPage(ctx, stream, after)
}

// A recorder may send a table that this version of the program cannot decode.
func TestAnInvalidTableIsReplacedByAnEarlierOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := startLoneBox(t, "v1")
		b.keepBases(tableOf(g, baseversion.Base{Version: "v1", Present: true}, 0))
		evidence := Evidence{LogRead: true}
		b.addBase(&wireBases{Table: []byte("?")}, &evidence, service)
		g.Expect(evidence).To(Equal(Evidence{LogFailed: true}))
	})
}

// A base version that was read before its service had no servers may have been dropped from the log since. Streams that
// began without a record as the service came back counted as of the next base version after all boxes crashed.
func TestABoxGoesByTheTableFromBeforeItsServiceWasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var versions atomic.Value
		versions.Store([]string{"v1"})
		b := startLoneBox(t)
		b.cfg.Versions = func(string) []string { return versions.Load().([]string) }
		putBase(g, b.log, baseversion.Base{Version: "v1", Present: true})
		ctx, stop := context.WithCancel(t.Context())
		b.loops.Go(func() { b.LoopBases(ctx) })
		defer stop()
		time.Sleep(time.Minute)
		g.Expect(b.needsRecord(Origin{Service: service, Software: "v1"})).To(BeFalse())
		versions.Store([]string{})
		time.Sleep(time.Minute)
		value, err := baseversion.Encode(baseversion.Table{})
		g.Expect(err).NotTo(HaveOccurred())
		b.log.Put(sharedlog.BaseVersions, "all", value)
		time.Sleep(time.Minute)
		versions.Store([]string{"v1"})
		g.Expect(b.needsRecord(Origin{Service: service, Software: "v1"})).To(BeTrue())
		putBase(g, b.log, baseversion.Base{Version: "v1", Present: true})
		time.Sleep(basesInterval + 2*recheckInterval)
		g.Expect(b.needsRecord(Origin{Service: service, Software: "v1"})).To(BeFalse())
	})
}

// With some hundred services the response with the base versions was larger than boxes accept, so that no other box
// than the one that reads the log knew them: all streams waited for records, and each lookup read the log.
func TestBoxesDoNotGetTheBaseVersionsOfManyServices(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	table := baseversion.Table{}
	for number := range 2000 {
		table[fmt.Sprintf("service-%04d", number)] = baseversion.Base{Version: "2026.12.4", Present: true, Since: time.Now()}
	}
	table[service] = baseversion.Base{Version: "v1", Present: true, Since: time.Now()}
	value, err := baseversion.Encode(table)
	g.Expect(err).NotTo(HaveOccurred())
	log.Put(sharedlog.BaseVersions, "all", value)
	boxes := startReadingBoxes(t, g, func(int) sharedlog.Log { return log }, "a", "b", "c", "d")
	for _, b := range boxes {
		b.refreshBases(t.Context())
		g.Expect(b.needsRecord(Origin{Service: service, Software: "v1"})).To(BeFalse(), b.box.Name)
		g.Expect(b.needsRecord(Origin{Service: service, Software: "v2"})).To(BeTrue(), b.box.Name)
	}
	for _, b := range boxes {
		evidence := b.Find(t.Context(), keyOfNumber(1), service)
		g.Expect(evidence.BaseVersion()).To(Equal("v1"), b.box.Name)
		g.Expect(b.failedRecorders).To(BeEmpty(), b.box.Name)
	}
}

// While a service has several versions, a stream may have begun under shares that are newer than a table which was read
// a second ago.
func TestAStreamIsResumedByATableFromBeforeItsShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := startLoneBox(t, "v1", "v2")
		defer b.stop()
		putBase(g, b.log, baseversion.Base{Version: "v1", Present: true})
		g.Expect(b.Find(t.Context(), keyOfNumber(1), service).Base.Shares).To(BeEmpty())
		time.Sleep(time.Second)
		shares := []baseversion.Share{{Version: "v1", Weight: 4}, {Version: "v2", Weight: 12}}
		putBase(g, b.log, baseversion.Base{Version: "v1", Present: true, Shares: shares})
		g.Expect(b.Find(t.Context(), keyOfNumber(1), service).Base.Shares).To(Equal(shares))
	})
}

// A box that started while the log was away knew no base version, and let streams begin at any version without a record.
func TestABoxThatStartsWhileTheLogIsAwayKnowsNoBaseVersion(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	putBase(g, log, baseversion.Base{Version: "v1", Present: true})
	boxes := startReadingBoxes(t, g, func(int) sharedlog.Log { return log }, "a", "b", "c", "d")
	for _, b := range boxes[1:] {
		b.refreshBases(t.Context())
	}
	log.Underlying().SetFaults(fakelog.Faults{Down: true})
	time.Sleep(basesMaxAge) // until no reading counts as recent
	started := boxes[0]
	for range 10 { // it may ask itself first
		started.refreshBases(t.Context())
	}
	g.Expect(started.needsRecord(Origin{Service: service, Software: "v2"})).To(BeTrue())
	started.mu.Lock()
	started.unrecordable.origins = []wireOrigin{{}}
	started.mu.Unlock()
	software, _, found := started.PreferredVersion(service, 0)
	g.Expect(found).To(BeTrue())
	g.Expect(software).To(Equal("v1"))
}
