package streamorigin

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// A first event must not be sent without its record while the log is slow: the stream would count as one of the base
// version after all boxes crashed.
func TestFirstEventsAreSentWithoutRecordsWhileTheLogIsSlow(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	log.Underlying().SetFaults(fakelog.Faults{Delay: 200 * time.Millisecond})
	boxes := startBoxesWith(t, g, func(int) sharedlog.Log { return log }, "a", "b", "c", "d")
	var waits sync.WaitGroup
	var mu sync.Mutex
	unrecorded := 0
	const streams = 60
	for number := range streams {
		waits.Go(func() {
			if !boxes[number%len(boxes)].AwaitRecord(t.Context(), keyOfNumber(number), originOf(number)) {
				mu.Lock()
				defer mu.Unlock()
				unrecorded++
			}
		})
		time.Sleep(33 * time.Millisecond)
	}
	waits.Wait()
	g.Expect(unrecorded).To(BeZero(), "of %d", streams)
}
