// The messages between boxes and owners, and their conversion from and to queries of package fleet.

package places

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/placing"
	"github.com/cometlock/cometlock/internal/waitqueue"
)

// Request requests a place for a call. It has everything that an owner needs in order to choose the
// same server as the requesting box would with the owner's view of the load. Boxes of the version
// before queues had shares send it as an array (compatible.go).
type Request struct {
	// Box sends the request, for a call that arrived in Zone, and for servers in TargetZone.
	Box        string `msgpack:"b"`
	TargetZone string `msgpack:"o"`
	Zone       string `msgpack:"z"`
	Service    string `msgpack:"s"`
	Model      string `msgpack:"m"`
	// Exclude lists servers that were tried already.
	Exclude []string `msgpack:"x,omitempty"`
	// AffinityKey, TieBreaker, PrefillLimit, LateLimit, Tokens and Memory are those of placing.Query.
	AffinityKey  uint64  `msgpack:"h,omitempty"`
	TieBreaker   uint64  `msgpack:"p"`
	PrefillLimit float64 `msgpack:"r"`
	LateLimit    float64 `msgpack:"k,omitempty"`
	Tokens       int     `msgpack:"t"`
	Memory       int     `msgpack:"e"`
	// Versions describes the call for each version of the weights that may answer it.
	Versions []Version `msgpack:"v"`
	// Urgency is the call's rank in the queue, 0 first, and MaxWait is how long it may wait for
	// capacity.
	Urgency int           `msgpack:"u"`
	MaxWait time.Duration `msgpack:"w,omitempty"`
	// PrefillSamples are the samples that the box took of the zone's runners since its last
	// request.
	PrefillSamples []fleet.PrefillSample `msgpack:"g,omitempty"`
	// Organisation sends the call. Fingerprint identifies it when it is sent again, and MaxReturn is
	// the longest time after which it is; both are zero unless this is the last owner that gets a
	// request for it. Objective is the latency objective of its route.
	Organisation string        `msgpack:"n,omitempty"`
	Fingerprint  uint64        `msgpack:"f,omitempty"`
	MaxReturn    time.Duration `msgpack:"l,omitempty"`
	Objective    time.Duration `msgpack:"j,omitempty"`
	// Brief is that of placing.Query.
	Brief bool `msgpack:"y,omitempty"`
	// Software is the software version of the servers that may be chosen; nil allows all. Owners of the
	// previous version ignore it, so the box checks their choice.
	Software *string `msgpack:"c,omitempty"`
	// Preferred is set if the call need not be served by that version, so that it has no precedence. Owners of the
	// previous version ignore it.
	Preferred bool `msgpack:"d,omitempty"`
}

// isBound reports whether the call must be served by one software version.
func (r Request) isBound() bool { return r.Software != nil && !r.Preferred }

// Version describes a call for one version of the weights.
type Version struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double the size

	Weights int `msgpack:"w"`
	// Cost is the cost of an answer by this version, in milliseconds of waiting, and PrefillTokens
	// is the number of prompt tokens that a runner has to compute.
	Cost          float64 `msgpack:"c,omitempty"`
	PrefillTokens int     `msgpack:"r"`
	// FetchZone is the zone from which most of the prompt is fetched, and FetchTime is how long
	// that takes within the zone.
	FetchZone string        `msgpack:"z,omitempty"`
	FetchTime time.Duration `msgpack:"t,omitempty"`
}

// Response is the owner's answer to a Request.
type Response struct {
	// Server is the incarnation of the server for the call; empty if there was no capacity within
	// MaxWait.
	Server string `msgpack:"s,omitempty"`
	// NotOwner means that the receiver of the request doesn't consider itself the owner of the
	// servers.
	NotOwner bool `msgpack:"n,omitempty"`
	// ReturnAfter is when a refused call should be sent again; zero if the owner doesn't say.
	ReturnAfter time.Duration `msgpack:"r,omitempty"`
	// FullFor is for how long the owner need not be asked for calls of the same or lower rank that
	// require no less of a server. AboveShare restricts that to the call's organisation, which uses
	// more than its fair share.
	FullFor    time.Duration `msgpack:"f,omitempty"`
	AboveShare bool          `msgpack:"a,omitempty"`
}

// NewRequest converts a query of the fleet into a request to an owner. Everything that depends on
// the version of the weights is computed for the versions that servers hold.
func NewRequest(query fleet.Query, box string, versions []int) Request {
	request := Request{
		Box: box, Zone: query.Zone, Service: query.Service, Model: query.Model, Exclude: query.Exclude,
		AffinityKey: query.Load.AffinityKey, TieBreaker: query.Load.TieBreaker, PrefillLimit: query.Load.PrefillLimit, LateLimit: query.Load.LateLimit, Tokens: query.Load.Tokens, Memory: query.Load.Memory, Brief: query.Load.Brief,
	}
	for _, weights := range versions {
		cost, may := query.VersionCost(weights)
		if !may {
			continue
		}
		version := Version{Weights: weights, Cost: cost, PrefillTokens: query.PrefillWork(weights)}
		version.FetchZone, version.FetchTime = query.Fetch(weights)
		request.Versions = append(request.Versions, version)
	}
	return request
}

// version returns the description of the call for a version of the weights; nil if that version may
// not answer it.
func (r Request) version(weights int) *Version {
	at := slices.IndexFunc(r.Versions, func(v Version) bool { return v.Weights == weights })
	if at < 0 {
		return nil
	}
	return &r.Versions[at]
}

// query converts the request into a query of the owner's fleet, restricted to the servers of some
// zones. The owner's view of these servers has no lag, and it may use all of their headroom.
func (r Request) query(zoneAllowed func(zone string) bool) fleet.Query {
	return fleet.Query{
		Service: r.Service, Zone: r.Zone, Exclude: r.Exclude, Software: r.Software, Model: r.Model, ZoneAllowed: zoneAllowed,
		Load:         placing.Query{AffinityKey: r.AffinityKey, TieBreaker: r.TieBreaker, PrefillLimit: r.PrefillLimit, LateLimit: r.LateLimit, Tokens: r.Tokens, Memory: r.Memory, Brief: r.Brief, Bound: r.isBound()},
		OwnsHeadroom: func(string) bool { return true },
		VersionCost: func(weights int) (float64, bool) {
			if version := r.version(weights); version != nil {
				return version.Cost, true
			}
			return 0, false
		},
		PrefillWork: func(weights int) int {
			if version := r.version(weights); version != nil {
				return version.PrefillTokens
			}
			return r.Tokens
		},
		Fetch: func(weights int) (string, time.Duration) {
			if version := r.version(weights); version != nil {
				return version.FetchZone, version.FetchTime
			}
			return "", 0
		},
	}
}

// Demand returns what the call requires of a server. Calls that may run in different zones have
// different values of zones.
func (r Request) Demand(zones string) waitqueue.Demand {
	demand := waitqueue.Demand{Tokens: r.Tokens, Memory: r.Memory, PrefillLimit: r.PrefillLimit, LateLimit: r.LateLimit, Brief: r.Brief}
	class := xxhash.New()
	write := func(text string) {
		_, _ = class.WriteString(text) // never returns an error
		_, _ = class.Write([]byte{0})  // likewise
	}
	write(r.Service)
	write(r.Model)
	write(zones)
	for i, version := range r.Versions {
		write(strconv.Itoa(version.Weights))
		if i == 0 {
			demand.MinPrefill = version.PrefillTokens
		}
		demand.MinPrefill = min(demand.MinPrefill, version.PrefillTokens)
		demand.MaxPrefill = max(demand.MaxPrefill, version.PrefillTokens)
	}
	for _, excluded := range r.Exclude {
		write(excluded)
	}
	if r.Software != nil {
		write("software")
		write(*r.Software)
	}
	demand.Class = class.Sum64()
	return demand
}

// withDemand returns a request with another demand, for the same servers.
func (r Request) withDemand(demand waitqueue.Demand) Request {
	r.Tokens, r.Memory, r.PrefillLimit, r.LateLimit, r.Brief = demand.Tokens, demand.Memory, demand.PrefillLimit, demand.LateLimit, demand.Brief
	r.Versions = slices.Clone(r.Versions)
	for i := range r.Versions {
		r.Versions[i].PrefillTokens = demand.MaxPrefill
	}
	return r
}
