package streamorigin

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// A box that was cut off for some seconds while servers of a second version joined resumed the streams that had begun
// there through other boxes at the version that it knew.
func TestABoxThatIsCutOffResumesStreamsOfAVersionThatItDoesNotKnow(t *testing.T) {
	tests := []struct {
		name string
		// silent and ended count the other boxes that the box does not reach, and that have ended. The others know what it
		// knows: they are cut off with it.
		silent, ended int
		known         bool
	}{
		{"alone", 3, 0, false},
		{"with a second box", 2, 0, false},
		{"not cut off, but the others have ended", 0, 3, true},
		{"not cut off, one box is silent", 1, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			log := fakesharedlog.New()
			boxes := startBoxesWith(t, g, func(int) sharedlog.Log { return log }, "a", "b", "c", "d")
			for _, b := range boxes {
				b.setVersions("v1")
				b.startedAt = b.startedAt.Add(-time.Hour)
			}
			cut := boxes[0]
			others := cut.cfg.Others()
			silent := silentAddress(t, g)
			for i := range others {
				switch {
				case i < test.silent:
					others[i].Address = silent
				case i < test.silent+test.ended:
					others[i].Address = unusedAddress(g)
				}
			}
			cut.cfg.Others = func() []Box { return others }
			log.Underlying().SetFaults(fakelog.Faults{Down: true})
			evidence := cut.Find(t.Context(), keyOfNumber(1), service)
			g.Expect(evidence.LogFailed).To(BeTrue())
			g.Expect(evidence.Asked).To(Equal(3))
			_, known := Decide(evidence, 500*time.Millisecond)
			g.Expect(known).To(Equal(test.known), "%+v", evidence)
		})
	}
}

// A box that stood still wakes after the time limits of its requests: it has no response from any other box, nor from
// the log, and its list of servers is as old as that.
func TestABoxThatStoodStillResumesStreamsOfAVersionThatItDoesNotKnow(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	boxes := startBoxesWith(t, g, func(int) sharedlog.Log { return log }, "a", "b", "c", "d")
	frozen := boxes[0]
	frozen.setVersions("v1")
	frozen.startedAt = frozen.startedAt.Add(-time.Hour)
	log.Underlying().SetFaults(fakelog.Faults{Down: true})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	evidence := frozen.Find(ctx, keyOfNumber(1), service)
	g.Expect(evidence.Responded).To(BeZero())
	g.Expect(evidence.LogFailed).To(BeTrue())
	_, known := Decide(evidence, 2*time.Second)
	g.Expect(known).To(BeFalse())
}

// silentAddress returns the address of a listener that accepts connections and never answers.
func silentAddress(t *testing.T, g *WithT) string {
	t.Helper()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { g.Expect(silent.Close()).To(Succeed()) })
	return silent.Addr().String()
}

// unusedAddress returns an address at which nothing listens.
func unusedAddress(g *WithT) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listener.Close()).To(Succeed())
	return listener.Addr().String()
}
