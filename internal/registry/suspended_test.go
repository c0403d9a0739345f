package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/suspendtest"
)

// The age of a box's view decides what the box may still do on its basis, and it is sent to other
// boxes, so it must include the time for which the machine was suspended.
func TestViewAgesDuringSuspension(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		machine := suspendtest.New(t)
		time.Sleep(2 * time.Second)
		g.Expect(b.registry.ServersAge()).To(BeNumerically("<", registry.MaxReadAge))
		machine.Suspend(5 * time.Second)
		g.Expect(b.registry.ServersAge()).To(BeNumerically(">=", 5*time.Second))
		time.Sleep(2 * time.Second)
		g.Expect(b.registry.ServersAge()).To(BeNumerically("<", registry.MaxReadAge), "it was read again")
	})
}
