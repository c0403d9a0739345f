// The messages between boxes, and how they go over a connection.

package loadshare

import (
	"io"
	"net"
	"time"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/registry"
)

// maxMessageBytes bounds a message: about 20 bytes a server, 50 a box in a roster, and for
// a box that lacks it the configuration, which the log bounds to a quarter of this.
const maxMessageBytes = 1 << 20

// message tells a box's work, and that of the boxes that it speaks for to the receiver.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	Box  string `msgpack:"b"`
	Life string `msgpack:"i"`
	// Sent is the sender's time, counted from its start. Echo is the last time that
	// it has from the receiver, in the life EchoLife.
	Sent     time.Duration               `msgpack:"s"`
	Echo     time.Duration               `msgpack:"e,omitempty"`
	EchoLife string                      `msgpack:"f,omitempty"`
	Loads    []fleet.Load                `msgpack:"l"`
	Named    map[string][]registry.Heard `msgpack:"n"`
	// Address is where the sender is reached, in the first message of a connection, Roll
	// the number of listed boxes by a list that it read itself.
	Address string `msgpack:"a,omitempty"`
	Roll    int    `msgpack:"r,omitempty"`
	// Lacks says that the sender has no configuration and cannot read the log, and
	// Snapshot is for a receiver that said so.
	Lacks    bool               `msgpack:"q,omitempty"`
	Snapshot *registry.Snapshot `msgpack:"c,omitempty"`
	// Hub is the hub that the sender follows; empty when it follows none. Chosen says that
	// the sender tells the receiver by its own choice and wants to be told in turn.
	Hub    string `msgpack:"h,omitempty"`
	Chosen bool   `msgpack:"w,omitempty"`
	// Urgent says that the receiver's followers must know at once.
	Urgent bool `msgpack:"u,omitempty"`
	// Far is the work at servers of other zones, where it is told apart; FarKept says that
	// the last one still holds.
	Far     []fleet.Load `msgpack:"o,omitempty"`
	FarKept bool         `msgpack:"k,omitempty"`
	// Roster tells which boxes the sender hears, and Ack which of the receiver's rosters
	// the sender has, AckAll whether that was one for followers.
	Roster *rosterWord `msgpack:"t,omitempty"`
	Ack    uint64      `msgpack:"g,omitempty"`
	AckAll bool        `msgpack:"d,omitempty"`
	// EchoHeld is how long before this message the one that Echo names had come: the sender
	// said this no sooner than so long after that time.
	EchoHeld time.Duration `msgpack:"j,omitempty"`
	// Suspects tells what changed of the requests that end servers, and leads to generation
	// SuspectsNext of the sender's; SuspectsAck is the last of the receiver's that the sender
	// has.
	Suspects     []quarantine.RequestRecord `msgpack:"x,omitempty"`
	SuspectsNext uint64                     `msgpack:"y,omitempty"`
	SuspectsAck  uint64                     `msgpack:"z,omitempty"`
}

func (s *Share) send(connection net.Conn, m message) error {
	return frame.Write(connection, &m, ioLimit)
}

func receive(reader io.Reader) (m message, err error) {
	return m, frame.Read(reader, &m, maxMessageBytes)
}
