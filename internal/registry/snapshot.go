// What a box read of the log, for one that starts while it cannot read the log. Such a
// box would refuse all calls, though the servers may all be well.

package registry

import (
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// Snapshot holds the newest record of each key, as another box read them.
type Snapshot struct {
	Operator []sharedlog.Record `msgpack:"o"`
	Servers  []sharedlog.Record `msgpack:"s"`
}

// remember keeps the newest record of each key of a stream, and what each says of its
// server in the servers' stream.
func (r *Registry) remember(stream sharedlog.Stream, page sharedlog.Page, servers map[string]*fleet.Server, whole bool) {
	r.mu.Lock()
	t := r.tail(stream)
	named := make(map[string]bool, len(page.Records))
	news := whole
	for _, record := range page.Records {
		named[record.Key] = true
		news = t.remember(record, servers[record.Key]) || news
	}
	if whole {
		t.forgetOthers(named, page.Next)
	}
	t.next = max(t.next, page.Next)
	t.forgetGone()
	r.mu.Unlock()
	if news {
		r.news.Send()
	}
}

// Lacks reports that this box has no configuration and cannot read the log. One that has
// just started and is about to read it lacks nothing.
func (r *Registry) Lacks() bool {
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
		r.takeServers(sharedlog.Page{Records: snapshot.Servers, Next: sharedlog.FromNewest}, false)
	}
	r.remember(sharedlog.Operator, sharedlog.Page{Records: snapshot.Operator, Next: sharedlog.FromNewest}, nil, false)
	r.takeDeclarations(snapshot.Operator)
	r.cfg.Logger.Info().Int("servers", len(snapshot.Servers)).Bool("configuration", r.Catalog() != nil).Msg("adopted_from_box")
}
