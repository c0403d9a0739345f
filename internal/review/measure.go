package review

import (
	"fmt"
	"runtime"
	"time"
)

// MemoryPerReview returns the memory per waiting review, in bytes, in a table of that many
// reviews. The benchmark prints it and docs/CAPACITY.md multiplies it.
func MemoryPerReview(reviews int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := newReviewTable()
	for i := range reviews {
		meta := Meta{ID: fmt.Sprintf("resp_%032d", i), Organisation: "an organisation", Model: "a model", AcceptedAt: time.Now(), Deadline: time.Now()}
		for _, record := range split(KindAccepted, meta, original, []byte("request")) {
			if data, err := record.encode(); err == nil {
				table.apply(int64(i), meta.AcceptedAt, data)
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(table)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(reviews)
}
