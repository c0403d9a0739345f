package originlog

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
)

// A reader of a large fleet dropped origins that were needed, and all streams without a record were refused: 1,900
// streams a second are recorded under two keys each, and again as they last.
func TestAReaderOfALargeFleetDropsWhatIsNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const streams, recordsOfEach, keysOfEach, needed = 1900, 3, 2, 15 * time.Second
		r := newReader(fakesharedlog.New())
		number := 0
		for began := time.Now(); time.Since(began) < 40*time.Second; time.Sleep(100 * time.Millisecond) {
			batch := make([]Origin, streams*recordsOfEach*keysOfEach/10)
			for i := range batch {
				batch[i] = originOf(number)
				number++
			}
			r.add(batch, time.Now())
		}
		g.Expect(r.lookUp(service, keyOf(0)).CompleteFor).To(BeNumerically(">=", needed))
	})
}

// BenchmarkReaderMemory measures what a full reader holds.
func BenchmarkReaderMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := newReader(fakesharedlog.New())
		for number := range maxKnown {
			r.add([]Origin{originOf(number)}, time.Now())
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(r)
	}
}
