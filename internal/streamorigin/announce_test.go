package streamorigin

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/originlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// Streams that began at one of several announced versions must be found at that one, or not at all.
func TestAStreamIsFoundAtTheVersionThatBeganItNotAtAnotherOneItWasSentTo(t *testing.T) {
	tests := []struct {
		name string
		// sentTo are the versions of the servers that the call was sent to, and begins that of its first event;
		// empty if all boxes crash before it.
		sentTo    []string
		begins    string
		wantFound bool
		want      string
		wantKnown bool
	}{
		{"the only version", []string{"v2"}, "v2", true, "v2", true},
		{"the later one", []string{"v2", "v3"}, "v3", true, "v3", true},
		{"the earlier one", []string{"v2", "v3"}, "v2", true, "v2", true},
		{"the base version after another one", []string{"v2", "v1"}, "v1", true, "v1", true},
		{"another one after the base version, not recorded yet", []string{"v1", "v2"}, "v2", false, "", false},
		{"the base version alone", []string{"v1"}, "v1", false, "v1", true},
		{"none of two yet", []string{"v2", "v3"}, "", false, "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			log := sharedlog.NewMeasured(fakesharedlog.New(), tally.NoopScope)
			began := startAlone(t, g, log)
			key := keyOfNumber(1)
			var announcement Announcement
			for _, software := range test.sentTo {
				began.Announce(t.Context(), &announcement, key, originAt(software))
			}
			if test.begins != "" {
				began.Note(key, originAt(test.begins))
				g.Expect(began.AwaitAnnounced(t.Context(), &announcement, key, originAt(test.begins))).To(BeTrue())
			} else {
				for _, batch := range announcement.batches {
					g.Expect(batch.wait(t.Context())).To(BeTrue())
				}
			}
			evidence := startAlone(t, g, log).Find(t.Context(), key, service)
			software, known := Decide(evidence, 0)
			g.Expect([]any{evidence.Found, software, known}).To(Equal([]any{test.wantFound, test.want, test.wantKnown}))
		})
	}
}

func originAt(software string) Origin {
	return Origin{Service: service, Software: software, Expires: time.Now().Add(time.Minute)}
}

// startAlone starts a box without others that lists three versions, the first of which is the base version.
func startAlone(t *testing.T, g *WithT, log *sharedlog.Measured) *Origins {
	t.Helper()
	value, err := baseversion.Encode(baseversion.Table{service: {Version: "v1", Present: true, Since: time.Now()}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = log.Append(t.Context(), sharedlog.BaseVersions, sharedlog.AnyEnd, sharedlog.Record{Key: "all", Value: value})
	g.Expect(err).NotTo(HaveOccurred())
	writer := originlog.NewWriter(originlog.WriterConfig{Log: log})
	o := New(Config{
		Logger: zerolog.Nop(), Self: Box{Name: "box"}, Others: func() []Box { return nil },
		Versions: func(string) []string { return []string{"v1", "v2", "v3"} }, Services: func() []string { return []string{service} },
		Writer: writer, Reader: originlog.NewReader(originlog.ReaderConfig{Log: log}), LogEra: func() int64 { return 0 },
		Bases: baseversion.New(baseversion.Config{Log: log, Eras: log.Eras()}), Outages: log.Outages(),
	})
	o.refreshBases(t.Context())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { writer.Loop(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return o
}

// The log keeps records for a bounded time. A stream whose server took long to its first event lost the record of its
// announcement before its origin was recorded, and counted as one of the base version after all boxes crashed.
func TestTheAnnouncementOfASlowServerIsLostWithTheHistoryOfTheLog(t *testing.T) {
	for _, firstEvent := range []time.Duration{8 * time.Second, 12 * time.Second, 30 * time.Second} {
		t.Run(firstEvent.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				b := startLoneBox(t, "v1", "v2")
				b.keepBases(tableOf(g, baseversion.Base{Version: "v1", Present: true}, 0))
				ctx, stop := context.WithCancel(t.Context())
				b.loops.Go(func() { b.LoopRecord(ctx) })
				defer stop()
				key, origin := keyOfNumber(1), Origin{Service: service, Software: "v2", Expires: time.Now().Add(2 * time.Minute)}
				var announcement Announcement
				b.Announce(t.Context(), &announcement, key, origin)
				time.Sleep(firstEvent)
				b.log.Underlying().ExpireOlder(20 * time.Second)
				b.Note(key, origin)
				g.Expect(b.AwaitAnnounced(t.Context(), &announcement, key, origin)).To(BeTrue())
				for second := range 30 {
					b.log.Underlying().ExpireOlder(20 * time.Second)
					result, err := newTestReader(b.log).FindFirst(t.Context(), service, key, announcedKey(key))
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(result.Software).To(Equal("v2"), "%d s after the first event", second)
					time.Sleep(time.Second)
				}
			})
		})
	}
}

// The origin of a stream of the base version must be recorded if its call was sent to a server of another version, too.
// A log that fails meanwhile has that one's announcement only, at which the stream continued.
func TestAStreamContinuesAtAnAnnouncedVersionThatDidNotBeginIt(t *testing.T) {
	for _, sentTo := range [][]string{{"v2", "v1"}, {"v1", "v2"}} {
		t.Run(strings.Join(sentTo, " "), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				b := startLoneBox(t, "v1", "v2")
				putBase(g, b.log, baseversion.Base{Version: "v1", Present: true})
				b.refreshBases(t.Context())
				var announcement Announcement
				key := keyOfNumber(1)
				for _, software := range sentTo {
					b.Announce(t.Context(), &announcement, key, originAt(software))
				}
				time.Sleep(500 * time.Millisecond)
				b.log.Underlying().SetFaults(fakelog.Faults{Down: true})
				b.Note(key, originAt("v1"))
				g.Expect(b.AwaitAnnounced(t.Context(), &announcement, key, originAt("v1"))).To(BeFalse())
				b.stop() // it crashes
				b.log.Underlying().SetFaults(fakelog.Faults{})
				started := startLoneBox(t, "v1", "v2")
				started.cfg.Reader, started.cfg.Bases = newTestReader(b.log), baseversion.New(baseversion.Config{Log: b.log, Eras: &sharedlog.Eras{}})
				software, known := Decide(started.Find(t.Context(), key, service), 0)
				g.Expect(known && software != "v1").To(BeFalse(), "it continues at %s", software)
			})
		})
	}
}

// A first event need not wait because the call was sent to a server of the base version as well, and its origin must be
// in the log soon.
func TestAStreamThatWasSentToTheBaseVersionTooIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := startLoneBox(t, "v1", "v2")
		putBase(g, b.log, baseversion.Base{Version: "v1", Present: true})
		b.refreshBases(t.Context())
		ctx, stop := context.WithCancel(t.Context())
		b.loops.Go(func() { b.LoopRecord(ctx) })
		defer stop()
		var announcement Announcement
		for _, software := range []string{"v1", "v2"} {
			b.Announce(t.Context(), &announcement, keyOfNumber(1), originAt(software))
		}
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		b.Note(keyOfNumber(1), originAt("v2"))
		g.Expect(b.AwaitAnnounced(t.Context(), &announcement, keyOfNumber(1), originAt("v2"))).To(BeTrue())
		g.Expect(time.Since(began)).To(BeZero())
		time.Sleep(200 * time.Millisecond)
		g.Expect(reads(g, b.log, keyOfNumber(1), "v2")).To(BeTrue())
	})
}
