// Servers that are slow for a moment. Some work on a runner may be several times slower for less
// than a second, which neither its load nor its prefill cost shows. Its first events are late then,
// so it gets fewer calls until they aren't. A single box sees few first events of each runner, so it
// reports its samples to the owners that place calls there, as those of the prefill cost.

package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/mechanism"
)

const (
	// latenessWeight and meanLatenessWeight are the weights of the latest sample in the mean of a
	// server and in that of all servers of a service.
	latenessWeight     = 0.3
	meanLatenessWeight = 0.02
	// latenessDecay is the time constant with which a server's lateness decays without samples, so
	// that it is forgotten within two seconds.
	latenessDecay = 700 * time.Millisecond
	// maxLateness bounds a sample, in milliseconds. A call whose first event is later misses the
	// objective of any urgent route.
	maxLateness = 200.0
	// minLateness is the lateness, in milliseconds, compared with the mean of all servers, that
	// counts as none. Smaller differences occur by chance among equal servers.
	minLateness = 50.0
	// maxLatenessPrefill is the longest expected prefill time of a call that gives a sample. The
	// expected time of longer prompts is too inaccurate.
	maxLatenessPrefill = 300 * time.Millisecond
	// maxLatenessSamples bounds the samples that wait to be reported, and latenessSampleAge is the
	// time after which they are outdated.
	maxLatenessSamples = 64
	latenessSampleAge  = time.Second
)

// latenessSample is a sample that hasn't been reported yet.
type latenessSample struct {
	server *State
	millis float64
	at     time.Time
}

// learnLateness learns from the first event of an answer. The time for fetched parts isn't the
// server's, and cold servers are slow for another reason. The caller holds mu.
func (h *Hold) learnLateness(now time.Time) {
	f := h.fleet
	if h.weights == 0 || h.fetchesPart || h.cold || h.prefillTime > maxLatenessPrefill || !f.cfg.Mechanisms.Enabled(mechanism.Slots) {
		return
	}
	late := now.Sub(h.placedAt) - f.firstEventDelay - h.prefillTime
	sample := min(max(float64(late)/float64(time.Millisecond), 0), maxLateness)
	f.applyLateness(h.state, sample, now)
	if len(f.latenessSamples) == maxLatenessSamples {
		f.latenessSamples = slices.Delete(f.latenessSamples, 0, 1)
	}
	f.latenessSamples = append(f.latenessSamples, latenessSample{h.state, sample, now})
}

// applyLateness adds a sample of the lateness of a server, in milliseconds. The caller holds mu.
func (f *Fleet) applyLateness(state *State, sample float64, now time.Time) {
	sample = min(max(sample, 0), maxLateness)
	known := state.latenessNow(now)
	state.lateness, state.latenessAt = known+latenessWeight*(sample-known), now
	learned := f.useOf(state.Service)
	learned.lateness += meanLatenessWeight * (sample - learned.lateness)
}

// latenessNow returns the decayed lateness of the server.
func (s *State) latenessNow(now time.Time) float64 {
	if s.lateness == 0 {
		return 0
	}
	return s.lateness * math.Exp(-now.Sub(s.latenessAt).Seconds()/latenessDecay.Seconds())
}

// relativeLateness returns by how much first events at a server are later than at the others of its
// service. The caller holds mu.
func (f *Fleet) relativeLateness(state *State, now time.Time) float64 {
	if state.lateness <= minLateness || f.isCold(state, now) || !f.cfg.Mechanisms.Enabled(mechanism.Slots) {
		return 0
	}
	return max(state.latenessNow(now)-f.useOf(state.Service).lateness-minLateness, 0)
}

// takeLatenessSamples removes the samples of a zone's servers and the outdated ones, and returns the
// former. The caller holds mu.
func (f *Fleet) takeLatenessSamples(zone string, now time.Time) []PrefillSample {
	var taken []PrefillSample
	f.latenessSamples = slices.DeleteFunc(f.latenessSamples, func(sample latenessSample) bool {
		outdated := now.Sub(sample.at) > latenessSampleAge
		if sample.server.Zone == zone && !outdated {
			taken = append(taken, PrefillSample{Incarnation: sample.server.Incarnation, Cost: -1 - sample.millis})
		}
		return outdated || sample.server.Zone == zone
	})
	return taken
}
