package peer

import (
	"bufio"
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/follow"
	"github.com/cometlock/cometlock/internal/frame"
)

func TestMessagesRoundTrip(t *testing.T) {
	entries := config.Entries{{Name: "a", Value: []byte("1")}}
	state := configlog.State{Version: 3, ReadTo: 4, Digest: entries.Digest(), Entries: entries}
	cases := []struct {
		name    string
		message Message
	}{
		{"status", Message{Status: Status{Box: "b", Zone: "z", Incarnation: "i", Version: 7, Leaving: true, ForwardAddress: "127.0.0.1:1"}, WantsConfig: true}},
		{"state", Message{State: &state}},
		{"changes", Message{Changes: []follow.Change{{Offset: 3, Record: configlog.Record{Kind: configlog.KindChange, ApplyID: "x", BaseVersion: 1, Digest: entries.Digest()}}}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var wire bytes.Buffer
			_, err := writeMessage(&wire, c.message)
			g.Expect(err).NotTo(HaveOccurred())
			got, err := readMessage(bufio.NewReader(&wire))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(c.message))
		})
	}
}

// previousMessage and previousStatus are a message as boxes of the version before forwarded calls decode it.
type previousMessage struct {
	Status      previousStatus   `msgpack:"s"`
	WantsConfig bool             `msgpack:"w,omitempty"`
	Changes     []follow.Change  `msgpack:"c,omitempty"`
	State       *configlog.State `msgpack:"f,omitempty"`
}

type previousStatus struct {
	Box             string                      `msgpack:"b" json:"box"`
	Zone            string                      `msgpack:"z" json:"zone"`
	Incarnation     string                      `msgpack:"i" json:"incarnation"`
	Version         int64                       `msgpack:"v" json:"version"`
	Leaving         bool                        `msgpack:"l" json:"leaving"`
	AdvisoryReports map[string]*advisory.Report `msgpack:"a,omitempty" json:"advised,omitempty"`
}

func TestBoxesOfThePreviousVersionReadAStatusWithAForwardAddress(t *testing.T) {
	g := NewWithT(t)
	reports := map[string]*advisory.Report{"server": {LimitKnown: true, PerSecond: 2}}
	sent := Message{Status: Status{Box: "b", Zone: "z", Incarnation: "i", Version: 7, Leaving: true, ForwardAddress: "127.0.0.1:1", AdvisoryReports: reports}, WantsConfig: true}
	want := previousMessage{Status: previousStatus{Box: "b", Zone: "z", Incarnation: "i", Version: 7, Leaving: true, AdvisoryReports: reports}, WantsConfig: true}
	whole, err := frame.Encode(&sent)
	g.Expect(err).NotTo(HaveOccurred())
	var old previousMessage
	g.Expect(frame.Read(bytes.NewReader(whole), &old, MaxMessageBytes)).To(Succeed())
	g.Expect(old).To(Equal(want))

	whole, err = frame.Encode(&want)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := readMessage(bytes.NewReader(whole))
	g.Expect(err).NotTo(HaveOccurred())
	sent.Status.ForwardAddress = ""
	g.Expect(got).To(Equal(sent))
}

func TestOversizedMessagesAreRejectedUnread(t *testing.T) {
	g := NewWithT(t)
	_, err := readMessage(bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff})))
	g.Expect(err).To(MatchError(ContainSubstring("too large")))
}

func FuzzReadMessage(f *testing.F) {
	var wire bytes.Buffer
	if _, err := writeMessage(&wire, Message{Status: Status{Box: "b"}}); err != nil {
		f.Fatal(err)
	}
	f.Add(wire.Bytes())
	f.Fuzz(func(_ *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		for {
			if _, err := readMessage(reader); err != nil {
				return
			}
		}
	})
}
