package weightorders

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
)

// lateRunner is found in the middle of a load, which ends at a moment.
type lateRunner struct{ ends time.Time }

func (r lateRunner) Report(context.Context, fleet.Server) (Report, error) {
	if time.Now().Before(r.ends) {
		return Report{Weights: map[string]int{"m": 1}, Busy: true, Orders: 1}, nil
	}
	return Report{Weights: map[string]int{"m": 2}, Orders: 1}, nil
}

func (lateRunner) Order(context.Context, fleet.Server, Order) (bool, error) {
	panic("a runner that loads gets no order")
}

// The rest of a load that another box ordered says nothing of how long loads take; the
// next pauses would begin too early.
func TestNothingIsLearntOfALoadThatHadBegunBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		giver := New(Config{
			Runners: lateRunner{time.Now().Add(50 * time.Millisecond)}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(),
			TargetVersion: func(string) int { return 2 },
		})
		g.Expect(giver.load(context.Background(), &task{model: "m", version: 2})).To(Succeed())
		g.Expect(giver.usualLoad).To(Equal(firstLoad))
	})
}
