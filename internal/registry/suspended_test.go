package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/suspendtest"
)

// How old a box's knowledge of the servers and of the operators' word is decides what it may
// still do by it, and other boxes are told it.
func TestWhatWasReadIsOldAfterASuspension(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		machine := suspendtest.New(t)
		time.Sleep(2 * time.Second)
		g.Expect(w.registry.ServersAge()).To(BeNumerically("<", registry.MaxReadAge))
		machine.Suspend(5 * time.Second)
		g.Expect(w.registry.ServersAge()).To(BeNumerically(">=", 5*time.Second))
		time.Sleep(2 * time.Second)
		g.Expect(w.registry.ServersAge()).To(BeNumerically("<", registry.MaxReadAge), "it was read again")
	})
}
