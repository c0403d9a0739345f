package zone

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/suspendtest"
)

// Responses carry times of the clock that includes suspensions. A view that compared them with the
// runtime's clock, which stops during a suspension, extended a pause by the time of the suspension.
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
