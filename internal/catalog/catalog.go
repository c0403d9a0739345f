// Package catalog is the routing table of the entry boxes: routes by host and path prefix, backend
// services, and organisations with their API keys.
//
// A Catalog is an immutable snapshot, built from plain data and replaced as a whole by a newer
// version. A call uses the version that was current when it arrived.
package catalog

import (
	"crypto/sha256"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind determines whether a call may be retried when its outcome is unknown.
type Kind uint8

// Kinds of route.
const (
	// Repeatable calls may run more than once.
	Repeatable Kind = iota + 1
	// AtMostOnce calls run at most once.
	AtMostOnce
	// Stream calls return a stream of server-sent events.
	Stream
)

// Split assigns a weighted share of a route's calls to a service.
type Split struct {
	Service string
	Weight  int
}

// Route holds the settings of the calls that match a host and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the total time of a call.
	Timeout time.Duration
	// Objective is the latency target for the response, or for the first event of a stream. A later
	// response is worth less to the caller.
	Objective time.Duration
	// Urgency orders calls of different routes; calls with the lowest value are served first.
	Urgency int
	// Splits lists the services of the route with their weights. It has at least one entry.
	Splits []Split
	// MaxServers bounds the number of backend servers to which one call may be sent.
	MaxServers int
	// Public routes accept calls without an API key.
	Public bool
	// Resumable streams may continue on another runner after the last event that was sent.
	Resumable bool
	// Regions lists the regions in which calls may run; if it is empty, all are allowed.
	Regions []string
}

// IsRepeatable reports whether a call may run a second time.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Service is a group of interchangeable backend servers, or one store box.
type Service struct {
	Name string
	// ConnectionLimit bounds the connections to each server, summed over all boxes.
	ConnectionLimit int
	// ColdStart is how long a server is cold after its start. ColdPerSecond bounds the calls per
	// second that it gets in that time; zero means no bound.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is set for runners, Store for a store box.
	Engine *Engine
	Store  *Store
}

// Engine describes the runners of a service.
type Engine struct {
	// CapacityTokens is the number of tokens that fit into a runner's KV cache.
	CapacityTokens int
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken int
}

// Store describes a store box.
type Store struct {
	Address        string
	Zone           string
	CapacityTokens int
	LinkMbps       float64
	// FirstByteLatency is the fixed delay of each transfer, in addition to the transfer time.
	FirstByteLatency time.Duration
}

// KeyHash is the SHA-256 hash of an API key.
type KeyHash [sha256.Size]byte

// Organisation is a customer, identified by its API keys.
type Organisation struct {
	Name string
	// Keys holds API keys in clear text, KeyHashes those that are configured by hash.
	Keys      []string
	KeyHashes []KeyHash
	// Isolated organisations share no KV cache with others.
	Isolated bool
	// Urgency, if set, overrides that of the route.
	Urgency *int
	// Regions lists the regions in which the organisation's calls may run; if it is empty, all are
	// allowed.
	Regions []string
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to receive the headers of a call, IdleTimeout the idle time of a
	// connection. Both are zero if the configuration sets none.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is the plain data from which a Catalog is built.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// KeysRequired requires an API key on routes that are not public.
	KeysRequired bool
	Limits       Limits
}

// Catalog is one version of the routing table.
type Catalog struct {
	cfg      Config
	byHost   map[string][]*Route
	services map[string]*Service
	keys     map[KeyHash]*Organisation
}

// New validates the configuration and builds the lookup tables.
func New(cfg Config) (*Catalog, error) {
	c := &Catalog{cfg: cfg, byHost: map[string][]*Route{}, services: map[string]*Service{}, keys: map[KeyHash]*Organisation{}}
	for i := range cfg.Services {
		c.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Routes {
		route := &cfg.Routes[i]
		if err := c.checkRoute(route); err != nil {
			return nil, err
		}
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range cfg.Organisations {
		owner := &cfg.Organisations[i]
		for _, key := range owner.Keys {
			c.keys[sha256.Sum256([]byte(key))] = owner
		}
		for _, hash := range owner.KeyHashes {
			c.keys[hash] = owner
		}
	}
	return c, nil
}

func (c *Catalog) checkRoute(route *Route) error {
	if route.Kind < Repeatable || route.Kind > Stream {
		return merry.Errorf("route %q: kind is missing or unknown", route.Name)
	}
	if len(route.Splits) == 0 {
		return merry.Errorf("route %q: no service is configured", route.Name)
	}
	for _, split := range route.Splits {
		if c.services[split.Service] == nil {
			return merry.Errorf("route %q: service %q is not configured", route.Name, split.Service)
		}
	}
	return nil
}

// Version returns the version number, which increases with every change.
func (c *Catalog) Version() int64 { return c.cfg.Version }

// KeysRequired reports whether routes that are not public require an API key.
func (c *Catalog) KeysRequired() bool { return c.cfg.KeysRequired }

// Limits returns the limits on what callers may send.
func (c *Catalog) Limits() Limits { return c.cfg.Limits }

// Services returns all services. The caller must not modify them.
func (c *Catalog) Services() []Service { return c.cfg.Services }

// Service returns the service with a name, or nil if there is none.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Route returns the route of a host with the longest matching path prefix, or nil if none matches.
func (c *Catalog) Route(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Organisation returns the owner of an API key, or nil if the key is unknown. Keys are looked up by
// hash, so that the timing of a lookup reveals nothing about them.
func (c *Catalog) Organisation(key string) *Organisation {
	return c.keys[sha256.Sum256([]byte(key))]
}

// HasService reports whether calls of the route may go to a service.
func (r *Route) HasService(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 }) || r.Splits[0].Service == service && r.totalWeight() == 0
}

// totalWeight returns the sum of the weights of the route's services.
func (r *Route) totalWeight() int {
	total := 0
	for _, split := range r.Splits {
		total += max(split.Weight, 0)
	}
	return total
}

// PickService selects a service for a call. Consecutive call numbers are distributed over the
// services in proportion to their weights.
func (r *Route) PickService(callNumber uint64) string {
	total := r.totalWeight()
	if total == 0 {
		return r.Splits[0].Service
	}
	position := int(callNumber % uint64(total))
	for _, split := range r.Splits {
		if position -= max(split.Weight, 0); position < 0 {
			return split.Service
		}
	}
	return r.Splits[0].Service
}

// ServiceOf selects a service for a stream, in proportion to the weights: the same one for the same hash, also after
// weights have changed unless its part has become smaller or has moved.
func (r *Route) ServiceOf(hash uint64) string {
	position, _ := bits.Mul64(hash, uint64(r.totalWeight()))
	return r.PickService(position)
}

// MeanObjective returns the mean latency target of the routes to a service, or zero if it has none.
func (c *Catalog) MeanObjective(service string) time.Duration {
	sum, count := time.Duration(0), 0
	for i := range c.cfg.Routes {
		if slices.ContainsFunc(c.cfg.Routes[i].Splits, func(s Split) bool { return s.Service == service }) {
			sum += c.cfg.Routes[i].Objective
			count++
		}
	}
	return sum / time.Duration(max(count, 1))
}
