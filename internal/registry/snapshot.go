// What a box read of the log, for one that starts while it cannot read the log. Such a
// box would refuse all calls, though the servers may all be well.

package registry

import "github.com/cometlock/cometlock/internal/sharedlog"

// Snapshot holds the newest record of each key, as another box read them.
type Snapshot struct {
	Operator []sharedlog.Record `msgpack:"o"`
	Servers  []sharedlog.Record `msgpack:"s"`
}

// Lacks reports that this box has no configuration and cannot read the log. One that has
// just started and is about to read it lacks nothing.
func (r *Registry) NeedsSnapshot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Catalog() == nil && r.lost[sharedlog.Operator]
}

// Snapshot gives what this box read of the log, or nil while it has no configuration.
func (r *Registry) Snapshot() *Snapshot {
	if r.Catalog() == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Snapshot{
		Operator: r.tail(sharedlog.Operator).records(),
		Servers:  r.tail(sharedlog.Servers).records(),
	}
}

// Adopt takes over what another box read of the log, if this one has no configuration.
// Whatever the log says later goes before it, since records go forward by their
// offsets; how old the weights are stays unknown.
func (r *Registry) Adopt(snapshot Snapshot) {
	r.turn.Lock()
	defer r.turn.Unlock()
	if r.Catalog() != nil {
		return
	}
	if r.Position(sharedlog.Servers) < 0 {
		r.takeInTurn(sharedlog.Servers, snapshot.Servers, reading{next: sharedlog.FromNewest})
	}
	r.takeInTurn(sharedlog.Operator, snapshot.Operator, reading{next: sharedlog.FromNewest})
	r.cfg.Logger.Info().Int("servers", len(snapshot.Servers)).Bool("configuration", r.Catalog() != nil).Msg("adopted_from_box")
}
