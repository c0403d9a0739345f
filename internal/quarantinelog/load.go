// Reading what is held when a box starts.

package quarantinelog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// rolePoll is the time between two checks whether this box reads the log. Its list of servers is read as
	// soon as it does, and is of no use before.
	rolePoll = 10 * time.Millisecond
	// minLoadPause and maxLoadPause bound the pause after a read that failed, which doubles. If the log is away
	// at the start of all boxes, all of them may read it themselves.
	minLoadPause = 250 * time.Millisecond
	maxLoadPause = 30 * time.Second
	// maxAwait is how long calls wait for the records, in all. The list of servers is read at the same time, so
	// calls wait only if this stream is read later than that.
	maxAwait = 300 * time.Millisecond
)

// Await waits until this box has what the log has, or no longer than maxAwait after the first call of Await.
func (k *Keeper) Await(ctx context.Context) {
	if left := boottime.Until(k.awaitLimit()); left > 0 && !k.IsLoaded() {
		waiting.ForOrSignal(ctx, left, k.loaded)
	}
}

func (k *Keeper) awaitLimit() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.awaitedUntil.IsZero() {
		k.awaitedUntil = boottime.Now().Add(maxAwait)
	}
	return k.awaitedUntil
}

// LoopLoad reads what the log has if this box reads the log itself, unless it gets that from another box
// first. It returns when this box has it, or when ctx ends.
func (k *Keeper) LoopLoad(ctx context.Context) {
	pause := minLoadPause
	for ctx.Err() == nil && !k.IsLoaded() {
		if !k.cfg.ReadsLog() {
			waiting.ForOrSignal(ctx, rolePoll, k.loaded)
			continue
		}
		page, err := sharedlog.Newest(ctx, k.cfg.Log, sharedlog.Quarantine)
		if err == nil {
			count := k.merge(k.decodeAll(page.Records))
			k.cfg.Logger.Info().Int("records", count).Msg("quarantine_loaded")
			k.MarkLoaded()
			return
		}
		if ctx.Err() == nil {
			k.cfg.Logger.Warn().Str("error", err.Error()).Msg("quarantine_not_loaded")
		}
		waiting.ForOrSignal(ctx, pause/2+rand.N(pause), k.loaded)
		pause = min(2*pause, maxLoadPause)
	}
}

// maxSnapshot bounds the records of a Snapshot, at some 100 bytes each. When there are more, other boxes get
// them in load reports alone.
const maxSnapshot = 256

// Snapshot is what is held at a box that has what the log has, for a box that starts.
type Snapshot struct {
	Requests []quarantine.RequestRecord `msgpack:"r,omitempty"`
	Parts    []quarantine.RequestRecord `msgpack:"p,omitempty"`
}

// Snapshot returns what is held, or nil if this box does not have what the log has, or if there is too much.
func (k *Keeper) Snapshot() *Snapshot {
	if !k.IsLoaded() {
		return nil
	}
	snapshot := &Snapshot{Requests: k.cfg.Requests.Held(), Parts: k.cfg.Parts.Held()}
	if len(snapshot.Requests)+len(snapshot.Parts) > maxSnapshot {
		return nil
	}
	return snapshot
}

// ApplySnapshot merges the snapshot of another box.
func (k *Keeper) ApplySnapshot(snapshot Snapshot) {
	k.cfg.Requests.Merge(snapshot.Requests)
	k.cfg.Parts.Merge(snapshot.Parts)
	k.MarkLoaded()
}

// logged is a record that was read.
type logged struct {
	key    string
	kind   kind
	record quarantine.RequestRecord
}

// decodeAll decodes records. Those that cannot be decoded stay in the log: another version may have written
// them.
func (k *Keeper) decodeAll(records []sharedlog.Record) []logged {
	decoded := make([]logged, 0, len(records))
	for _, record := range records {
		of, crashes, err := decode(record.Key, record.Value, boottime.TimeOfDay())
		if err != nil {
			k.cfg.Logger.Error().Str("key", record.Key).EmbedObject(logposition.Logged(record.Offset)).Str("error", err.Error()).Msg("quarantine_record_invalid")
			continue
		}
		decoded = append(decoded, logged{key: record.Key, kind: of, record: crashes})
	}
	return decoded
}

// merge merges records into what this box holds, and returns their number.
func (k *Keeper) merge(records []logged) int {
	byKind := map[kind][]quarantine.RequestRecord{}
	for _, each := range records {
		byKind[each.kind] = append(byKind[each.kind], each.record)
	}
	for _, of := range kinds {
		k.set(of).MergeRecorded(byKind[of])
	}
	return len(records)
}
