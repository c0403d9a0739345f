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
	boxes := startReadingBoxes(t, g, func(int) sharedlog.Log { return log }, "a", "b", "c", "d")
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

// A first event must not be sent without its record because all other boxes have just crashed: the box that sends it
// may be the next one.
func TestAFirstEventIsSentWithoutItsRecordWhileBoxesCrash(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	log.Underlying().SetFaults(fakelog.Faults{Delay: 200 * time.Millisecond})
	boxes := startReadingBoxes(t, g, func(int) sharedlog.Log { return log }, "a", "b", "c", "d", "a", "b", "c", "d")
	last := boxes[0]
	if recorderOf(last) == last.box.Name {
		last = boxes[1]
	}
	time.AfterFunc(50*time.Millisecond, func() {
		for _, b := range boxes {
			if b != last {
				b.stop()
			}
		}
	})
	began := time.Now()
	recorded := last.AwaitRecord(t.Context(), keyOfNumber(0), originOf(0))
	g.Expect(recorded || time.Since(began) >= awaitTimeout).To(BeTrue(), "it waited for %v", time.Since(began))
}

// startReadingBoxes starts boxes that read base versions, of which the log has none.
func startReadingBoxes(t *testing.T, g *WithT, logOf func(box int) sharedlog.Log, zones ...string) []*testBox {
	t.Helper()
	boxes := startBoxesWith(t, g, logOf, zones...)
	for _, b := range boxes {
		b.stop()
		b.readsBases = true
		b.listen(g)
	}
	for _, b := range boxes {
		b.start()
	}
	return boxes
}
