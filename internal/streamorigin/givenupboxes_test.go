package streamorigin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// While the first event of a stream waited for its record, boxes got the origin to hold it and to record it. Some kept it
// when the stream was given up and began anew at the base version.
func TestBoxesHoldTheVersionThatWasGivenUp(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	putBase(g, log, baseversion.Base{Version: "v1", Present: true})
	boxes := startReadingBoxes(t, g, func(int) sharedlog.Log { return log }, "a", "b", "c", "d", "e", "f")
	for _, b := range boxes {
		b.refreshBases(t.Context())
	}
	log.Underlying().SetFaults(fakelog.Faults{Down: true})
	const streams = 20
	for number := range streams {
		key, b := keyOfNumber(number), boxes[0]
		var announcement Announcement
		b.Announce(t.Context(), &announcement, key, originAt("v2"))
		g.Expect(b.AwaitAnnounced(t.Context(), &announcement, key, originAt("v2"))).To(BeFalse())
		b.AwaitAnnounced(t.Context(), &announcement, key, originAt("v1"))
		b.Begin(&announcement, key, originAt("v1"))
	}
	time.Sleep(time.Second)
	wrong := 0
	for number := range streams {
		for _, b := range boxes {
			b.mu.Lock()
			b.Origins.mu.Lock()
			if origin, found := b.known.find(keyOfNumber(number), time.Now()); found && origin.Software != "v1" {
				wrong++
			}
			b.Origins.mu.Unlock()
			b.mu.Unlock()
		}
	}
	g.Expect(wrong).To(BeZero(), "of %d origins", streams*len(boxes))
}
