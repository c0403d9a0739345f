// Package peer lets entry boxes tell each other what they know.
//
// The exchange is a hint service: a box that cannot reach the log learns newer
// configurations from boxes that can, and a new box learns the one in force when
// the log is down. Every second a box exchanges its status with a few others;
// content travels only to a box that is behind and has been for a while.
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

// Status is what a box tells of itself.
type Status struct {
	Box         string `msgpack:"b" json:"box"`
	Zone        string `msgpack:"z" json:"zone"`
	Incarnation string `msgpack:"i" json:"incarnation"`
	// Version is the configuration in force.
	Version int64 `msgpack:"v" json:"version"`
	// Leaving says that the box is about to stop.
	Leaving bool `msgpack:"l" json:"leaving"`
	// AdvisoryReports is what backend servers said of themselves in answers to the box, by server.
	AdvisoryReports map[string]*advisory.Report `msgpack:"a,omitempty" json:"advised,omitempty"`
}

// Message is one message in either direction.
type Message struct {
	Status Status `msgpack:"s"`
	// WantsConfig asks for what leads on from the sender's version.
	WantsConfig bool `msgpack:"w,omitempty"`
	// Changes lead on from the receiver's version, when they are all known.
	Changes []follow.Change `msgpack:"c,omitempty"`
	// State is the whole configuration, where changes do not do.
	State *configlog.State `msgpack:"f,omitempty"`
}

// maxMessageBytes bounds what is read from a peer.
const maxMessageBytes = 16 << 20

func writeMessage(writer io.Writer, message Message) (int, error) {
	whole, err := frame.Encode(&message)
	if err != nil {
		return 0, err
	}
	return writer.Write(whole)
}

func readMessage(reader io.Reader) (message Message, err error) {
	return message, frame.Read(reader, &message, maxMessageBytes)
}
