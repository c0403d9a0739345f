// Package catalog holds the configuration that calls are routed by: routes by
// host and path prefix, backend services, organisations with their keys.
//
// A Catalog is a whole: it is built once from plain data, never changed, and
// replaced by a newer one at once. A call keeps the one that it began with.
package catalog

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind says what may be done with a call when its outcome is in doubt.
type Kind uint8

// Kinds of route.
const (
	// Repeatable calls may run more than once.
	Repeatable Kind = iota + 1
	// AtMostOnce calls run at most once.
	AtMostOnce
	// Stream answers come as a series of events.
	Stream
)

// Split sends a share of a route's calls to a service.
type Split struct {
	Service string
	Weight  int
}

// Route says how calls of a host and path prefix are treated.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a call is held.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is worth most.
	Objective time.Duration
	// Urgency is the rank among routes; 0 goes first.
	Urgency int
	// Splits name the services that calls go to, by weight; at least one.
	Splits []Split
	// MaxServers bounds the backend servers that one call may be sent to.
	MaxServers int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another runner after the last event.
	Resumable bool
	// Regions are those that calls may run in; none means all.
	Regions []string
}

// IsRepeatable reports whether a call may run a second time.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Service is a group of alike backend servers, or one store box.
type Service struct {
	Name string
	// ConnectionLimit bounds the connections to each server, of all boxes.
	ConnectionLimit int
	// ColdStart is how long a server is cold after its start, and ColdPerSecond how many calls a
	// second it bears then; zero is no bound.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is set for runners, Store for a store box.
	Engine *Engine
	Store  *Store
}

// Engine describes the runners of a service.
type Engine struct {
	// CapacityTokens is how much context a runner's memory takes.
	CapacityTokens int
	// BytesPerToken is what a token of kept context weighs.
	BytesPerToken int
}

// Store describes a store box.
type Store struct {
	Address        string
	Zone           string
	CapacityTokens int
	LinkMbps       float64
	// FirstByteLatency is the time that each move waits besides its transfer.
	FirstByteLatency time.Duration
}

// KeyHash is the SHA-256 of a key.
type KeyHash [sha256.Size]byte

// Organisation owns keys.
type Organisation struct {
	Name string
	// Keys are given as they are or by their hashes.
	Keys      []string
	KeyHashes []KeyHash
	// Isolated organisations share kept context with no other.
	Isolated bool
	// Urgency goes before that of the route, where it is set.
	Urgency *int
	// Regions are those that its calls may run in; none means all.
	Regions []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the longest time that the head of a call may take, IdleTimeout the
	// longest rest of a connection; zero where the configuration names none.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is the plain data of a Catalog.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// KeysRequired says that callers of routes that are not public need a key.
	KeysRequired bool
	Limits       Limits
}

// Catalog is one version of the configuration.
type Catalog struct {
	cfg      Config
	byHost   map[string][]*Route
	services map[string]*Service
	keys     map[KeyHash]*Organisation
}

// New checks the data and builds what look-ups need.
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
		return merry.Errorf("route %q: no kind", route.Name)
	}
	if len(route.Splits) == 0 {
		return merry.Errorf("route %q: no service", route.Name)
	}
	for _, split := range route.Splits {
		if c.services[split.Service] == nil {
			return merry.Errorf("route %q: no service %q", route.Name, split.Service)
		}
	}
	return nil
}

// Version gives the version, which rises with every change.
func (c *Catalog) Version() int64 { return c.cfg.Version }

// KeysRequired reports whether routes that are not public need a key.
func (c *Catalog) KeysRequired() bool { return c.cfg.KeysRequired }

// Limits gives the bounds of what callers may send.
func (c *Catalog) Limits() Limits { return c.cfg.Limits }

// Services gives all services; they are not to be changed.
func (c *Catalog) Services() []Service { return c.cfg.Services }

// Service finds a service by name, or gives nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Route finds the route of a host with the longest prefix that begins the path.
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

// Organisation finds the owner of a key, or gives nil. Keys are compared by
// hash, so the time that it takes tells nothing of them.
func (c *Catalog) Organisation(key string) *Organisation {
	return c.keys[sha256.Sum256([]byte(key))]
}

// PickService gives the service for a call, spread by its number over the weights.
func (r *Route) PickService(number uint64) string {
	total := 0
	for _, split := range r.Splits {
		total += max(split.Weight, 0)
	}
	if total == 0 {
		return r.Splits[0].Service
	}
	at := int(number % uint64(total))
	for _, split := range r.Splits {
		if at -= max(split.Weight, 0); at < 0 {
			return split.Service
		}
	}
	return r.Splits[0].Service
}
