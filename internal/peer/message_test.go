package peer

import (
	"bufio"
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/follow"
)

func TestMessagesRoundTrip(t *testing.T) {
	entries := config.Entries{{Name: "a", Value: []byte("1")}}
	state := configlog.State{Version: 3, ReadTo: 4, Digest: entries.Digest(), Entries: entries}
	cases := []struct {
		name    string
		message Message
	}{
		{"status", Message{Status: Status{Box: "b", Zone: "z", Incarnation: "i", Version: 7, Leaving: true}, WantsConfig: true}},
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
