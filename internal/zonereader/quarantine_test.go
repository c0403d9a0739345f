package zonereader

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/quarantinelog"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// heldBox is a member with what it holds.
type heldBox struct {
	*Member
	requests *quarantine.Set
	keeper   *quarantinelog.Keeper
}

func newHeldBox() heldBox {
	b := heldBox{requests: quarantine.New(quarantine.Config{})}
	b.keeper = quarantinelog.New(quarantinelog.Config{Logger: zerolog.Nop(), Requests: b.requests, Parts: quarantine.New(quarantine.Config{Threshold: quarantine.PartThreshold})})
	streams := registry.New(registry.Config{Decoder: oneServer{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop()})
	b.Member = New(Config{Registry: streams, Parts: partindex.New(partindex.Config{}), Logger: zerolog.Nop(), StreamsChanged: &waiting.Signal{}, Quarantine: b.keeper})
	return b
}

func (b heldBox) hold(number byte) {
	for incarnation := range uint64(quarantine.HoldThreshold) {
		b.requests.NoteCrash(quarantine.Crash{Request: quarantine.Request{number}, Incarnation: incarnation})
	}
}

// A box that starts must have what is held when it knows servers, or it sends them what crashes them. Load
// reports may arrive a second later.
func TestAFollowerKnowsServersBeforeWhatIsHeld(t *testing.T) {
	tests := []struct {
		name   string
		loaded bool
		held   byte
		known  bool
	}{
		{"its reader has what the log has", true, 3, true},
		{"nothing is held", true, 0, true},
		{"its reader has not read the log yet", false, 3, false},
		{"much is held", true, 255, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			reader, follower := newHeldBox(), newHeldBox()
			reader.cfg.Registry.ApplyUpdate(registry.StreamUpdate{Stream: sharedlog.Servers, Full: true, Records: []sharedlog.Record{{Key: "server", Value: []byte("ready"), Offset: 4}}, Next: 5}, time.Now())
			for number := range test.held {
				reader.hold(number)
			}
			if test.loaded {
				reader.keeper.MarkLoaded()
			}
			near, far := net.Pipe()
			defer near.Close()
			go reader.serve(t.Context(), far, frame.NewReader(far))
			g.Expect(follower.poll(newSession(near, role{}))).To(Succeed())
			g.Expect(follower.keeper.IsLoaded()).To(Equal(test.known))
			held, _ := follower.requests.Counts()
			if test.known {
				g.Expect(held).To(BeEquivalentTo(test.held))
			} else {
				g.Expect(held).To(BeZero())
			}
		})
	}
}
