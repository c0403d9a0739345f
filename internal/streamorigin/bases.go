// The base versions of services (package baseversion) as a box knows them, from the box that records for it.

package streamorigin

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// basesMaxAge is how old a table may be that a box passes on.
	basesMaxAge = 2 * time.Second
	// baseMaxAge is that of one service with several versions, in an answer on a stream without a record. The streams
	// that callers resume together share a read.
	baseMaxAge = 50 * time.Millisecond
	// basesInterval is the time between two requests for the base versions while a service has another version
	// than its base version. It leaves time for three tries within the lease.
	basesInterval = baseversion.LeaseTime / 4
)

// knownBases are the base versions that a box knows. Their age is counted from the read of the log.
type knownBases struct {
	table  baseversion.Table
	readAt time.Time
	// absentAt has when services of the table last had no servers. Their base versions may have been dropped since.
	absentAt map[string]time.Time
}

// of returns the base version of a service; known is false if it was read before the service last had no servers.
func (k *knownBases) of(service string) (base baseversion.Base, known bool) {
	base, known = k.table[service]
	absentAt, wasAbsent := k.absentAt[service]
	return base, known && (!wasAbsent || k.readAt.After(absentAt))
}

// wireBases is the wire form of the base versions of all services or of one, as the record in the log has them.
type wireBases struct {
	Table []byte        `msgpack:"t"`
	Age   time.Duration `msgpack:"a"`
}

// readAt returns when the log was read.
func (w *wireBases) readAt() time.Time { return boottime.Now().Add(-w.Age) }

// LoopBases keeps the base versions known until ctx ends. While each service has its base version alone, they are
// requested once only.
func (o *Origins) LoopBases(ctx context.Context) {
	o.awaitStart(ctx)
	for ctx.Err() == nil {
		o.noteAbsent()
		if o.needsBases() {
			o.refreshBases(ctx)
		}
		o.retryRecord(ctx)
		waiting.For(ctx, recheckInterval)
	}
}

// noteAbsent records which services of the table have no servers.
func (o *Origins) noteAbsent() {
	o.mu.Lock()
	bases := o.bases
	o.mu.Unlock()
	absent := map[string]time.Time{}
	for service := range bases.table {
		if at, wasAbsent := bases.absentAt[service]; wasAbsent {
			absent[service] = at
		}
		if len(o.cfg.Versions(service)) == 0 {
			absent[service] = boottime.Now()
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bases.absentAt = absent
}

// needsBases reports whether the base versions are to be requested again.
func (o *Origins) needsBases() bool {
	o.mu.Lock()
	bases := o.bases
	o.mu.Unlock()
	if bases.readAt.IsZero() {
		return true
	}
	isDue := boottime.Since(bases.readAt) >= basesInterval
	for _, service := range o.cfg.Services() {
		versions := o.cfg.Versions(service)
		base, known := bases.of(service)
		_, isInTable := bases.table[service]
		if len(versions) > 0 && isInTable && !known {
			return true // its servers are back, and all its streams are recorded until then
		}
		if isDue && (len(versions) > 1 || len(versions) == 1 && (!known || !base.IsOnly(versions[0]) || base.Era != o.cfg.LogEra())) {
			return true
		}
	}
	return false
}

// refreshBases requests the base versions from the box that records for this one.
func (o *Origins) refreshBases(ctx context.Context) {
	recorder, self := o.recorder()
	answer := response{}
	if self {
		answer.Bases = o.readBases(ctx)
	} else if err := o.client.Exchange(ctx, recorder.Address, &request{Bases: true}, &answer, recorderTimeout); err != nil {
		o.avoidRecorder(recorder)
	}
	if answer.Bases == nil {
		waiting.For(ctx, recheckInterval)
		return
	}
	o.keepBases(answer.Bases)
}

// keepBases keeps base versions that another box sent, unless they are older than those that are known. It returns
// false if they are invalid.
func (o *Origins) keepBases(received *wireBases) bool {
	table, err := o.decodeBases(received)
	if err != nil {
		return false
	}
	readAt := received.readAt()
	o.mu.Lock()
	defer o.mu.Unlock()
	if readAt.After(o.bases.readAt) {
		o.bases.table, o.bases.readAt = table, readAt
	}
	return true
}

// decodeBases returns base versions that another box sent.
func (o *Origins) decodeBases(received *wireBases) (baseversion.Table, error) {
	table, err := baseversion.Decode(received.Table)
	if err != nil {
		o.cfg.Logger.Error().Str("error", err.Error()).Msg("base_versions_invalid")
	}
	return table, err
}

// readBases returns the base versions of all services as the log has them, or as this box knows them if the log cannot be
// read; nil if it knows none. A box that starts while the log is away needs them to place new streams.
func (o *Origins) readBases(ctx context.Context) *wireBases {
	if o.cfg.Bases == nil {
		return nil
	}
	if reading, err := o.cfg.Bases.Read(ctx, basesMaxAge); err == nil {
		return o.encodeBases(reading.Table, reading.At)
	}
	o.mu.Lock()
	known := o.bases
	o.mu.Unlock()
	if known.readAt.IsZero() {
		return nil
	}
	return o.encodeBases(known.table, known.readAt)
}

// readBase returns the base version of one service, for a stream without a record. While there are several versions a
// box may have begun the stream under shares that are newer than the last reading.
func (o *Origins) readBase(ctx context.Context, service string) *wireBases {
	reading, err := o.cfg.Bases.Read(ctx, basesMaxAge)
	base, known := reading.Table[service]
	versions := o.cfg.Versions(service)
	if err == nil && !(known && len(versions) == 1 && base.IsOnly(versions[0])) {
		reading, err = o.cfg.Bases.Read(ctx, baseMaxAge)
		base, known = reading.Table[service]
	}
	switch {
	case err != nil:
		return nil
	case !known:
		return o.encodeBases(baseversion.Table{}, reading.At)
	default:
		return o.encodeBases(baseversion.Table{service: base}, reading.At)
	}
}

// encodeBases returns the wire form of a table that was read at a time; nil if it cannot be encoded.
func (o *Origins) encodeBases(table baseversion.Table, readAt time.Time) *wireBases {
	value, err := baseversion.Encode(table)
	if err != nil {
		o.cfg.Logger.Error().Str("error", err.Error()).Msg("base_versions_not_sent")
		return nil
	}
	return &wireBases{Table: value, Age: boottime.Since(readAt)}
}

// needsRecord reports whether a stream must have a record before its caller has an event. Without a record it would be
// resumed at its base version.
func (o *Origins) needsRecord(origin Origin) bool {
	base, isUsable := o.usableBase(origin.Service)
	return !isUsable || base.For(origin.Stream) != origin.Software
}

// usableBase returns the base version of a service. isUsable is false if all streams of the service need a record: there
// is no base version, or another one may have replaced it.
func (o *Origins) usableBase(service string) (base baseversion.Base, isUsable bool) {
	versions := o.cfg.Versions(service)
	o.mu.Lock()
	base, known := o.bases.of(service)
	isRecent := boottime.Since(o.bases.readAt) < baseversion.LeaseTime
	o.mu.Unlock()
	// Without a record of the service, its first base version may be one that this box has not seen.
	return base, known && base.Present && (len(versions) <= 1 || isRecent && base.Era == o.cfg.LogEra())
}
