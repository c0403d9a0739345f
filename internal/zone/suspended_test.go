package zone

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/suspendtest"
)

// Answers come with the times of the clock that counts suspensions. A zone that compared them with the
// runtime's clock, which stands still meanwhile, kept runs from runners for as long again after waking.
func TestAPauseEndsWhileTheMachineIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		machine := suspendtest.New(t)
		view := newView(1)
		view.ApplyAdvisory("0", answerWith(advisory.Advisory{Pause: 3 * time.Second}))
		g.Expect(countPlaced(view, 100*time.Millisecond)).To(BeEmpty())
		machine.Suspend(3 * time.Second)
		g.Expect(countPlaced(view, 100*time.Millisecond)).To(HaveLen(1))
	})
}
