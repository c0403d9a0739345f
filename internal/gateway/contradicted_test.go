package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/originlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/streamorigin"
)

// A stream began without a record at the base version although its call had been announced at another one before the
// log went away: it was resumed at that one after all boxes crashed.
func TestAStreamBeginsAtAVersionThatItsAnnouncementContradicts(t *testing.T) {
	tests := []struct {
		name string
		// again is set if a second server of the announced version is there.
		again bool
		want  string
	}{
		{"another server of the announced version", true, fullStream("v2", false)},
		{"no other server of it", false, fullStream("v1", false)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			log := fakesharedlog.New()
			value, err := baseversion.Encode(baseversion.Table{"r": {Version: "v1", Present: true}})
			g.Expect(err).NotTo(HaveOccurred())
			log.Put(sharedlog.BaseVersions, "all", value)
			c := resumableCatalogWith(g, 4, 5*time.Second)
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			writer := originlog.NewWriter(originlog.WriterConfig{Log: log, Logger: zerolog.Nop()})
			gateway.cfg.Origins = streamorigin.New(streamorigin.Config{
				Logger: zerolog.Nop(), Others: func() []streamorigin.Box { return nil }, Versions: f.SoftwareVersions, Services: f.Services,
				Reader: originlog.NewReader(originlog.ReaderConfig{Log: log}), Writer: writer, LogEra: func() int64 { return 0 },
				Bases: baseversion.New(baseversion.Config{Log: log, Eras: &sharedlog.Eras{}}),
			})
			ctx, stop := context.WithCancel(t.Context())
			var loops sync.WaitGroup
			loops.Go(func() { gateway.cfg.Origins.LoopBases(ctx) })
			loops.Go(func() { writer.Loop(ctx) })
			defer func() { stop(); loops.Wait() }()
			time.Sleep(100 * time.Millisecond) // until the base versions have been read
			startVersion(t, f, "first", "v2", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(300 * time.Millisecond) // the announcement is in the log
				log.Underlying().SetFaults(fakelog.Faults{Down: true})
				startVersion(t, f, "base", "v1", serveEvents("v1", 100*time.Millisecond))
				refuse(w, r)
			}))
			if test.again {
				time.AfterFunc(450*time.Millisecond, func() { startVersion(t, f, "second", "v2", serveEvents("v2", 0)) })
			}
			g.Expect(serveStream(gateway)).To(Equal(test.want))
		})
	}
}
