// Package originlog records in the platform's log which software version began each stream.
//
// Boxes keep that in memory (package streamorigin), of which nothing is left when all of them crash at
// once. The log outlives them. A box that may write collects the origins of many boxes and appends them
// together as one record, so the calls of the log do not grow with the streams:
//
//	record.go  origins ◀▶ the value of a record
//	writer.go  appends what boxes hand over
//	reader.go  reads back, on demand
//
// A stream without keys is used, since nothing in it has to be found by key or deleted: the log drops old
// records by itself, and a reader needs those of the last minute only, which bounds the life of a stream.
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
