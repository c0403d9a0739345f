// Snapshots of the log for a box that starts while it cannot read the log. Without one, it would
// refuse all calls though the servers may all be well.

package registry

import "github.com/cometlock/cometlock/internal/sharedlog"

// Snapshot holds the newest record of each key, as another box read them. With thousands of servers
// it holds some of them only, first those of the receiver's zone: it must fit into a message.
type Snapshot struct {
	Operator []sharedlog.Record `msgpack:"o"`
	Servers  []sharedlog.Record `msgpack:"s"`
}

// NeedsSnapshot reports whether this box has no configuration and cannot read the log. A box that
// has just started and has not read the log yet needs none.
func (r *Registry) NeedsSnapshot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Catalog() == nil && r.lost[sharedlog.Operator]
}

// maxSnapshotBytes bounds the records of servers in a snapshot. Some 2,000 servers fit, and a box
// without the log needs some to serve calls rather than all.
const maxSnapshotBytes = 512 << 10

// Snapshot returns what this box has read of the log for a box in a zone, or nil while it has no
// configuration.
func (r *Registry) Snapshot(zone string) *Snapshot {
	if r.Catalog() == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Snapshot{
		Operator: r.state(sharedlog.Operator).records(),
		Servers:  r.state(sharedlog.Servers).recordsNear(zone, maxSnapshotBytes),
	}
}

// recordsNear returns the records of servers up to a number of bytes, those of a zone first.
func (s *streamState) recordsNear(zone string, maxBytes int) []sharedlog.Record {
	var records, elsewhere []sharedlog.Record
	for _, known := range s.entries {
		switch {
		case known.server == nil:
		case known.server.Zone == zone:
			records = append(records, known.record)
		default:
			elsewhere = append(elsewhere, known.record)
		}
	}
	records = append(records, elsewhere...)
	bytes := 0
	for i, record := range records {
		if bytes += len(record.Key) + len(record.Value); bytes > maxBytes {
			return records[:i]
		}
	}
	return records
}

// Adopt applies another box's snapshot if this box has no configuration. Later records of the log
// take precedence, since each key only moves to higher offsets. The age of the weight versions
// stays unknown.
func (r *Registry) Adopt(snapshot Snapshot) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	if r.Catalog() != nil {
		return
	}
	if r.Position(sharedlog.Servers) < 0 {
		r.applyLocked(sharedlog.Servers, snapshot.Servers, batch{next: sharedlog.FromNewest})
	}
	r.applyLocked(sharedlog.Operator, snapshot.Operator, batch{next: sharedlog.FromNewest})
	r.cfg.Logger.Info().Int("servers", len(snapshot.Servers)).Bool("configuration", r.Catalog() != nil).Msg("snapshot_adopted")
}
