package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fleet"
)

// Boxes exchange servers' statements several times a second, so a report must be small: 20 servers
// with rate limits at 6 messages a second fit into the 4 KB a second that a box may use for control
// traffic.
func TestAdvisoryReportIsSmall(t *testing.T) {
	const mostReportBytes = 32
	g := NewWithT(t)
	size := func(load fleet.Load) int {
		encoded, err := msgpack.Marshal(&load)
		g.Expect(err).NotTo(HaveOccurred())
		return len(encoded)
	}
	load := fleet.Load{Incarnation: "i-3d7c277263", InFlight: 3}
	without := size(load)
	load.Advisory = &advisory.Report{LimitKnown: true, PerSecond: 2.1, LimitAge: 1234567 * time.Microsecond}
	t.Log(without, "bytes without a report,", size(load)-without, "more with one")
	g.Expect(size(load) - without).To(BeNumerically("<=", mostReportBytes))
}
