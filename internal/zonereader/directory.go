// The directory of readers: a stream of the log with the newest reader of each zone. A box that
// starts finds its reader there with one short read, and gets the list of boxes, the configuration
// and the servers from it. The list itself has an entry for every box; if each of a thousand boxes
// that start together read it, they would read a million entries.
//
// An entry is a hint. Once a box has the list of boxes, it chooses its reader by the list alone. A
// box that finds no entry, or no reader at the address, reads the list from the log.
//
// When the whole system starts for the first time, the directory is empty. The boxes then look at
// different times, large boxes sooner, so that one box becomes the reader and the others find it.

package zonereader

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/safepack"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// lookUpTimeout bounds the read of the directory, and advertiseTimeout an append to it.
	lookUpTimeout    = 500 * time.Millisecond
	advertiseTimeout = 2 * time.Second
	// maxStartSpread bounds the time over which boxes look at the first start of the whole system,
	// and startSpreadPerCore is that time for a box with one core.
	maxStartSpread     = 2 * time.Second
	startSpreadPerCore = 300 * time.Millisecond
	// bootstrapAttempts and bootstrapPause define how often a starting box tries the reader of the
	// directory, which may be starting too.
	bootstrapAttempts = 5
	bootstrapPause    = 300 * time.Millisecond
	// advertisePause is the time between two entries of one box in one era of the log.
	advertisePause = 5 * time.Second
)

// readerEntry is the entry of a zone's reader; its key is the zone.
type readerEntry struct {
	Box     string `msgpack:"b"`
	Address string `msgpack:"a"`
}

// bootstrap follows the reader of the directory until the list of boxes is known.
func (m *Member) bootstrap(ctx context.Context) {
	if m.cfg.Log == nil || !m.cfg.Mechanisms.Enabled(mechanism.ZoneReaders) {
		return
	}
	if m.cfg.FirstSystemStart {
		waiting.For(ctx, rand.N(startSpread(m.cfg.Self.Cores)))
	}
	switch reader, found := m.lookUp(ctx); {
	case !found:
	case reader.Name == m.cfg.Self.Name && m.mayLackRecords():
		// This box gets the list first, and then the view of another box.
	case reader.Name == m.cfg.Self.Name:
		m.setRole(role{reader: true}) // the others will look for it here
	default:
		m.followUntilListed(ctx, reader)
	}
	if !m.cfg.BoxesKnown() {
		m.cfg.Registry.ReadStreamDirectly(sharedlog.Boxes)
	}
}

// startSpread returns the time within which a box looks at the first start of the whole system.
func startSpread(cores float64) time.Duration {
	if cores <= 0 {
		return startSpreadPerCore
	}
	return min(time.Duration(float64(startSpreadPerCore)/cores), maxStartSpread)
}

// followUntilListed follows a reader until this box knows the list of boxes and is to follow another
// one.
func (m *Member) followUntilListed(ctx context.Context, reader Box) {
	for range bootstrapAttempts {
		chosen := role{following: reader.Name}
		m.setRole(chosen)
		_, err := m.follow(ctx, reader, chosen)
		if err == nil || m.cfg.BoxesKnown() {
			return
		}
		m.cfg.Logger.Info().Str("reader", reader.Name).Str("error", err.Error()).Msg("reader_not_ready")
		if !waiting.For(ctx, bootstrapPause) {
			return
		}
	}
}

// lookUp returns the reader of this box's zone according to the directory, or another one if the
// zone has none. It may be this box.
func (m *Member) lookUp(ctx context.Context) (reader Box, found bool) {
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	page, err := m.cfg.Log.NewestPage(ctx, sharedlog.Readers, "")
	if err != nil {
		m.cfg.Logger.Warn().Str("error", err.Error()).Msg("readers_not_listed")
		return Box{}, false
	}
	m.cfg.Eras.Note(page.End)
	for _, record := range page.Records {
		var entry readerEntry
		if err := safepack.Unmarshal(record.Value, &entry); err != nil {
			m.cfg.Logger.Error().Str("key", record.Key).Str("error", err.Error()).Msg("reader_entry_invalid")
			continue
		}
		if ownZone := record.Key == m.cfg.Self.Zone; ownZone || !found {
			reader, found = Box{delegate.Box{Name: entry.Box, Zone: record.Key}, entry.Address}, true
		}
	}
	return reader, found
}

// LoopAdvertise enters this box into the directory whenever it becomes a reader, and again when the log
// came back from a copy, until ctx ends.
func (m *Member) LoopAdvertise(ctx context.Context) {
	for ctx.Err() == nil {
		wake, eraChanged := m.roleChanged.Chan(), m.cfg.Eras.Changed()
		if !m.needsEntry() {
			select {
			case <-wake:
			case <-eraChanged:
			case <-ctx.Done():
			}
			continue
		}
		m.advertise(ctx)
		waiting.ForOrSignal(ctx, advertisePause, eraChanged)
	}
}

// needsEntry reports whether this box is a reader without an entry in the directory.
func (m *Member) needsEntry() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	era, _ := m.cfg.Eras.Newest()
	return m.cfg.Log != nil && m.roleLogged && m.current.reader && (!m.advertised || m.advertisedEra < era)
}

func (m *Member) advertise(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, advertiseTimeout)
	defer cancel()
	value, err := msgpack.Marshal(readerEntry{Box: m.cfg.Self.Name, Address: m.cfg.Self.Address})
	position := int64(0)
	if err == nil {
		position, err = m.cfg.Log.Append(ctx, sharedlog.Readers, sharedlog.AnyEnd, sharedlog.Record{Key: m.cfg.Self.Zone, Value: value})
	}
	if err != nil {
		m.cfg.Logger.Warn().Str("error", err.Error()).Msg("reader_not_advertised")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advertised, m.advertisedEra = m.current.reader, logposition.Era(position)
}
