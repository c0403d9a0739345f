package claim

import (
	"runtime"
	"time"

	"github.com/google/uuid"
)

// MemoryPerKey gives the memory, in bytes, that each of so many claimed keys
// takes. The bench prints it and docs/CAPACITY.md multiplies it.
func MemoryPerKey(keys int, at time.Time) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := newFold()
	for range keys {
		f.apply(Entry{Kind: KindClaim, Key: Key{Organisation: "an organisation", Text: uuid.NewString()}, ClaimID: uuid.New(), Incarnation: "a box"}, at)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(f)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(keys)
}

// LogBytesPerClaim gives the bytes that a claim takes in the log when so many
// share an append.
func LogBytesPerClaim(batchSize int) float64 {
	entries := make([]Entry, batchSize)
	for i := range entries {
		entries[i] = Entry{Kind: KindClaim, Key: Key{Organisation: "an organisation", Text: uuid.NewString()}, ClaimID: uuid.New(), Incarnation: uuid.NewString()}
	}
	data, err := encode(entries)
	if err != nil {
		return 0
	}
	return float64(len(data)) / float64(batchSize)
}
