// Snapshots of the log for a box that starts while it cannot read the log. Without one, it would
// refuse all calls though the servers may all be well.

package registry

import "github.com/cometlock/cometlock/internal/sharedlog"

// Snapshot holds the newest record of each key, as another box read them.
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

// Snapshot returns what this box has read of the log, or nil while it has no configuration.
func (r *Registry) Snapshot() *Snapshot {
	if r.Catalog() == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Snapshot{
		Operator: r.state(sharedlog.Operator).records(),
		Servers:  r.state(sharedlog.Servers).records(),
	}
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
