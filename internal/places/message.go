// The messages between boxes and owners, and how they stand for questions to package fleet.

package places

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/placing"
)

// Question asks for a place for a call. It is all that an owner needs to know of the call, so
// that it chooses as the asker would if that one knew the owner's work.
type Request struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	// Box asks, for a call that it got in Zone, and for the servers of the zone Of.
	Box        string `msgpack:"b"`
	TargetZone string `msgpack:"o"`
	Zone       string `msgpack:"z"`
	Service    string `msgpack:"s"`
	Model      string `msgpack:"m"`
	// Exclude names servers that were tried already.
	Exclude []string `msgpack:"x,omitempty"`
	// Home, Spread, ReadLimit, Tokens and Memory are as in placing.Query.
	AffinityKey  uint64  `msgpack:"h,omitempty"`
	TieBreaker   uint64  `msgpack:"p"`
	PrefillLimit float64 `msgpack:"r"`
	Tokens       int     `msgpack:"t"`
	Memory       int     `msgpack:"e"`
	// Versions says what the call is under each version of weights that may answer it.
	Versions []Version `msgpack:"v"`
	// Urgency ranks the call among those that wait, 0 first, and Wait is how long it may wait
	// for room.
	Urgency int           `msgpack:"u"`
	MaxWait time.Duration `msgpack:"w,omitempty"`
	// Readings are what the box saw of the zone's runners since its last question.
	PrefillSamples []fleet.PrefillSample `msgpack:"g,omitempty"`
}

// Version is a call under a version of the weights.
type Version struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	Weights int `msgpack:"w"`
	// Cost is what an answer by it costs, in milliseconds of waiting, and Work the prompt
	// tokens that a runner reads.
	Cost          float64 `msgpack:"c,omitempty"`
	PrefillTokens int     `msgpack:"r"`
	// FetchZone is where most of the prompt is fetched from, which takes FetchTime there.
	FetchZone string        `msgpack:"z,omitempty"`
	FetchTime time.Duration `msgpack:"t,omitempty"`
}

// Answer gives a place.
type Response struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	// Server is where the call may go; empty when there was no room within the time that it
	// could wait.
	Server string `msgpack:"s,omitempty"`
	// NotOwner says that the box which was asked does not own the servers, by what it knows.
	NotOwner bool `msgpack:"n,omitempty"`
}

// Ask describes a question to the fleet for an owner: all that depends on the version of the
// weights is worked out for those that servers hold.
func NewRequest(query fleet.Query, box string, versions []int) Request {
	q := Request{
		Box: box, Zone: query.Zone, Service: query.Service, Model: query.Model, Exclude: query.Exclude,
		AffinityKey: query.Load.AffinityKey, TieBreaker: query.Load.TieBreaker, PrefillLimit: query.Load.PrefillLimit, Tokens: query.Load.Tokens, Memory: query.Load.Memory,
	}
	for _, weights := range versions {
		cost, may := query.VersionCost(weights)
		if !may {
			continue
		}
		version := Version{Weights: weights, Cost: cost, PrefillTokens: query.PrefillWork(weights)}
		version.FetchZone, version.FetchTime = query.Fetch(weights)
		q.Versions = append(q.Versions, version)
	}
	return q
}

// version finds the call under a version of the weights; nil when that may not answer.
func (q Request) version(weights int) *Version {
	at := slices.IndexFunc(q.Versions, func(v Version) bool { return v.Weights == weights })
	if at < 0 {
		return nil
	}
	return &q.Versions[at]
}

// query is the question as the owner's fleet is asked it, among the servers of some zones. What
// the owner knows of them has no age, and all of their headroom is its own to give.
func (q Request) query(in func(zone string) bool) fleet.Query {
	return fleet.Query{
		Service: q.Service, Zone: q.Zone, Exclude: q.Exclude, Model: q.Model, ZoneAllowed: in,
		Load:         placing.Query{AffinityKey: q.AffinityKey, TieBreaker: q.TieBreaker, PrefillLimit: q.PrefillLimit, Tokens: q.Tokens, Memory: q.Memory},
		OwnsHeadroom: func(string) bool { return true },
		VersionCost: func(weights int) (float64, bool) {
			if version := q.version(weights); version != nil {
				return version.Cost, true
			}
			return 0, false
		},
		PrefillWork: func(weights int) int {
			if version := q.version(weights); version != nil {
				return version.PrefillTokens
			}
			return q.Tokens
		},
		Fetch: func(weights int) (string, time.Duration) {
			if version := q.version(weights); version != nil {
				return version.FetchZone, version.FetchTime
			}
			return "", 0
		},
	}
}
