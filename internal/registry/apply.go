// Applying records: each stream's state decides what has changed, and the changes are passed on.

package registry

import (
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// apply applies records of a stream, which were read from the log or came from another box.
func (r *Registry) apply(stream sharedlog.Stream, records []sharedlog.Record, b batch) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.applyLocked(stream, records, b)
}

// applyLocked applies a batch and passes on what has changed. The caller holds applyMu. Only the
// stream's state decides what has changed: when the fleet compared records by itself, an old update
// could bring back a server that a full read no longer listed.
func (r *Registry) applyLocked(stream sharedlog.Stream, records []sharedlog.Record, b batch) {
	r.decode(stream, records, &b)
	r.mu.Lock()
	s := r.state(stream)
	before, restored := s.next, s.isRestored(b)
	changed := s.apply(b, func(record sharedlog.Record) (Rank, bool) { return r.cfg.Decoder.Rank(stream, record) })
	if len(s.held.keys) > 0 && s.held.until.IsZero() {
		s.held.until = boottime.Now().Add(r.holdTimeOf(stream))
	}
	r.logRestored(stream, s, before)
	r.cfg.Eras.Note(s.next)
	r.mu.Unlock()
	if len(changed) > 0 || b.full {
		r.streamsChanged.Broadcast()
	}
	switch stream {
	case sharedlog.Servers:
		r.applyServers(changed)
	case sharedlog.Boxes:
		r.applyBoxes(changed)
		if restored && r.cfg.OnBoxesRestored != nil {
			r.cfg.OnBoxesRestored(r.hasBox)
		}
	default:
		r.moveCatalog(records)
		r.applyDeclarations(b.records)
		r.applyEvacuations(changed)
	}
}

// applyBoxes passes on which boxes are new, have moved, or have left.
func (r *Registry) applyBoxes(changed []entry) {
	if r.cfg.OnBoxes == nil {
		return
	}
	records := make([]sharedlog.Record, len(changed))
	for i, next := range changed {
		records[i] = next.record
	}
	r.cfg.OnBoxes(records)
}

// decode adds records to a batch, and decodes those of servers. Other writers may add records to
// the registry: one that cannot be decoded names no server that may be used. The caller holds applyMu.
func (r *Registry) decode(stream sharedlog.Stream, records []sharedlog.Record, b *batch) {
	b.records = make([]decodedRecord, 0, len(records))
	for _, record := range records {
		next := decodedRecord{record: record}
		if stream == sharedlog.Servers {
			update, err := r.cfg.Decoder.Server(record)
			next.server, next.undecodable = update.Server, err != nil
			if next.server != nil {
				r.shared.share(next.server)
			}
			r.logUndecodable(record, err)
		}
		b.records = append(b.records, next)
	}
}

// logUndecodable logs a record that cannot be decoded, once until the key has a valid record again.
func (r *Registry) logUndecodable(record sharedlog.Record, err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	known := r.state(sharedlog.Servers).entries[record.Key].undecodable
	r.mu.Unlock()
	if !known {
		r.cfg.Logger.Error().Str("key", record.Key).EmbedObject(logposition.Logged(record.Offset)).Str("error", err.Error()).Msg("server_entry_invalid")
	}
}

// applyEvacuations passes on which zones are evacuated and which evacuations have ended. It uses
// the changed entries rather than the records, since a full read ends an evacuation by not listing
// it.
func (r *Registry) applyEvacuations(changed []entry) {
	for _, next := range changed {
		if change, found := r.cfg.Decoder.Evacuation(next.record); found {
			r.cfg.Fleet.ApplyEvacuation(change)
		}
	}
}

func (r *Registry) applyDeclarations(records []decodedRecord) {
	for _, next := range records {
		if next.outdated {
			continue
		}
		record := next.record
		declaration, err := r.cfg.Decoder.Declaration(record)
		switch {
		case err != nil:
			r.cfg.Logger.Error().Str("key", record.Key).EmbedObject(logposition.Logged(record.Offset)).Str("error", err.Error()).Msg("declaration_invalid")
		case declaration == nil:
		case declaration.Catalog != nil:
			r.applyCatalog(declaration.Catalog, record)
		case declaration.Weights != nil:
			r.applyWeights(*declaration.Weights, record.Offset)
		}
	}
}

// moveCatalog updates the position of the configuration in force, which has a new one if the log came back
// from a copy that includes it. The caller holds applyMu.
func (r *Registry) moveCatalog(records []sharedlog.Record) {
	for _, record := range records {
		if current := r.catalogRecord; record.Key == current.Key && sameValue(record, current) {
			r.catalogRecord.Offset = max(record.Offset, current.Offset)
		}
	}
}

// applyCatalog puts a configuration in force. An older version than the present one comes into force only
// if the log came back from a copy, and this box no longer holds the present one. The caller holds applyMu.
func (r *Registry) applyCatalog(next *catalog.Catalog, record sharedlog.Record) {
	ofLaterEra := logposition.Era(record.Offset) > logposition.Era(r.catalogRecord.Offset)
	if current := r.catalog.Load(); current != nil && next.Version() <= current.Version() && !ofLaterEra {
		return
	}
	r.catalog.Store(next)
	r.catalogRecord = record
	r.cfg.Logger.Info().Int64("version", next.Version()).EmbedObject(logposition.Logged(record.Offset)).Msg("configuration_in_force")
	if r.cfg.OnCatalog != nil {
		r.cfg.OnCatalog(next)
	}
}

func (r *Registry) applyServers(changed []entry) {
	if len(changed) == 0 {
		return
	}
	updates := make([]fleet.Update, len(changed))
	for i, next := range changed {
		updates[i] = fleet.Update{Key: next.record.Key, Offset: next.record.Offset, Server: next.server, Invalid: next.undecodable}
	}
	r.cfg.Fleet.Apply(updates)
}
