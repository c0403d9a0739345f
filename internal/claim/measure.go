package claim

import (
	"runtime"
	"time"

	"github.com/google/uuid"
)

// MemoryPerKey returns the memory per claimed key, in bytes, in a table of that many keys. The
// benchmark prints it and docs/CAPACITY.md multiplies it.
func MemoryPerKey(keys int, at time.Time) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := newKeyTable()
	for range keys {
		table.apply(Entry{Kind: KindClaim, Key: Key{Organisation: "an organisation", Text: uuid.NewString()}, ClaimID: uuid.New(), Incarnation: "a box"}, at)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(table)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(keys)
}

// LogBytesPerClaim returns the bytes that a claim occupies in the log when batchSize claims
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
