// Package sharedlog is what a box needs of the platform's log, in the product's
// words: records in order, the newest record of each key, and a group whose
// members share out numbered duties.
//
// The log's answers are the only things that boxes agree by. A call that brought
// no answer may have taken effect (ErrUnknown) or not (any other error).
package sharedlog

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of a log.
var (
	// ErrGone says that the records asked for are no longer kept.
	ErrGone = merry.Sentinel("the log no longer keeps these records")
	// ErrRefused says that the log turned the call away and did nothing.
	ErrRefused = merry.Sentinel("the log refused the call")
	// ErrUnknown says that no answer came: the call may have taken effect.
	ErrUnknown = merry.Sentinel("the log gave no answer")
)

// Stream names one of the streams that boxes follow.
type Stream uint8

const (
	// Operator holds what operators declare: the configuration and the weight
	// versions of models.
	Operator Stream = iota + 1
	// Servers holds what backend servers say of themselves.
	Servers
)

// String gives the name for logs and metrics.
func (s Stream) String() string {
	switch s {
	case Operator:
		return "operator"
	case Servers:
		return "servers"
	default:
		return "unknown"
	}
}

// Record is the newest word on a key as of its offset. No value means that the
// key is gone.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is an answer to a read.
type Page struct {
	Records []Record
	// Next is the offset that the next read begins at.
	Next int64
}

// Membership is a member's place in the group of boxes.
type Membership struct {
	// Generation rises with every change of the group.
	Generation int64
	// Duties are the numbers of the duties that are this member's alone.
	Duties []int
}

// Log is the platform's log.
type Log interface {
	// Newest gives the newest record of each key, and the offset to read on from.
	Newest(ctx context.Context, stream Stream) (Page, error)
	// Read gives records from an offset on, waiting up to wait for the first.
	Read(ctx context.Context, stream Stream, from int64, wait time.Duration) (Page, error)
	// Join joins the group of boxes or stays in it. Silence for ttl ends it.
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (Membership, error)
	// Leave gives all duties back.
	Leave(ctx context.Context, member string) error
}
