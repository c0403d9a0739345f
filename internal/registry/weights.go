// Which versions of weights were named, and when. A version was named after the last
// moment up to which a box had read all that operators declared. Of one that it finds
// when it starts it only knows that it may be old, until another box tells how old.

package registry

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// WeightsNamed says that a model is to be answered by a version of its weights.
type WeightsNamed struct {
	Model   string
	Version int
}

// NamedWeights is a version that was named for a model.
type NamedWeights struct {
	// Version is 0 where none was named.
	Version int
	// LearntAt is when this box learnt of it; it was named by then.
	LearntAt time.Time
	// NamedAfter is a moment by which it was not yet named, as late as is known; zero
	// when nothing is known: the box found it when it started.
	NamedAfter time.Time
}

// Found reports whether the version may have been named at any time.
func (n NamedWeights) Found() bool { return n.NamedAfter.IsZero() }

// Weights gives the newest version named for a model.
func (r *Registry) Weights(model string) NamedWeights {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest(model)
}

func (r *Registry) newest(model string) NamedWeights {
	if named := r.weights[model]; len(named) > 0 {
		return named[len(named)-1]
	}
	return NamedWeights{}
}

// OutdatedSince gives the first version that was named after the given one, if any.
func (r *Registry) OutdatedSince(model string, version int) (NamedWeights, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, named := range r.weights[model] {
		if named.Version > version {
			return named, true
		}
	}
	return NamedWeights{}, false
}

// Named gives the newest version named for each model.
func (r *Registry) Named() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := make(map[string]int, len(r.weights))
	for model := range r.weights {
		versions[model] = r.newest(model).Version
	}
	return versions
}

// Heard is a version that another box knows to be named.
type Heard struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	Version int `msgpack:"v"`
	// Age is the longest time since it was named, and Found says that the box does
	// not know one.
	Age   time.Duration `msgpack:"a"`
	Found bool          `msgpack:"f,omitempty"`
}

// Tell gives what this box knows to be named, for other boxes.
func (r *Registry) Tell() map[string][]Heard {
	r.mu.Lock()
	defer r.mu.Unlock()
	told := make(map[string][]Heard, len(r.weights))
	for model, versions := range r.weights {
		for _, named := range versions[max(len(versions)-versionsTold, 0):] {
			heard := Heard{Version: named.Version, Found: named.Found()}
			if !heard.Found {
				heard.Age = boottime.Since(named.NamedAfter)
			}
			told[model] = append(told[model], heard)
		}
	}
	return told
}

// Hear takes over what another box knew to be named at asOf: versions that are new
// here, and after when those were named that are known. A zero asOf means that the
// word may be old, and its ages say nothing.
func (r *Registry) Hear(told map[string][]Heard, asOf time.Time) {
	for model, versions := range told {
		for _, heard := range versions {
			dated := !heard.Found && !asOf.IsZero()
			if dated && r.date(model, heard.Version, asOf.Add(-heard.Age)) {
				continue
			}
			r.takeWeights(WeightsNamed{Model: model, Version: heard.Version}, heardOffset)
			if dated {
				r.date(model, heard.Version, asOf.Add(-heard.Age))
			}
		}
	}
}

// date takes over that a version was named after a moment: one that is known, or that
// this box missed before one that it found. It reports false when it is neither.
func (r *Registry) date(model string, version int, namedAfter time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := slices.Clone(r.weights[model])
	at, known := slices.BinarySearchFunc(versions, version, func(n NamedWeights, version int) int { return n.Version - version })
	switch {
	case known && !namedAfter.After(versions[at].NamedAfter):
		return true
	case known:
		found := versions[at].Found()
		versions[at].NamedAfter = namedAfter
		if found {
			r.cfg.Logger.Info().Str("model", model).Int("weights", version).Dur("age", boottime.Since(namedAfter)).Msg("weights_dated")
		}
	case at < len(versions) && versions[at].Found():
		versions = slices.Insert(versions, at, NamedWeights{Version: version, LearntAt: boottime.Now(), NamedAfter: namedAfter})
	default:
		return false
	}
	r.weights[model] = versions[max(len(versions)-versionsKept, 0):]
	return true
}

// versionsTold bounds the versions of a model that other boxes are told of; those
// before are too old to answer.
const versionsTold = 4

// versionsKept bounds the versions of a model that are remembered.
const versionsKept = 16

// heardOffset stands in logs for the offset of what another box told.
const heardOffset = -1

// NamedModels lists the models for which a version was named.
func (r *Registry) NamedModels() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	models := make([]string, 0, len(r.weights))
	for model := range r.weights {
		models = append(models, model)
	}
	return models
}

// takeWeights takes over a version that is newer than those known. It was named after
// the last moment up to which this box had read all that operators declared.
func (r *Registry) takeWeights(named WeightsNamed, offset int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if named.Version <= r.newest(named.Model).Version {
		return
	}
	kept := r.weights[named.Model]
	kept = kept[max(len(kept)-versionsKept+1, 0):]
	next := NamedWeights{Version: named.Version, LearntAt: boottime.Now(), NamedAfter: r.tail(sharedlog.Operator).readAt}
	r.weights[named.Model] = append(slices.Clone(kept), next)
	event := r.cfg.Logger.Info().Str("model", named.Model).Int("weights", named.Version).Int64("offset", offset).Bool("found", next.Found())
	if !next.Found() {
		event.Dur("age_at_most", boottime.Since(next.NamedAfter))
	}
	event.Msg("weights_named")
}
