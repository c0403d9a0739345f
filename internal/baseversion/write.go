// Writing the record at the elected box.

package baseversion

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Loop writes while this box is the writer, until ctx ends.
func (k *Keeper) Loop(ctx context.Context) {
	pause := checkInterval
	for ctx.Err() == nil {
		waiting.For(ctx, pause)
		if !k.cfg.IsWriter() {
			_ = k.cfg.Observe() // so that times in which the list of servers was out of date do not count as observed
			clear(k.originsEnd)
			clear(k.absentSince)
			continue
		}
		if err := k.step(ctx); err != nil && ctx.Err() == nil {
			k.cfg.Logger.Warn().Str("error", err.Error()).Msg("base_versions_not_written")
			pause = min(2*pause, maxPause)
			continue
		}
		pause = checkInterval
	}
}

// step writes the table if any base version changes. It does not read the record while none does.
func (k *Keeper) step(ctx context.Context) error {
	observations := k.observe()
	if err := k.readOriginsEnd(ctx, observations); err != nil {
		return err
	}
	last, known := k.recent(anyAge)
	if known {
		if _, changed := nextTable(last.Table, observations); len(changed) == 0 && len(k.obsolete(last.Table, observations)) == 0 {
			return nil
		}
	}
	reading, err := k.Read(ctx, 0)
	if err != nil {
		return err
	}
	observations = k.observe()
	if err := k.readOriginsEnd(ctx, observations); err != nil {
		return err
	}
	table, changed := nextTable(reading.Table, observations)
	obsolete := k.obsolete(reading.Table, observations)
	if len(changed) == 0 && len(obsolete) == 0 {
		return nil
	}
	for _, service := range obsolete {
		delete(table, service)
	}
	return k.write(ctx, reading.end, table, changed, obsolete)
}

// write appends a table, if the stream still ends at the given position, and logs what has changed. A conflict with the
// write of another box is no error: the next step reads the log.
func (k *Keeper) write(ctx context.Context, end int64, table, changed Table, obsolete []string) error {
	value, err := Encode(table)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	position, err := k.cfg.Log.Append(call, sharedlog.BaseVersions, end, sharedlog.Record{Key: recordKey, Value: value})
	if errors.Is(err, sharedlog.ErrConflict) {
		k.invalidate() // another box has written
		return nil
	}
	if err != nil {
		k.invalidate()
		return err
	}
	k.store(Reading{Table: table, At: boottime.Now(), end: position + 1})
	for service, base := range changed {
		k.cfg.Logger.Info().Str("service", service).Str("software", base.Version).Bool("present", base.Present).Interface("shares", base.Shares).EmbedObject(logposition.Logged(position)).Msg("base_version_changed")
	}
	if len(obsolete) > 0 {
		k.cfg.Logger.Info().Strs("services", obsolete).EmbedObject(logposition.Logged(position)).Msg("base_versions_dropped")
	}
	return nil
}

// obsolete returns the services in the table that have had no servers for dropAfter. The time starts again when there
// are no observations, since the list of servers is out of date then.
func (k *Keeper) obsolete(table Table, observations map[string]Observation) (services []string) {
	for service := range table {
		if len(observations) == 0 || len(observations[service].Remembered) > 0 {
			delete(k.absentSince, service)
			continue
		}
		since, isAbsent := k.absentSince[service]
		if !isAbsent {
			k.absentSince[service] = boottime.Now()
		}
		if isAbsent && boottime.Since(since) >= dropAfter {
			services = append(services, service)
		}
	}
	return services
}

// readOriginsEnd sets OriginsEnd of the services that have only their base versions. It reads the end every
// originsInterval, since the origins of other services, and those of streams that starting boxes record, move it.
func (k *Keeper) readOriginsEnd(ctx context.Context, observations map[string]Observation) error {
	last, _ := k.recent(anyAge)
	isDue := boottime.Since(k.originsReadAt) >= originsInterval
	var services []string
	for service, observation := range observations {
		if !observation.hasOnlyBase(last.Table[service]) {
			delete(k.originsEnd, service)
			continue
		}
		_, isRead := k.originsEnd[service]
		isDue = isDue || !isRead
		services = append(services, service)
	}
	if len(services) > 0 && isDue {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, end, err := k.cfg.Log.Bounds(call, sharedlog.Origins)
		if err != nil {
			return err
		}
		k.originsReadAt = boottime.Now()
		for _, service := range services {
			k.originsEnd[service] = end
		}
	}
	for service, observation := range observations {
		observation.OriginsEnd = k.originsEnd[service]
		observations[service] = observation
	}
	return nil
}

// anyAge is a maximum age that no reading exceeds.
const anyAge = 1 << 62

// invalidate makes the next step read the log.
func (k *Keeper) invalidate() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.read.At = time.Time{}
}

// observe returns the observations of this box by service, without OriginsEnd.
func (k *Keeper) observe() map[string]Observation {
	era, eraSeenAt := k.cfg.Eras.Newest()
	observations := k.cfg.Observe()
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, observation := range observations {
		observation.Era, observation.EraSeenFor = era, observation.ObservedFor
		if era > 0 {
			observation.EraSeenFor = boottime.Since(eraSeenAt)
		}
		if since, known := k.knownSince[service]; known {
			observation.KnownFor = boottime.Since(since)
		}
		observations[service] = observation
	}
	return observations
}

// nextTable returns the next table, and the base versions in it that have changed.
func nextTable(present Table, observations map[string]Observation) (next, changed Table) {
	next, changed = maps.Clone(present), Table{}
	for service, observation := range observations {
		var current *Base
		if base, there := present[service]; there {
			current = &base
		}
		if base, changes := NextAt(current, observation, boottime.TimeOfDay()); changes {
			next[service], changed[service] = base, base
		}
	}
	return next, changed
}
