// Writing the record at the box that is elected for it.

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
			_ = k.cfg.Observe() // it has to notice when the list of servers is out of date
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

// step writes the base versions if any of them changes. Nothing is read while they stay.
func (k *Keeper) step(ctx context.Context) error {
	seen := k.observe()
	if err := k.readOriginsEnd(ctx, seen); err != nil {
		return err
	}
	last, known := k.recent(unlimited)
	if known {
		if _, changed := nextTable(last.Table, seen); len(changed) == 0 && len(k.obsolete(last.Table, seen)) == 0 {
			return nil
		}
	}
	reading, err := k.Read(ctx, 0)
	if err != nil {
		return err
	}
	seen = k.observe()
	if err := k.readOriginsEnd(ctx, seen); err != nil {
		return err
	}
	table, changed := nextTable(reading.Table, seen)
	obsolete := k.obsolete(reading.Table, seen)
	if len(changed) == 0 && len(obsolete) == 0 {
		return nil
	}
	for _, service := range obsolete {
		delete(table, service)
	}
	value, err := Encode(table)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	position, err := k.cfg.Log.Append(call, sharedlog.BaseVersions, reading.end, sharedlog.Record{Key: recordKey, Value: value})
	if errors.Is(err, sharedlog.ErrConflict) {
		k.forget() // another box has written
		return nil
	}
	if err != nil {
		k.forget()
		return err
	}
	k.keep(Reading{Table: table, At: boottime.Now(), end: position + 1})
	for service, base := range changed {
		k.cfg.Logger.Info().Str("service", service).Str("software", base.Version).Bool("present", base.Present).EmbedObject(logposition.Logged(position)).Msg("base_version_changed")
	}
	if len(obsolete) > 0 {
		k.cfg.Logger.Info().Strs("services", obsolete).EmbedObject(logposition.Logged(position)).Msg("base_versions_dropped")
	}
	return nil
}

// obsolete returns the services in the table that have had no servers for forgetAfter. None has while the list of
// servers is out of date.
func (k *Keeper) obsolete(table Table, seen map[string]Observation) (services []string) {
	for service := range table {
		if len(seen) == 0 || len(seen[service].Remembered) > 0 {
			delete(k.absentSince, service)
			continue
		}
		since, isAbsent := k.absentSince[service]
		if !isAbsent {
			k.absentSince[service] = boottime.Now()
		}
		if isAbsent && boottime.Since(since) >= forgetAfter {
			services = append(services, service)
		}
	}
	return services
}

// readOriginsEnd reads where the stream of origins ends while services have their base versions alone. Other services,
// and boxes that start, go on writing to it.
func (k *Keeper) readOriginsEnd(ctx context.Context, seen map[string]Observation) error {
	last, _ := k.recent(unlimited)
	isDue := boottime.Since(k.originsReadAt) >= originsInterval
	var alone []string
	for service, observation := range seen {
		if !observation.isAlone(last.Table[service]) {
			delete(k.originsEnd, service)
			continue
		}
		_, isRead := k.originsEnd[service]
		isDue = isDue || !isRead
		alone = append(alone, service)
	}
	if len(alone) > 0 && isDue {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, end, err := k.cfg.Log.Bounds(call, sharedlog.Origins)
		if err != nil {
			return err
		}
		k.originsReadAt = boottime.Now()
		for _, service := range alone {
			k.originsEnd[service] = end
		}
	}
	for service, observation := range seen {
		observation.OriginsEnd = k.originsEnd[service]
		seen[service] = observation
	}
	return nil
}

// unlimited is the age of a reading that is never too old.
const unlimited = 1 << 62

// forget makes the next step read the log.
func (k *Keeper) forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.read.At = time.Time{}
}

// observe returns what this box knows of each service.
func (k *Keeper) observe() map[string]Observation {
	era, eraSeenAt := k.cfg.Eras.Newest()
	seen := k.cfg.Observe()
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, observation := range seen {
		observation.Era, observation.EraSeenFor = era, observation.ObservedFor
		if era > 0 {
			observation.EraSeenFor = boottime.Since(eraSeenAt)
		}
		if since, known := k.knownSince[service]; known {
			observation.KnownFor = boottime.Since(since)
		}
		seen[service] = observation
	}
	return seen
}

// nextTable returns the table that follows, and the base versions that change.
func nextTable(present Table, seen map[string]Observation) (next, changed Table) {
	next, changed = maps.Clone(present), Table{}
	for service, observation := range seen {
		var current *Base
		if base, there := present[service]; there {
			current = &base
		}
		if base, changes := Next(current, observation); changes {
			if current == nil || !current.isSameBase(base) {
				base.Since = boottime.TimeOfDay().Truncate(time.Millisecond) // as it will be read
			}
			next[service], changed[service] = base, base
		}
	}
	return next, changed
}
