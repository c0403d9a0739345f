// Package peer implements a gossip protocol between entry boxes.
//
// A box that cannot reach the log gets newer configurations from boxes that can, and a
// new box gets the current one while the log is down. What peers report is only a hint.
// Every second a box exchanges its status with a few others. The configuration itself
// is sent only to a box that cannot reach the log, or that has had an older version
// for a while.
//
// On the wire a message is a frame of package frame.
package peer

import (
	"io"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/follow"
	"github.com/cometlock/cometlock/internal/frame"
)

// Status is the state of a box that it sends to its peers.
type Status struct {
	Box         string `msgpack:"b" json:"box"`
	Zone        string `msgpack:"z" json:"zone"`
	Incarnation string `msgpack:"i" json:"incarnation"`
	// Version is the version of the box's configuration.
	Version int64 `msgpack:"v" json:"version"`
	// Leaving is set when the box is about to stop.
	Leaving bool `msgpack:"l" json:"leaving"`
	// ForwardAddress is the address at which the box takes forwarded calls. It is empty if the box takes
	// none, as boxes of earlier versions do.
	ForwardAddress string `msgpack:"f,omitempty" json:"forward,omitempty"`
	// AdvisoryReports contains the advisories that the box received from backend servers, by server.
	AdvisoryReports map[string]*advisory.Report `msgpack:"a,omitempty" json:"advised,omitempty"`
}

// Message is a request or a reply.
type Message struct {
	Status Status `msgpack:"s"`
	// WantsConfig requests the configuration changes since the sender's version.
	WantsConfig bool `msgpack:"w,omitempty"`
	// Changes are the changes since the receiver's version, if the sender has all of them.
	Changes []follow.Change `msgpack:"c,omitempty"`
	// State is the complete configuration, sent if the sender lacks some of the changes.
	State *configlog.State `msgpack:"f,omitempty"`
}

// MaxMessageBytes is the maximum size of a message from a peer.
const MaxMessageBytes = 16 << 20

func writeMessage(writer io.Writer, message Message) (int, error) {
	whole, err := frame.Encode(&message)
	if err != nil {
		return 0, err
	}
	return writer.Write(whole)
}

func readMessage(reader io.Reader) (message Message, err error) {
	return message, frame.Read(reader, &message, MaxMessageBytes)
}
