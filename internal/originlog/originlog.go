// Package originlog records in the platform's log which software version began each stream.
//
// Boxes hold the origins of streams in memory (package streamorigin), which is lost if all of them crash at
// once. A few boxes, chosen by rendezvous hashing, collect the origins of many and append them in batches, so that
// the number of log calls does not grow with the number of streams:
//
//	record.go  encodes and decodes a batch, the value of a record
//	writer.go  appends the origins that boxes send
//	reader.go  reads them on demand
//
// The log's stream of origins has no keys, since no record has to be found by key or deleted: the log drops
// old records by itself, and a reader needs those of the last minute only, after which no caller resumes a
// stream.
package originlog

import "time"

// KeySize is the size of a key.
const KeySize = 16

// Key identifies a stream.
type Key = [KeySize]byte

// Origin is the software version that began a stream of a service.
type Origin struct {
	Key      Key
	Service  string
	Software string
}

// Horizon is how far back a reader reads. It is longer than a caller resumes a stream, and as long as boxes
// remember the software versions of a service.
const Horizon = time.Minute
