// Routes assign calls to plain services by host and path prefix, and set how the calls are
// handled. They are additional to the paths that every deployment serves.

package config

import (
	"fmt"
	"strings"
)

// RouteKind is how a call may be retried when its outcome is unknown.
type RouteKind string

const (
	// RouteRepeatable is for calls that may run more than once.
	RouteRepeatable RouteKind = "repeatable"
	// RouteOnce is for calls that run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream is for calls whose responses are event streams.
	RouteStream RouteKind = "stream"
)

// Route configures the calls to a host and path prefix.
type Route struct {
	Name string `yaml:"name" json:"name"`
	// Host is compared without case and port; PathPrefix begins with a slash. If several routes
	// match a call, the one with the longest prefix is used.
	Host       string    `yaml:"host" json:"host"`
	PathPrefix string    `yaml:"path_prefix" json:"path_prefix"`
	Kind       RouteKind `yaml:"kind" json:"kind" jsonschema:"enum=repeatable,enum=once,enum=stream"`
	// Splits distribute the calls over plain services by weight.
	Splits []Split `yaml:"splits" json:"splits"`
	// TimeLimitMillis bounds the time of a call, in milliseconds.
	TimeLimitMillis int `yaml:"time_limit_ms,omitempty" json:"time_limit_ms,omitempty" jsonschema:"description=Longest time in milliseconds that a call is held."`
	// ObjectiveMillis is the target for the time to the response, or to its first event, in
	// milliseconds.
	ObjectiveMillis int `yaml:"objective_ms,omitempty" json:"objective_ms,omitempty" jsonschema:"description=Wanted time in milliseconds to the answer or its first event."`
	// MaxServers bounds the backend servers that one call may be sent to.
	MaxServers int `yaml:"max_servers,omitempty" json:"max_servers,omitempty" jsonschema:"description=Backend servers that one call may be sent to."`
	// Priority is the priority of calls to servers that answer prompts. The organisation's
	// priority overrides it, unless that is normal.
	Priority Priority `yaml:"priority,omitempty" json:"priority,omitempty" jsonschema:"enum=instant,enum=normal,enum=review"`
	// Public means that callers need no API key.
	Public bool `yaml:"public,omitempty" json:"public,omitempty"`
	// Resumable means that a stream may continue at another server after its last event.
	Resumable bool `yaml:"resumable,omitempty" json:"resumable,omitempty"`
}

// Split assigns a share of a route's calls to a plain service.
type Split struct {
	Service string `yaml:"service" json:"service"`
	Weight  int    `yaml:"weight" json:"weight"`
}

// Defaults of routes and of their plain services.
const (
	// DefaultTimeLimitMillis is a common timeout of web clients.
	DefaultTimeLimitMillis = 30_000
	// DefaultObjectiveMillis is one second, the delay after which people notice that they wait.
	DefaultObjectiveMillis = 1000
	// DefaultMaxServers allows one more server than the first.
	DefaultMaxServers = 2
	// DefaultSplitWeight gives equal shares to splits without a weight.
	DefaultSplitWeight = 1
	// DefaultConnectionLimit is at most what common web servers accept by default.
	DefaultConnectionLimit = 256
)

func (r *Route) setDefaults() {
	setDefault(&r.TimeLimitMillis, DefaultTimeLimitMillis)
	setDefault(&r.ObjectiveMillis, DefaultObjectiveMillis)
	setDefault(&r.MaxServers, DefaultMaxServers)
	setDefault(&r.Priority, PriorityNormal)
	for i := range r.Splits {
		setDefault(&r.Splits[i].Weight, DefaultSplitWeight)
	}
}

// checkRoutes checks the hosts and prefixes of the routes, and that no two routes match the
// same calls.
func (c *checker) checkRoutes() {
	matches := map[string]string{}
	for i, route := range c.file.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		if route.Host == "" || strings.ContainsAny(route.Host, "/: \t") {
			c.add(field+".host", "%q is not the name of a host without a port", route.Host)
		}
		if !strings.HasPrefix(route.PathPrefix, "/") {
			c.add(field+".path_prefix", "%q does not begin with /", route.PathPrefix)
		}
		match := strings.ToLower(route.Host) + route.PathPrefix
		if other, taken := matches[match]; taken {
			c.add(field+".path_prefix", "%s is already the place of %q", match, other)
		}
		matches[match] = route.Name
		c.checkTreatment(field, route)
		c.checkSplits(field, route)
	}
}

// checkTreatment checks the settings for the calls of a route.
func (c *checker) checkTreatment(field string, route Route) {
	switch route.Kind {
	case RouteRepeatable, RouteOnce, RouteStream:
	default:
		c.add(field+".kind", "%q is not repeatable, once or stream", route.Kind)
	}
	if route.Resumable && route.Kind != RouteStream {
		c.add(field+".resumable", "only a stream can be resumed")
	}
	if !route.Priority.isValid() {
		c.add(field+".priority", "%q is not a priority", route.Priority)
	}
	c.checkPositive(field+".time_limit_ms", float64(route.TimeLimitMillis))
	c.checkPositive(field+".objective_ms", float64(route.ObjectiveMillis))
	c.checkPositive(field+".max_servers", float64(route.MaxServers))
}

// checkSplits checks the plain services of a route.
func (c *checker) checkSplits(field string, route Route) {
	if len(route.Splits) == 0 {
		c.add(field+".splits", "a route needs at least one plain service")
	}
	for s, split := range route.Splits {
		splitField := fmt.Sprintf("%s.splits[%d]", field, s)
		c.checkPositive(splitField+".weight", float64(split.Weight))
		if _, known := c.services[split.Service]; !known {
			c.add(splitField+".service", "there is no plain service %q", split.Service)
		}
	}
}
