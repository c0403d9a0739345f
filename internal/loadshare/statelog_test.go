package loadshare

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// While a large fleet starts, hubs are late and boxes change hubs, so the same boxes are heard, time
// out and are heard again several times a second. Each time was a log line of each box.
func TestBoxesThatAreHeardIrregularlyAreLoggedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var log bytes.Buffer
		s := New(Config{Box: "self", Logger: zerolog.New(&log)})
		roster := &rosterUpdate{Generation: 1}
		const listed = 50
		for i := range listed {
			roster.Entries = append(roster.Entries, rosterEntry{Box: fmt.Sprint("box-", i), Incarnation: "1"})
		}
		hear := func() { s.recordReport(message{Box: "hub", Incarnation: "1", Roster: roster}) }
		count := func(event string) int { return strings.Count(log.String(), event) }
		hear()
		g.Expect(count("boxes_heard")).To(Equal(1), "the first boxes are logged at once")
		const flaps = 20
		for range flaps {
			time.Sleep(200 * time.Millisecond)
			s.expireReports(0)
			time.Sleep(200 * time.Millisecond)
			hear()
		}
		g.Expect(count("boxes_timed_out")).To(BeNumerically("<=", 2))
		g.Expect(count("boxes_heard")).To(BeNumerically("<=", 3))
		time.Sleep(10 * time.Second)
		s.expireReports(time.Minute)
		time.Sleep(10 * time.Second)
		lines := log.Len()
		s.expireReports(time.Second)
		g.Expect(log.String()[lines:]).To(ContainSubstring(fmt.Sprintf(`"count":%d,"heard":0,"message":"boxes_timed_out"`, listed+1)), "a loss after a quiet time is logged at once")
		hear()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			s.expireReports(time.Minute)
		}
		g.Expect(log.String()[lines:]).To(ContainSubstring(fmt.Sprintf(`"count":%d,"heard":%d,"message":"boxes_heard"`, listed+1, listed+1)), "what was not logged at once is logged later")
	})
}
