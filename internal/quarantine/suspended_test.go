package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/suspendtest"
)

// A request that was served before the machine was suspended does not count as served just before
// a server crashed under it.
func TestASuspensionCountsTowardsTheServedGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		machine := suspendtest.New(t)
		s := quarantine.New(quarantine.Config{})
		s.NoteServed(request("r"))
		machine.Suspend(time.Minute)
		crash(s, "r", 1, 2, 3)
		g.Expect(held(s, "r")).To(BeTrue())
		left, _ := s.HeldFor(request("r"))
		g.Expect(left).To(Equal(firstTry))
		machine.Suspend(time.Minute)
		left, _ = s.HeldFor(request("r"))
		g.Expect(left).To(Equal(firstTry - time.Minute))
	})
}
