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
type WeightsDeclaration struct {
	Model   string
	Version int
}

// NamedWeights is a version that was named for a model.
type DeclaredWeights struct {
	// Version is 0 where none was named.
	Version int
	// LearntAt is when this box learnt of it; it was named by then.
	LearnedAt time.Time
	// NamedAfter is a moment by which it was not yet named, as late as is known; zero
	// when nothing is known: the box found it when it started.
	DeclaredAfter time.Time
}

// Found reports whether the version may have been named at any time.
func (n DeclaredWeights) Undated() bool { return n.DeclaredAfter.IsZero() }

// Weights gives the newest version named for a model.
func (r *Registry) Weights(model string) DeclaredWeights {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest(model)
}

func (r *Registry) newest(model string) DeclaredWeights {
	if named := r.weights[model]; len(named) > 0 {
		return named[len(named)-1]
	}
	return DeclaredWeights{}
}

// OutdatedSince gives the first version that was named after the given one, if any.
func (r *Registry) OutdatedSince(model string, version int) (DeclaredWeights, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, named := range r.weights[model] {
		if named.Version > version {
			return named, true
		}
	}
	return DeclaredWeights{}, false
}

// Named gives the newest version named for each model.
func (r *Registry) NewestVersions() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := make(map[string]int, len(r.weights))
	for model := range r.weights {
		versions[model] = r.newest(model).Version
	}
	return versions
}

// Heard is a version that another box knows to be named.
type PeerWeights struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	Version int `msgpack:"v"`
	// Age is the longest time since it was named, and Found says that the box does
	// not know one.
	Age     time.Duration `msgpack:"a"`
	Undated bool          `msgpack:"f,omitempty"`
}

// Tell gives what this box knows to be named, for other boxes.
func (r *Registry) WeightsForPeers() map[string][]PeerWeights {
	r.mu.Lock()
	defer r.mu.Unlock()
	told := make(map[string][]PeerWeights, len(r.weights))
	for model, versions := range r.weights {
		for _, named := range versions[max(len(versions)-versionsTold, 0):] {
			heard := PeerWeights{Version: named.Version, Undated: named.Undated()}
			if !heard.Undated {
				heard.Age = boottime.Since(named.DeclaredAfter)
			}
			told[model] = append(told[model], heard)
		}
	}
	return told
}

// Hear takes over what another box knew to be named at asOf: versions that are new
// here, and after when those were named that are known. A zero asOf means that the
// word may be old, and its ages say nothing.
func (r *Registry) MergeWeights(told map[string][]PeerWeights, asOf time.Time) {
	for model, versions := range told {
		for _, heard := range versions {
			dated := !heard.Undated && !asOf.IsZero()
			if dated && r.date(model, heard.Version, asOf.Add(-heard.Age)) {
				continue
			}
			r.takeWeights(WeightsDeclaration{Model: model, Version: heard.Version}, heardOffset)
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
	at, known := slices.BinarySearchFunc(versions, version, func(n DeclaredWeights, version int) int { return n.Version - version })
	switch {
	case known && !namedAfter.After(versions[at].DeclaredAfter):
		return true
	case known:
		found := versions[at].Undated()
		versions[at].DeclaredAfter = namedAfter
		if found {
			r.cfg.Logger.Info().Str("model", model).Int("weights", version).Dur("age", boottime.Since(namedAfter)).Msg("weights_dated")
		}
	case at < len(versions) && versions[at].Undated():
		versions = slices.Insert(versions, at, DeclaredWeights{Version: version, LearnedAt: boottime.Now(), DeclaredAfter: namedAfter})
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
func (r *Registry) DeclaredModels() []string {
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
func (r *Registry) takeWeights(named WeightsDeclaration, offset int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if named.Version <= r.newest(named.Model).Version {
		return
	}
	kept := r.weights[named.Model]
	kept = kept[max(len(kept)-versionsKept+1, 0):]
	next := DeclaredWeights{Version: named.Version, LearnedAt: boottime.Now(), DeclaredAfter: r.tail(sharedlog.Operator).readAt}
	r.weights[named.Model] = append(slices.Clone(kept), next)
	event := r.cfg.Logger.Info().Str("model", named.Model).Int("weights", named.Version).Int64("offset", offset).Bool("found", next.Undated())
	if !next.Undated() {
		event.Dur("age_at_most", boottime.Since(next.DeclaredAfter))
	}
	event.Msg("weights_named")
}
