package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/originlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/streamorigin"
)

// useOrigins makes the gateway record origins in a new log that has a base version of service r, until the test ends. It
// returns once the base version has been read.
func useOrigins(t *testing.T, g *WithT, gateway *Gateway, f *fleet.Fleet, base baseversion.Base) *fakesharedlog.Log {
	t.Helper()
	log := fakesharedlog.New()
	value, err := baseversion.Encode(baseversion.Table{"r": base})
	g.Expect(err).NotTo(HaveOccurred())
	log.Put(sharedlog.BaseVersions, "all", value)
	writer := originlog.NewWriter(originlog.WriterConfig{Log: log, Logger: zerolog.Nop()})
	gateway.cfg.Origins = streamorigin.New(streamorigin.Config{
		Logger: zerolog.Nop(), Others: func() []streamorigin.Box { return nil }, Versions: f.SoftwareVersions, Services: f.Services,
		Reader: originlog.NewReader(originlog.ReaderConfig{Log: log}), Writer: writer, LogEra: func() int64 { return 0 },
		Bases: baseversion.New(baseversion.Config{Log: log, Eras: &sharedlog.Eras{}}),
	})
	ctx, stop := context.WithCancel(context.WithoutCancel(t.Context()))
	var loops sync.WaitGroup
	loops.Go(func() { gateway.cfg.Origins.LoopBases(ctx) })
	loops.Go(func() { writer.Loop(ctx) })
	t.Cleanup(func() { stop(); loops.Wait() })
	time.Sleep(100 * time.Millisecond) // until the base versions have been read
	return log
}
