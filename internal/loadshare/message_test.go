package loadshare

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fairshare"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/registry"
)

// previousMessage is the message of the version before it had an extension.
type previousMessage struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would be half of the message

	Box                string                            `msgpack:"b"`
	Incarnation        string                            `msgpack:"i"`
	SentAt             time.Duration                     `msgpack:"s"`
	Echo               time.Duration                     `msgpack:"e,omitempty"`
	EchoIncarnation    string                            `msgpack:"f,omitempty"`
	Loads              []fleet.Load                      `msgpack:"l"`
	NamedVersions      map[string][]registry.PeerWeights `msgpack:"n"`
	Address            string                            `msgpack:"a,omitempty"`
	ListedCount        int                               `msgpack:"r,omitempty"`
	NeedsSnapshot      bool                              `msgpack:"q,omitempty"`
	Snapshot           *registry.Snapshot                `msgpack:"c,omitempty"`
	Hub                string                            `msgpack:"h,omitempty"`
	WantsReports       bool                              `msgpack:"w,omitempty"`
	Urgent             bool                              `msgpack:"u,omitempty"`
	OtherZoneLoads     []fleet.Load                      `msgpack:"o,omitempty"`
	OtherZoneUnchanged bool                              `msgpack:"k,omitempty"`
	Roster             *rosterUpdate                     `msgpack:"t,omitempty"`
	RosterAck          uint64                            `msgpack:"g,omitempty"`
	RosterAckFull      bool                              `msgpack:"d,omitempty"`
	EchoHeldFor        time.Duration                     `msgpack:"j,omitempty"`
	Suspects           []quarantine.RequestRecord        `msgpack:"x,omitempty"`
	SuspectsGeneration uint64                            `msgpack:"y,omitempty"`
	SuspectsAck        uint64                            `msgpack:"z,omitempty"`
}

// testMessage returns a message with a value in every field but the extension.
func testMessage() message {
	return message{
		Box: "b", Incarnation: "i", SentAt: 1, Echo: 2, EchoIncarnation: "f", Loads: []fleet.Load{{Incarnation: "s", InFlight: 3}},
		NamedVersions: map[string][]registry.PeerWeights{"m": {{Version: 4}}}, Address: "a", ListedCount: 5, NeedsSnapshot: true, Snapshot: &registry.Snapshot{},
		Hub: "h", WantsReports: true, Urgent: true, OtherZoneLoads: []fleet.Load{{Incarnation: "o"}}, OtherZoneUnchanged: true,
		Roster: &rosterUpdate{Full: true, Generation: 6, MaxAge: 7}, RosterAck: 8, RosterAckFull: true, EchoHeldFor: 9,
		Suspects: []quarantine.RequestRecord{{}}, SuspectsGeneration: 10, SuspectsAck: 11,
	}
}

// Boxes of different versions run beside each other during an upgrade. With the samples as one more
// field of the message, neither version could decode the messages of the other ("number of fields in
// array-encoded struct has changed").
func TestMessagesAreCompatibleWithThePreviousVersion(t *testing.T) {
	g := NewWithT(t)
	samples := []partindex.LinkSample{{Store: 1 << 31, ID: 0xffff, Age: 255, Late: 255}}
	read := func(send func(net.Conn), target func(io.Reader) error) {
		near, far := net.Pipe()
		go send(near)
		g.Expect(target(far)).To(Succeed())
	}
	sent := testMessage()
	sent.Loads[0].Brittle = &advisory.BrittleReport{Known: true, MaxRefusals: 4, Age: 5, Room: 6, Raised: true, RoomAge: 7, BlockedFor: 8}
	sent.extension = extension{LinkSamples: samples, Uses: []fairshare.ServiceReport{{Service: "s", Uses: []fairshare.ReportedUse{{Key: 1 << 63, Use: 2.5}}}}}
	sent.extension.Parts = []quarantine.RequestRecord{{Crashes: []quarantine.CrashRecord{{Incarnation: 1, Running: 12}, {Incarnation: 2}}}, {Crashes: []quarantine.CrashRecord{{Incarnation: 3, Running: 13}}}}
	writeNew := func(connection net.Conn) { _ = (*Share)(nil).writeMessage(connection, sent) }
	var old previousMessage
	read(writeNew, func(r io.Reader) error { return frame.Read(r, &old, MaxMessageBytes) })
	var received message
	readNew := func(r io.Reader) (err error) {
		received, err = readMessage(r)
		return err
	}
	read(writeNew, readNew)
	g.Expect(received).To(Equal(sent))
	read(func(connection net.Conn) { _ = frame.Write(connection, &old, ioTimeout) }, readNew)
	g.Expect(received).To(Equal(testMessage()), "all fields that the previous version has")
}

// Guards against reports of organisations that make messages much larger. It prints the sizes.
func TestSizeOfUses(t *testing.T) {
	g := NewWithT(t)
	ledger, now := fairshare.New(), time.Unix(1_000_000, 0)
	for service := range 20 {
		for organisation := range 100 {
			ledger.Charge(fmt.Sprint("service-", service), fmt.Sprint("organisation-", organisation), float64(organisation+1)/7, now)
		}
	}
	size := func(value any) int {
		data, err := msgpack.Marshal(value)
		g.Expect(err).NotTo(HaveOccurred())
		return len(data)
	}
	one, all := extension{Uses: ledger.Report(now)[:1]}, extension{Uses: ledger.Report(now)}
	t.Log("uses of one service:", size(&one), "bytes; of all:", size(&all), "bytes")
	g.Expect(size(&one)).To(BeNumerically("<=", 1000))
	g.Expect(size(&all)).To(BeNumerically("<=", 16_000))
}
