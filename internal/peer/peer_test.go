package peer

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boxlist"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/follow"
)

// emptySource is a ConfigSource without a configuration.
type emptySource struct{}

func (emptySource) State() configlog.State              { return configlog.EmptyState() }
func (emptySource) Since(int64) ([]follow.Change, bool) { return nil, false }
func (emptySource) Offer(configlog.State)               {}
func (emptySource) OfferChanges([]follow.Change) bool   { return false }
func (emptySource) LogReachable() bool                  { return true }

// Boxes are replaced hundreds of times a day. The records of stopped boxes must be
// removed, or they would accumulate.
func TestStalePeersAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x := New(Config{
			Self: Status{Box: "me", Zone: "a"}, Seeds: []string{"127.0.0.1:7"}, Source: emptySource{}, Logger: zerolog.Nop(),
			BoxList: boxlist.Static{{Name: "stays", Zone: "a", Peer: "127.0.0.1:8"}},
		})
		x.handleStatus(Status{Box: "gone", Zone: "a"})
		for _, address := range []string{"127.0.0.1:7", "127.0.0.1:8", "127.0.0.1:9"} {
			x.connectionTo(address)
		}
		g.Expect(x.BoxesInZone()).To(Equal(2))
		time.Sleep(peerTimeout)
		g.Expect(x.BoxesInZone()).To(Equal(1), "a peer must not be counted after peerTimeout without a status")
		time.Sleep(peerRetention)
		x.handleStatus(Status{Box: "stays", Zone: "a"})
		x.readBoxList(t.Context())
		g.Expect(x.State().Peers).To(HaveLen(1))
		g.Expect(x.connections).To(HaveLen(2))
		g.Expect(x.connections).NotTo(HaveKey("127.0.0.1:9"))
	})
}

// Boxes exchange the advisories of backend servers, and each box computes its position among those that
// share a server's rate limit.
func TestBoxesShareAdvisoryReports(t *testing.T) {
	g := NewWithT(t)
	boxes := []string{"one", "two", "three"}
	sent := map[string]*advisory.Report{"server": {LimitKnown: true, PerSecond: 2}}
	var applied map[string]*advisory.Report
	exchanges := make([]*Gossiper, len(boxes))
	for i, box := range boxes {
		exchanges[i] = New(Config{
			Self: Status{Box: box, Zone: "a"}, Source: emptySource{}, Logger: zerolog.Nop(),
			AdvisoryReports:      func() map[string]*advisory.Report { return sent },
			ApplyAdvisoryReports: func(reports map[string]*advisory.Report) { applied = reports },
		})
	}
	ranks := map[int]bool{}
	for _, x := range exchanges {
		for _, other := range exchanges {
			x.handleStatus(other.selfStatus())
		}
		x.handleStatus(Status{Box: "elsewhere", Zone: "b"})
		position := x.LimitPosition("server", true)
		g.Expect(position.Present).To(Equal(len(boxes)))
		ranks[position.Rank] = true
		g.Expect(x.LimitPosition("server", false).Present).To(Equal(len(boxes) + 1))
	}
	g.Expect(ranks).To(HaveLen(len(boxes)), "each box must have a different rank")
	exchanges[0].handleStatus(exchanges[1].selfStatus())
	g.Expect(applied).To(Equal(sent))
}

// A box that has stopped, or takes no forwarded calls, must get none.
func TestOnlyLivePeersWithAForwardAddressGetForwardedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x := New(Config{Self: Status{Box: "me", Zone: "a", ForwardAddress: "127.0.0.1:6"}, Source: emptySource{}, Logger: zerolog.Nop()})
		x.handleStatus(Status{Box: "me", ForwardAddress: "127.0.0.1:6"})
		x.handleStatus(Status{Box: "previous version"})
		x.handleStatus(Status{Box: "leaving", Leaving: true, ForwardAddress: "127.0.0.1:7"})
		x.handleStatus(Status{Box: "takes", ForwardAddress: "127.0.0.1:8"})
		boxes := x.ForwardingBoxes()
		g.Expect(boxes).To(HaveLen(1))
		g.Expect(boxes[0].ForwardAddress).To(Equal("127.0.0.1:8"))
		time.Sleep(peerTimeout)
		g.Expect(x.ForwardingBoxes()).To(BeEmpty())
	})
}
