// Routes: which calls go to which services by host and path prefix, and how each is
// treated. They stand beside the paths that every deployment has.

package config

import (
	"fmt"
	"strings"
)

// RouteKind says what may be done with a call when its outcome is in doubt.
type RouteKind string

const (
	// RouteRepeatable is for calls that may run more than once.
	RouteRepeatable RouteKind = "repeatable"
	// RouteOnce is for calls that run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream is for calls whose answers are series of events.
	RouteStream RouteKind = "stream"
)

// Route says how calls of a host and path prefix are treated.
type Route struct {
	Name string `yaml:"name" json:"name"`
	// Host is compared without case and port; PathPrefix begins with a slash. Of
	// several routes the one with the longest prefix takes a call.
	Host       string    `yaml:"host" json:"host"`
	PathPrefix string    `yaml:"path_prefix" json:"path_prefix"`
	Kind       RouteKind `yaml:"kind" json:"kind" jsonschema:"enum=repeatable,enum=once,enum=stream"`
	// Splits name the plain services that calls go to, by weight.
	Splits []Split `yaml:"splits" json:"splits"`
	// TimeLimitMillis is the longest time that a call is held.
	TimeLimitMillis int `yaml:"time_limit_ms,omitempty" json:"time_limit_ms,omitempty" jsonschema:"description=Longest time in milliseconds that a call is held."`
	// ObjectiveMillis is the wanted time to the answer, or to the first event.
	ObjectiveMillis int `yaml:"objective_ms,omitempty" json:"objective_ms,omitempty" jsonschema:"description=Wanted time in milliseconds to the answer or its first event."`
	// MaxServers bounds the backend servers that one call may be sent to.
	MaxServers int `yaml:"max_servers,omitempty" json:"max_servers,omitempty" jsonschema:"description=Backend servers that one call may be sent to."`
	// Priority orders calls at servers that answer prompts. That of the organisation
	// goes before it, unless that is normal.
	Priority Priority `yaml:"priority,omitempty" json:"priority,omitempty" jsonschema:"enum=instant,enum=normal,enum=review"`
	// Public routes need no key.
	Public bool `yaml:"public,omitempty" json:"public,omitempty"`
	// Resumable streams may go on at another server after the last event.
	Resumable bool `yaml:"resumable,omitempty" json:"resumable,omitempty"`
}

// Split sends a share of a route's calls to a plain service.
type Split struct {
	Service string `yaml:"service" json:"service"`
	Weight  int    `yaml:"weight" json:"weight"`
}

// Defaults of routes and of the plain services that they lead to.
const (
	// DefaultTimeLimitMillis is what callers of web services commonly wait.
	DefaultTimeLimitMillis = 30_000
	// DefaultObjectiveMillis is a second, after which people notice that they wait.
	DefaultObjectiveMillis = 1000
	// DefaultMaxServers lets a call go to one more server than the first.
	DefaultMaxServers = 2
	// DefaultSplitWeight makes splits without a weight alike.
	DefaultSplitWeight = 1
	// DefaultConnectionLimit is what common web servers take by default or more.
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

// checkRoutes checks which calls the routes take, and that no two take the same.
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

// checkTreatment checks how a route treats its calls.
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

// checkSplits checks where a route's calls go.
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
