// Samples of the lateness of fetches in messages between boxes.

package partindex

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/boottime"
)

const (
	// MaxLinkSamples bounds the samples in a message.
	MaxLinkSamples = 32
	// ageUnit and lateUnit are the units of a sample on the wire.
	ageUnit  = 20 * time.Millisecond
	lateUnit = 10 * time.Millisecond
	// probeStarted is the value of Late for a probe whose result is not known yet.
	probeStarted = 255
)

// LinkSample is a sample of the lateness of fetches from a store box, in a message between boxes.
type LinkSample struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double the size

	// Store is a hash of the name of the store box.
	Store uint32 `msgpack:"s"`
	// ID has a hash of the box that measured it, and below that a number for the call.
	ID uint16 `msgpack:"i"`
	// Age is in units of 20 ms, rounded up, and Late in units of 10 ms; 255 means that a probe has
	// started.
	Age  uint8 `msgpack:"a"`
	Late uint8 `msgpack:"l"`
}

// StoreHash returns the hash that stands for a store box in a LinkSample.
func StoreHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// LinkSamplesSince returns samples that were added after a position, at most MaxLinkSamples, and the
// position after them. passOn selects the samples of other boxes by the box whose message contained
// them.
func (x *Index) LinkSamplesSince(since uint64, passOn func(via string) bool) (samples []LinkSample, position uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := boottime.Now()
	type ranked struct {
		LinkSample
		rank int // how many later ones there are of the store box
	}
	var found []ranked
	for _, s := range x.stores {
		for i, sample := range s.shared.samples {
			age := now.Sub(sample.at)
			if sample.sequence <= since || age > sampleAge || sample.via != "" && !passOn(sample.via) {
				continue
			}
			found = append(found, ranked{sample.onWire(s.name, age), len(s.shared.samples) - i})
		}
	}
	if len(found) > MaxLinkSamples {
		slices.SortStableFunc(found, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.Late, a.Late)) })
		found = found[:MaxLinkSamples]
	}
	for _, f := range found {
		samples = append(samples, f.LinkSample)
	}
	return samples, x.sampleSequence
}

func (l linkSample) onWire(store string, age time.Duration) LinkSample {
	sent := LinkSample{Store: StoreHash(store), ID: l.id, Age: uint8((age + ageUnit - 1) / ageUnit), Late: probeStarted}
	if !l.probe {
		sent.Late = uint8(min(l.late/lateUnit, probeStarted-1))
	}
	return sent
}

// MergeLinkSamples adds the samples in a message of another box.
func (x *Index) MergeLinkSamples(via string, samples []LinkSample) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.sharesLateness() {
		return
	}
	now := boottime.Now()
	for _, received := range samples[:min(len(samples), MaxLinkSamples)] {
		age := time.Duration(received.Age) * ageUnit
		at := slices.IndexFunc(x.stores, func(s *store) bool { return StoreHash(s.name) == received.Store })
		if at < 0 || age > sampleAge {
			continue
		}
		x.mergeSample(x.stores[at], linkSample{
			id: received.ID, at: now.Add(-age), late: time.Duration(received.Late) * lateUnit, probe: received.Late == probeStarted, via: via,
		}, now)
	}
}

// mergeSample adds a sample of another box. The caller holds mu.
func (x *Index) mergeSample(s *store, sample linkSample, now time.Time) {
	if !x.addSample(s, sample, now) {
		return
	}
	if sample.probe {
		if sample.at.After(s.lateness.probedAt) {
			s.lateness.probedAt = sample.at
		}
		return
	}
	x.judge(s, sample, now)
	x.reportChange(s, SpeedChange{Late: sample.late, ReportedBy: sample.via}, now)
}
