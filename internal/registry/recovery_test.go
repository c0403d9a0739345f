package registry

import (
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// signalWriter is the output of a log, which closes a channel at the first line.
type signalWriter struct {
	once    sync.Once
	written chan struct{}
}

func (w *signalWriter) Write(line []byte) (int, error) {
	w.once.Do(func() { close(w.written) })
	return len(line), nil
}

// A box stopped for good when the log came back during the placement of a call: the fleet asks for the
// versions of weights while it holds its lock, and the registry informed the fleet while it held its own.
func TestTheReturnOfTheLogDuringAPlacementBlocksNeither(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{Logger: zerolog.Nop()})
	f.Apply([]fleet.Update{{Key: "s", Offset: 1, Server: &fleet.Server{Incarnation: "s", Service: "s", Slots: 1, Weights: map[string]int{"m": 1}}}})
	r := New(Config{Decoder: lengthDecoder{}, Fleet: f, Logger: zerolog.Nop()})
	r.recordLogLost(t.Context(), sharedlog.Servers, time.Now(), errors.New("down"))
	recovering := &signalWriter{written: make(chan struct{})}
	r.cfg.Logger = zerolog.New(recovering)
	recovered, placed := make(chan struct{}), make(chan struct{})
	var start sync.Once
	cost := func(weights int) (float64, bool) {
		start.Do(func() {
			go func() {
				defer close(recovered)
				r.recordLogBack(sharedlog.Servers, 2)
			}()
			<-recovering.written
		})
		r.OutdatedSince("m", weights)
		return 0, true
	}
	go func() {
		defer close(placed)
		f.Choose(fleet.Query{Service: "s", Model: "m", VersionCost: cost, PrefillWork: func(int) int { return 1 }})
	}()
	g.Eventually(placed, "10s").Should(BeClosed())
	g.Eventually(recovered, "10s").Should(BeClosed())
}
