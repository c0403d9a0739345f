// Package quarantinelog keeps the crash records of what is quarantined in the platform's log, so that it
// stays held when all boxes restart at once (package quarantine).
//
// One box writes, chosen by rendezvous hashing. It compares what is held with what the log has, and writes the
// difference: a record for what is held, a deletion for what no longer is. So it does not matter which box
// detected it, nor whether the box that wrote a record still runs. Few boxes read, those that read the log
// themselves, when they start; the others get the records by the exchange between boxes.
//
// Records are merged like those of other boxes, by union, so a record that is read twice or late changes
// nothing. Nothing depends on the log: without it boxes hold what they know.
//
//	record.go  a crash record ◀▶ the key and value in the log
//	load.go    reads at the start of a box
//	write.go   writes the difference
package quarantinelog

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Config configures a Keeper.
type Config struct {
	Log    sharedlog.Log
	Eras   *sharedlog.Eras
	Logger zerolog.Logger
	// Requests and Parts have what this box holds.
	Requests *quarantine.Set
	Parts    *quarantine.Set
	// IsWriter reports whether this box is the one that writes. Boxes that disagree on it for a while write
	// the same records.
	IsWriter func() bool
	// ReadsLog reports whether this box reads the log itself.
	ReadsLog func() bool
	// OnLoaded is called when this box has what the log has; it may be nil.
	OnLoaded func()
}

// Keeper keeps the records of one box.
type Keeper struct {
	cfg Config
	// wake is signalled when something held may have changed.
	wake waiting.Signal
	// loaded is closed when this box has what the log has.
	loaded   chan struct{}
	loadOnce sync.Once

	mu sync.Mutex
	// awaitedUntil is when calls no longer wait for the records; zero until the first one does.
	awaitedUntil time.Time

	// The rest belongs to LoopWrite.

	// recorded has what the log has, by key, with the signature of its crashes; nil until it has been read.
	recorded map[string]uint64
	// deletedAt has when keys were deleted. A log that comes back from a copy may have them again.
	deletedAt map[string]time.Time
	// readAt is when the log was read, in the era era.
	readAt time.Time
	era    int64
	failed bool
}

// New returns a keeper that has read nothing.
func New(cfg Config) *Keeper {
	if cfg.OnLoaded == nil {
		cfg.OnLoaded = func() {}
	}
	return &Keeper{cfg: cfg, loaded: make(chan struct{}), deletedAt: map[string]time.Time{}}
}

// Notify makes the writer compare again. It does not block.
func (k *Keeper) Notify() { k.wake.Broadcast() }

// IsLoaded reports whether this box has what the log has.
func (k *Keeper) IsLoaded() bool {
	select {
	case <-k.loaded:
		return true
	default:
		return false
	}
}

// MarkLoaded records that this box has what the log has, because it or another box has read it.
func (k *Keeper) MarkLoaded() {
	k.loadOnce.Do(func() {
		close(k.loaded)
		k.cfg.OnLoaded()
	})
}

// set returns the set of a kind of record.
func (k *Keeper) set(kind kind) *quarantine.Set {
	if kind == partKind {
		return k.cfg.Parts
	}
	return k.cfg.Requests
}
