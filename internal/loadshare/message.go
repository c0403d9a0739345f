// The messages between boxes, and their encoding on a connection.

package loadshare

import (
	"io"
	"net"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fairshare"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/registry"
)

// MaxMessageBytes bounds a message: about 20 bytes for each server, 50 for each box in a roster,
// 16,000 for the uses of organisations, and the configuration for a box that needs it, which the log
// bounds to a quarter of this.
const MaxMessageBytes = 1 << 20

// message reports the load of the sender, and of the boxes that it reports for to the receiver.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would be half of the message

	Box         string `msgpack:"b"`
	Incarnation string `msgpack:"i"`
	// SentAt is the sender's time, counted from its start. Echo is the latest SentAt that it
	// received from the receiver, in the receiver's incarnation EchoIncarnation.
	SentAt          time.Duration                     `msgpack:"s"`
	Echo            time.Duration                     `msgpack:"e,omitempty"`
	EchoIncarnation string                            `msgpack:"f,omitempty"`
	Loads           []fleet.Load                      `msgpack:"l"`
	NamedVersions   map[string][]registry.PeerWeights `msgpack:"n"`
	// Address is the address of the sender, in the first message of a connection. ListedCount is
	// the number of listed boxes if the sender has read the list itself.
	Address     string `msgpack:"a,omitempty"`
	ListedCount int    `msgpack:"r,omitempty"`
	// NeedsSnapshot means that the sender has no configuration and cannot read the log. Snapshot is
	// for a receiver that reported this.
	NeedsSnapshot bool               `msgpack:"q,omitempty"`
	Snapshot      *registry.Snapshot `msgpack:"c,omitempty"`
	// Hub is the hub that the sender follows; empty if it follows none. WantsReports means that the
	// sender selected the receiver itself, rather than replying to it, and wants its reports in
	// return.
	Hub          string `msgpack:"h,omitempty"`
	WantsReports bool   `msgpack:"w,omitempty"`
	// Urgent means that the receiver must pass the change on to its followers at once.
	Urgent bool `msgpack:"u,omitempty"`
	// OtherZoneLoads is the load at servers of other zones, if it is sent separately.
	// OtherZoneUnchanged means that the last one is still valid.
	OtherZoneLoads     []fleet.Load `msgpack:"o,omitempty"`
	OtherZoneUnchanged bool         `msgpack:"k,omitempty"`
	// Roster lists the boxes that the sender reports for. RosterAck is the generation of the
	// receiver's roster that the sender has, and RosterAckFull whether that was a roster for
	// followers.
	Roster        *rosterUpdate `msgpack:"t,omitempty"`
	RosterAck     uint64        `msgpack:"g,omitempty"`
	RosterAckFull bool          `msgpack:"d,omitempty"`
	// EchoHeldFor is how long before this message the one echoed in Echo was received. This message
	// was sent no earlier than that long after Echo.
	EchoHeldFor time.Duration `msgpack:"j,omitempty"`
	// Suspects lists the changes of the requests that crash servers, up to the sender's generation
	// SuspectsGeneration. SuspectsAck is the last generation of the receiver that the sender has.
	Suspects           []quarantine.RequestRecord `msgpack:"x,omitempty"`
	SuspectsGeneration uint64                     `msgpack:"y,omitempty"`
	SuspectsAck        uint64                     `msgpack:"z,omitempty"`

	// extension follows the message.
	extension extension
}

// extension is what was added to message after its first version: boxes of the previous version
// reject an array with further fields. Its fields have names, so that more can be added.
type extension struct {
	// LinkSamples are samples of fetches from store boxes that the sender has not sent to the receiver
	// yet.
	LinkSamples []partindex.LinkSample `msgpack:"l,omitempty"`
	// Uses lists the organisations that use most of each service, as far as the sender granted it.
	// It is sent between boxes that grant places, every usesInterval.
	Uses []fairshare.ServiceReport `msgpack:"v,omitempty"`
	// Parts lists the changes of the prompt parts that crash servers, up to the sender's generation
	// PartsGeneration. PartsAck is the last generation of the receiver that the sender has.
	Parts           []quarantine.RequestRecord `msgpack:"p,omitempty"`
	PartsGeneration uint64                     `msgpack:"g,omitempty"`
	PartsAck        uint64                     `msgpack:"a,omitempty"`
	// PartsRunning has CrashRecord.Running of the crashes in Parts.
	PartsRunning [][]time.Duration `msgpack:"r,omitempty"`
	// QuarantineLoaded means that the receiver has with this message all that the log has of what is
	// quarantined.
	QuarantineLoaded bool `msgpack:"q,omitempty"`
	// Brittle has the reports of brittle servers that belong to the loads, by incarnation.
	Brittle map[string]*advisory.BrittleReport `msgpack:"b,omitempty"`
}

func (s *Share) writeMessage(connection net.Conn, m message) error {
	m.detachBrittle()
	m.detachRunning()
	return frame.WriteExtended(connection, &m, &m.extension, ioTimeout)
}

func readMessage(reader io.Reader) (m message, err error) {
	if err := frame.ReadExtended(reader, &m, &m.extension, MaxMessageBytes); err != nil {
		return m, err
	}
	m.attachBrittle()
	m.attachRunning()
	return m, nil
}

// detachBrittle adds the reports of brittle servers to the extension.
func (m *message) detachBrittle() {
	for _, loads := range [][]fleet.Load{m.Loads, m.OtherZoneLoads} {
		for _, load := range loads {
			if load.Brittle == nil {
				continue
			}
			if m.extension.Brittle == nil {
				m.extension.Brittle = map[string]*advisory.BrittleReport{}
			}
			m.extension.Brittle[load.Incarnation] = load.Brittle
		}
	}
}

// attachBrittle adds the reports of brittle servers to their loads.
func (m *message) attachBrittle() {
	for _, loads := range [][]fleet.Load{m.Loads, m.OtherZoneLoads} {
		for i := range loads {
			loads[i].Brittle = m.extension.Brittle[loads[i].Incarnation]
		}
	}
	m.extension.Brittle = nil
}

// detachRunning adds how long calls that crashed had been running to the extension.
func (m *message) detachRunning() {
	m.extension.PartsRunning = make([][]time.Duration, len(m.extension.Parts))
	for i, record := range m.extension.Parts {
		for _, crash := range record.Crashes {
			m.extension.PartsRunning[i] = append(m.extension.PartsRunning[i], crash.Running)
		}
	}
}

// attachRunning adds how long calls that crashed had been running to their crashes.
func (m *message) attachRunning() {
	for i, running := range m.extension.PartsRunning[:min(len(m.extension.PartsRunning), len(m.extension.Parts))] {
		crashes := m.extension.Parts[i].Crashes
		for j := range crashes[:min(len(crashes), len(running))] {
			crashes[j].Running = running[j]
		}
	}
	m.extension.PartsRunning = nil
}
