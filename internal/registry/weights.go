// Which weight versions operators declared for each model, and when. A version was declared after
// the last moment up to which a box knew all records of the operators' stream. A box that finds a
// version at its start only knows that it may be old, until another box sends its age.

package registry

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// WeightsDeclaration declares the version of a model's weights that is to serve it.
type WeightsDeclaration struct {
	Model   string
	Version int
}

// DeclaredWeights is a version that was declared for a model.
type DeclaredWeights struct {
	// Version is 0 where none was declared.
	Version int
	// LearnedAt is when this box learned of the version, which was declared by then.
	LearnedAt time.Time
	// DeclaredAfter is the latest moment at which the version is known not to have been declared
	// yet. It is zero when there is none, since the box found the version at its start.
	DeclaredAfter time.Time
}

// Undated reports whether the version may have been declared at any time in the past.
func (w DeclaredWeights) Undated() bool { return w.DeclaredAfter.IsZero() }

// Weights returns the newest version declared for a model.
func (r *Registry) Weights(model string) DeclaredWeights {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestWeights(model)
}

func (r *Registry) newestWeights(model string) DeclaredWeights {
	if versions := r.weights[model]; len(versions) > 0 {
		return versions[len(versions)-1]
	}
	return DeclaredWeights{}
}

// OutdatedSince returns the first version that was declared after the given one, if any.
func (r *Registry) OutdatedSince(model string, version int) (DeclaredWeights, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, declared := range r.weights[model] {
		if declared.Version > version {
			return declared, true
		}
	}
	return DeclaredWeights{}, false
}

// NewestVersions returns the newest version declared for each model.
func (r *Registry) NewestVersions() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := make(map[string]int, len(r.weights))
	for model := range r.weights {
		versions[model] = r.newestWeights(model).Version
	}
	return versions
}

// PeerWeights is a declared version as boxes send it to each other.
type PeerWeights struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double its size

	Version int `msgpack:"v"`
	// Age is the longest possible time since the declaration, and Undated means that the sender has
	// no such bound.
	Age     time.Duration `msgpack:"a"`
	Undated bool          `msgpack:"f,omitempty"`
}

// WeightsForPeers returns the newest versions that this box knows to be declared, for other boxes.
func (r *Registry) WeightsForPeers() map[string][]PeerWeights {
	r.mu.Lock()
	defer r.mu.Unlock()
	exported := make(map[string][]PeerWeights, len(r.weights))
	for model, versions := range r.weights {
		for _, declared := range versions[max(len(versions)-maxVersionsSent, 0):] {
			next := PeerWeights{Version: declared.Version, Undated: declared.Undated()}
			if !next.Undated {
				next.Age = boottime.Since(declared.DeclaredAfter)
			}
			exported[model] = append(exported[model], next)
		}
	}
	return exported
}

// MergeWeights adds the versions that another box knew to be declared at asOf, and narrows when
// known ones were declared. A zero asOf means that the message may be old, so that its ages are not
// used.
func (r *Registry) MergeWeights(peer map[string][]PeerWeights, asOf time.Time) {
	for model, versions := range peer {
		for _, next := range versions {
			dated := !next.Undated && !asOf.IsZero()
			if dated && r.date(model, next.Version, asOf.Add(-next.Age)) {
				continue
			}
			r.applyWeights(WeightsDeclaration{Model: model, Version: next.Version}, peerOffset)
			if dated {
				r.date(model, next.Version, asOf.Add(-next.Age))
			}
		}
	}
}

// date records that a version was declared after a moment. This has an effect for a known version,
// and for one that this box missed before the version that it found at its start. It returns false
// for any other version.
func (r *Registry) date(model string, version int, declaredAfter time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := slices.Clone(r.weights[model])
	index, known := slices.BinarySearchFunc(versions, version, func(w DeclaredWeights, version int) int { return w.Version - version })
	switch {
	case known && !declaredAfter.After(versions[index].DeclaredAfter):
		return true
	case known:
		undated := versions[index].Undated()
		versions[index].DeclaredAfter = declaredAfter
		if undated {
			r.cfg.Logger.Info().Str("model", model).Int("weights", version).Dur("age", boottime.Since(declaredAfter)).Msg("weights_dated")
		}
	case index < len(versions) && versions[index].Undated():
		versions = slices.Insert(versions, index, DeclaredWeights{Version: version, LearnedAt: boottime.Now(), DeclaredAfter: declaredAfter})
	default:
		return false
	}
	r.weights[model] = versions[max(len(versions)-maxVersions, 0):]
	return true
}

// maxVersionsSent bounds the versions of a model that are sent to other boxes; earlier ones are too
// old to serve a call.
const maxVersionsSent = 4

// maxVersions bounds the versions of a model that are remembered.
const maxVersions = 16

// peerOffset is logged in place of an offset for versions that another box sent.
const peerOffset = -1

// DeclaredModels lists the models for which a version was declared.
func (r *Registry) DeclaredModels() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	models := make([]string, 0, len(r.weights))
	for model := range r.weights {
		models = append(models, model)
	}
	return models
}

// applyWeights adds a version that is newer than the known ones. It was declared after the last
// moment up to which this box knew all records of the operators' stream.
func (r *Registry) applyWeights(declared WeightsDeclaration, offset int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if declared.Version <= r.newestWeights(declared.Model).Version {
		return
	}
	versions := r.weights[declared.Model]
	versions = versions[max(len(versions)-maxVersions+1, 0):]
	next := DeclaredWeights{Version: declared.Version, LearnedAt: boottime.Now(), DeclaredAfter: r.state(sharedlog.Operator).readAt}
	r.weights[declared.Model] = append(slices.Clone(versions), next)
	event := r.cfg.Logger.Info().Str("model", declared.Model).Int("weights", declared.Version).EmbedObject(logposition.Logged(offset)).Bool("found", next.Undated())
	if !next.Undated() {
		event.Dur("age_at_most", boottime.Since(next.DeclaredAfter))
	}
	event.Msg("weights_named")
}
