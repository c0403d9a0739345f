package streamorigin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// A stream whose route names another service than the one that began it counted as one without an origin.
func TestAnOriginIsNotFoundUnderAnotherService(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	boxes := startBoxesWith(t, g, func(int) sharedlog.Log { return log }, "a", "a", "b")
	boxes[0].Note(keyOfNumber(0), originOf(0))
	g.Eventually(func() bool { return reads(g, log, keyOfNumber(0), "v1") }, recordedWithin, 20*time.Millisecond).Should(BeTrue())
	for _, from := range []string{"boxes", "log"} {
		for i, b := range boxes {
			evidence := b.Find(t.Context(), keyOfNumber(0), "others")
			g.Expect(evidence.Found).To(BeTrue(), "box %d, from the %s", i, from)
			g.Expect(evidence.Service).To(Equal(service))
			g.Expect(evidence.Software).To(Equal("v1"))
		}
		for _, b := range boxes {
			b.restart(g)
		}
	}
}
