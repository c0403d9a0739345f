// Which versions of weights were named, and when. A box that sees a version being
// named dates it itself; of one that it finds when it starts it only knows that it
// may be old, until another box tells how old.

package registry

import (
	"slices"
	"time"
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
	// LearntAt is when this box learnt of it.
	LearntAt time.Time
	// Found says that it may have been named long before: the box found it when it
	// started, or had not read the log for a while.
	Found bool
}

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
	Version int `msgpack:"v"`
	// Age is for how long the box has known it, and Found says that it may have
	// been named long before that.
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
			told[model] = append(told[model], Heard{named.Version, time.Since(named.LearntAt), named.Found})
		}
	}
	return told
}

// Hear takes over what another box knew to be named at asOf: versions that are new
// here, and how old those are that this box has only found. A zero asOf means that
// the word may be old.
func (r *Registry) Hear(told map[string][]Heard, asOf time.Time) {
	for model, versions := range told {
		for _, heard := range versions {
			if heard.Found || asOf.IsZero() {
				r.takeWeights(WeightsNamed{Model: model, Version: heard.Version}, heardOffset, true)
				continue
			}
			r.date(model, NamedWeights{Version: heard.Version, LearntAt: asOf.Add(-heard.Age)})
		}
	}
}

// date takes over a version of which another box saw when it was named: one that is
// new here, that this box has only found, or that it missed before one that it found.
func (r *Registry) date(model string, dated NamedWeights) {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := slices.Clone(r.weights[model])
	at, known := slices.BinarySearchFunc(versions, dated.Version, func(n NamedWeights, version int) int { return n.Version - version })
	switch {
	case known && versions[at].Found:
		versions[at] = dated
	case !known && (at == len(versions) || versions[at].Found):
		versions = slices.Insert(versions, at, dated)
	default:
		return
	}
	r.weights[model] = versions[max(len(versions)-versionsKept, 0):]
	r.cfg.Logger.Info().Str("model", model).Int("weights", dated.Version).Dur("age", time.Since(dated.LearntAt)).Msg("weights_dated")
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

func (r *Registry) takeWeights(named WeightsNamed, offset int64, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if named.Version <= r.newest(named.Model).Version {
		return
	}
	found = found || time.Since(r.operatorReadAt) > ReadFresh
	kept := r.weights[named.Model]
	kept = kept[max(len(kept)-versionsKept+1, 0):]
	r.weights[named.Model] = append(slices.Clone(kept), NamedWeights{named.Version, time.Now(), found})
	r.cfg.Logger.Info().Str("model", named.Model).Int("weights", named.Version).Int64("offset", offset).Bool("found", found).Msg("weights_named")
}
