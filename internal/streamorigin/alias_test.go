package streamorigin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// After all boxes had crashed, a stream whose caller had another organisation or API key by then was taken for one of
// the base version.
func TestAStreamWithAnAliasIsTakenForTheBaseVersionAfterACrash(t *testing.T) {
	key, alias, other := keyOfNumber(1), keyOfNumber(2), keyOfNumber(3)
	tests := []struct {
		name string
		// record has the stream recorded as it begins.
		record func(t *testing.T, g *WithT, o *Origins, origin Origin)
	}{
		{"announced", func(t *testing.T, g *WithT, o *Origins, origin Origin) {
			var announcement Announcement
			o.Announce(t.Context(), &announcement, key, origin)
			g.Expect(o.AwaitAnnounced(t.Context(), &announcement, key, origin)).To(BeTrue())
		}},
		{"sent to two versions", func(t *testing.T, g *WithT, o *Origins, origin Origin) {
			var announcement Announcement
			first := origin
			first.Software = "v3"
			o.Announce(t.Context(), &announcement, key, first)
			o.Announce(t.Context(), &announcement, key, origin)
			g.Expect(o.AwaitAnnounced(t.Context(), &announcement, key, origin)).To(BeTrue())
		}},
		{"the announcement failed", func(t *testing.T, g *WithT, o *Origins, origin Origin) {
			failed := &awaitedBatch{done: make(chan struct{})}
			close(failed.done)
			announcement := Announcement{batches: map[string]*awaitedBatch{"v2": failed}}
			g.Expect(o.AwaitAnnounced(t.Context(), &announcement, key, origin)).To(BeTrue())
		}},
		{"not announced", func(t *testing.T, g *WithT, o *Origins, origin Origin) {
			g.Expect(o.AwaitRecord(t.Context(), key, origin)).To(BeTrue())
		}},
		{"recorded as it lasts", func(t *testing.T, g *WithT, o *Origins, origin Origin) {
			o.Note(key, origin)
			o.record(t.Context())
			g.Expect(o.cfg.Writer.Await(t.Context(), nil)).To(BeTrue())
			g.Eventually(func() bool {
				result, err := o.cfg.Reader.Find(t.Context(), alias, service)
				return err == nil && result.Found
			}, recordedWithin, 20*time.Millisecond).Should(BeTrue())
		}},
	}
	lookups := []struct {
		name       string
		key, alias Key
		found      bool
	}{
		{"by both", key, alias, true},
		{"by its key", key, other, true},
		{"by its alias", other, alias, true},
		{"by its key alone", key, Key{}, true},
		{"by neither", other, keyOfNumber(4), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			log := sharedlog.NewMeasured(fakesharedlog.New(), tally.NoopScope)
			origin := originAt("v2")
			origin.Alias = alias
			test.record(t, g, startAlone(t, g, log), origin)
			restarted := startAlone(t, g, log)
			for _, lookup := range lookups {
				evidence := restarted.FindByAlias(t.Context(), lookup.key, lookup.alias, service)
				g.Expect(evidence.Found).To(Equal(lookup.found), lookup.name)
				if lookup.found {
					g.Expect(evidence.Software).To(Equal("v2"), lookup.name)
				}
			}
		})
	}
}
