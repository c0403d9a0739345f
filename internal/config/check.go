package config

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Defaults of optional settings.
const (
	DefaultBodyBytes              = 8 << 20
	DefaultQueueLength            = 4096
	DefaultKeyWindowSeconds       = 3600
	DefaultReviewRetentionSeconds = 24 * 3600
	DefaultFirstTokenTargetMillis = 310
	DefaultSlots                  = 16
	DefaultPrefillTokensPerSecond = 8000
	DefaultMaxPromptTokens        = 128 << 10
	DefaultParallelLoads          = 2
	DefaultKVBytesPerToken        = 64 << 10
	// MaxKeyWindowSeconds is the longest time for which claims of idempotency keys are stored.
	MaxKeyWindowSeconds = 2 * 3600
)

func (f *File) setDefaults() {
	setDefault(&f.Limits.BodyBytes, DefaultBodyBytes)
	setDefault(&f.Limits.QueueLength, DefaultQueueLength)
	setDefault(&f.Limits.KeyWindowSeconds, DefaultKeyWindowSeconds)
	setDefault(&f.Limits.ReviewRetentionSeconds, DefaultReviewRetentionSeconds)
	setDefault(&f.Objectives.FirstTokenTargetMillis, DefaultFirstTokenTargetMillis)
	setDefault(&f.Objectives.FirstTokenWeight, 1)
	setDefault(&f.Objectives.RecomputeWeight, 1)
	setDefault(&f.WeightStore.ParallelLoads, DefaultParallelLoads)
	for i := range f.Organisations {
		setDefault(&f.Organisations[i].Share, 1)
		setDefault(&f.Organisations[i].MaxInFlight, f.Limits.QueueLength)
		setDefault(&f.Organisations[i].Priority, PriorityNormal)
	}
	for i := range f.Models {
		setDefault(&f.Models[i].PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
		setDefault(&f.Models[i].MaxPromptTokens, DefaultMaxPromptTokens)
		setDefault(&f.Models[i].KVBytesPerToken, DefaultKVBytesPerToken)
	}
	for i := range f.BackendServers {
		if f.BackendServers[i].Role == RoleRunner {
			setDefault(&f.BackendServers[i].Slots, DefaultSlots)
		}
	}
	for i := range f.PlainServices {
		setDefault(&f.PlainServices[i].ConnectionLimit, DefaultConnectionLimit)
	}
	for i := range f.Routes {
		f.Routes[i].setDefaults()
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// sortLists sorts every list by name, so that files with the same content have the same digest.
func (f *File) sortLists() {
	slices.SortFunc(f.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.Organisations, func(a, b Organisation) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.Models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.BackendServers, func(a, b BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.Links, func(a, b Link) int { return cmp.Compare(a.name(), b.name()) })
	slices.SortFunc(f.PlainServices, func(a, b PlainService) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
}

func (l Link) name() string { return l.From + ">" + l.To }

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
}

// checker collects the faults of one file.
type checker struct {
	file   *File
	faults []Fault
	// These maps hold the index of each name in its list.
	zones, models, servers, services map[string]int
}

// check finds the faults that the YAML decoder does not detect.
func check(file *File) []Fault {
	c := &checker{file: file}
	c.checkGlobal()
	c.zones = indexNames(c, "zones", file.Zones, func(z Zone) string { return z.Name })
	c.models = indexNames(c, "models", file.Models, func(m Model) string { return m.Name })
	c.servers = indexNames(c, "backend_servers", file.BackendServers, func(s BackendServer) string { return s.Name })
	indexNames(c, "organisations", file.Organisations, func(o Organisation) string { return o.Name })
	c.services = indexNames(c, "plain_services", file.PlainServices, func(s PlainService) string { return s.Name })
	indexNames(c, "links", file.Links, Link.name)
	indexNames(c, "routes", file.Routes, func(r Route) string { return r.Name })
	c.checkOrganisations()
	c.checkModels()
	c.checkServers()
	c.checkLinks()
	c.checkServices()
	c.checkRoutes()
	return c.faults
}

func (c *checker) add(field, format string, args ...any) {
	c.faults = append(c.faults, Fault{Field: field, Message: fmt.Sprintf(format, args...)})
}

func indexNames[T any](c *checker, list string, items []T, name func(T) string) map[string]int {
	seen := make(map[string]int, len(items))
	for i, item := range items {
		field := fmt.Sprintf("%s[%d].name", list, i)
		value := name(item)
		if value == "" {
			c.add(field, "a name is needed")
			continue
		}
		if strings.ContainsAny(value, "/\n") {
			c.add(field, "%q holds a character that names may not have", value)
		}
		if first, ok := seen[value]; ok {
			c.add(field, "%q is already the name of %s[%d]", value, list, first)
			continue
		}
		seen[value] = i
	}
	return seen
}

func (c *checker) checkGlobal() {
	if c.file.Deployment == "" {
		c.add("deployment", "a name is needed")
	}
	if len(c.file.Zones) == 0 {
		c.add("zones", "at least one availability zone is needed")
	}
	if len(c.file.Organisations) == 0 {
		c.add("organisations", "at least one organisation is needed")
	}
	for _, number := range []struct {
		field string
		value float64
	}{
		{"limits.body_bytes", float64(c.file.Limits.BodyBytes)},
		{"limits.queue_length", float64(c.file.Limits.QueueLength)},
		{"limits.key_window_seconds", float64(c.file.Limits.KeyWindowSeconds)},
		{"limits.review_retention_seconds", float64(c.file.Limits.ReviewRetentionSeconds)},
		{"weight_store.parallel_loads", float64(c.file.WeightStore.ParallelLoads)},
		{"objectives.first_token_weight", c.file.Objectives.FirstTokenWeight},
		{"objectives.recompute_weight", c.file.Objectives.RecomputeWeight},
		{"objectives.first_token_target_ms", float64(c.file.Objectives.FirstTokenTargetMillis)},
	} {
		c.checkPositive(number.field, number.value)
	}
	if c.file.Limits.KeyWindowSeconds > MaxKeyWindowSeconds {
		c.add("limits.key_window_seconds", "must be at most %d, is %d", MaxKeyWindowSeconds, c.file.Limits.KeyWindowSeconds)
	}
}

func (c *checker) checkPositive(field string, value float64) {
	if value <= 0 {
		c.add(field, "must be above 0, is %v", value)
	}
}

func (c *checker) checkOrganisations() {
	owners := map[string]string{}
	for i, organisation := range c.file.Organisations {
		field := fmt.Sprintf("organisations[%d]", i)
		c.checkPositive(field+".share", float64(organisation.Share))
		c.checkPositive(field+".max_in_flight", float64(organisation.MaxInFlight))
		if !organisation.Priority.isValid() {
			c.add(field+".priority", "%q is not a priority", organisation.Priority)
		}
		if len(organisation.KeyHashes) == 0 {
			c.add(field+".key_hashes", "without a key nobody can call")
		}
		for k, hash := range organisation.KeyHashes {
			keyField := fmt.Sprintf("%s.key_hashes[%d]", field, k)
			if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 {
				c.add(keyField, "is not a SHA-256 in hexadecimal")
			}
			if owner, ok := owners[hash]; ok {
				c.add(keyField, "the same key belongs to %q", owner)
			}
			owners[hash] = organisation.Name
		}
	}
}

func (c *checker) checkModels() {
	for i, model := range c.file.Models {
		field := fmt.Sprintf("models[%d]", i)
		if model.Weights == "" {
			c.add(field+".weights", "a weight version is needed")
		}
		c.checkPositive(field+".max_prompt_tokens", float64(model.MaxPromptTokens))
		c.checkPositive(field+".prefill_tokens_per_second", model.PrefillTokensPerSecond)
		c.checkPositive(field+".kv_bytes_per_token", float64(model.KVBytesPerToken))
		served := slices.ContainsFunc(c.file.BackendServers, func(s BackendServer) bool {
			return (s.Role == RoleRunner || s.Role == RolePlainService) && slices.Contains(s.Models, model.Name)
		})
		if !served {
			c.add(field, "no runner holds %q", model.Name)
		}
	}
}

func (c *checker) checkServers() {
	addresses := map[string]string{}
	for i, server := range c.file.BackendServers {
		field := fmt.Sprintf("backend_servers[%d]", i)
		if _, ok := c.zones[server.Zone]; !ok {
			c.add(field+".zone", "there is no availability zone %q", server.Zone)
		}
		if _, err := netip.ParseAddrPort(server.Address); err != nil {
			c.add(field+".address", "%q is not an IP address with a port", server.Address)
		} else if owner, ok := addresses[server.Address]; ok {
			c.add(field+".address", "%s is already the address of %q", server.Address, owner)
		}
		addresses[server.Address] = server.Name
		c.checkRole(field, server)
	}
}

func (c *checker) checkRole(field string, server BackendServer) {
	switch server.Role {
	case RoleRunner:
		if len(server.Models) == 0 {
			c.add(field+".models", "a runner needs at least one model")
		}
		c.checkPositive(field+".slots", float64(server.Slots))
	case RoleStoreBox:
		c.checkPositive(field+".memory_bytes", float64(server.MemoryBytes))
	case RolePlainService:
	default:
		c.add(field+".role", "%q is not a role", server.Role)
	}
	for m, name := range server.Models {
		if _, ok := c.models[name]; !ok {
			c.add(fmt.Sprintf("%s.models[%d]", field, m), "there is no model %q", name)
		}
	}
}

func (c *checker) checkLinks() {
	for i, link := range c.file.Links {
		field := fmt.Sprintf("links[%d]", i)
		c.checkPositive(field+".bytes_per_second", float64(link.BytesPerSecond))
		c.checkLinkEndpoint(field+".from", link.From)
		c.checkLinkEndpoint(field+".to", link.To)
	}
}

func (c *checker) checkLinkEndpoint(field, name string) {
	_, isZone := c.zones[name]
	_, isServer := c.servers[name]
	if !isZone && !isServer {
		c.add(field, "there is no availability zone or backend server %q", name)
	}
}

func (c *checker) checkServices() {
	for i, service := range c.file.PlainServices {
		field := fmt.Sprintf("plain_services[%d]", i)
		if len(service.Servers) == 0 {
			c.add(field+".servers", "a plain service needs at least one backend server")
		}
		c.checkPositive(field+".connection_limit", float64(service.ConnectionLimit))
		if service.ContextTokens < 0 {
			c.add(field+".context_tokens", "must not be below 0, is %d", service.ContextTokens)
		}
		c.checkServersOf(field, service)
		c.checkNotRepeatable(field, service)
	}
}

func (c *checker) checkServersOf(field string, service PlainService) {
	for s, name := range service.Servers {
		serverField := fmt.Sprintf("%s.servers[%d]", field, s)
		index, ok := c.servers[name]
		if !ok {
			c.add(serverField, "there is no backend server %q", name)
		} else if c.file.BackendServers[index].Role != RolePlainService {
			c.add(serverField, "%q is not a plain service", name)
		} else if service.ContextTokens > 0 && len(c.file.BackendServers[index].Models) == 0 {
			c.add(serverField, "%q answers prompts and needs at least one model", name)
		}
	}
}

// checkNotRepeatable checks the patterns of a plain service's calls that must run at most once.
func (c *checker) checkNotRepeatable(field string, service PlainService) {
	for k, call := range service.NotRepeatable {
		callField := fmt.Sprintf("%s.not_repeatable[%d]", field, k)
		if call.Method == "" || call.Method != strings.ToUpper(call.Method) {
			c.add(callField+".method", "%q is not an HTTP method", call.Method)
		}
		if !strings.HasPrefix(call.Path, "/") {
			c.add(callField+".path", "%q does not begin with /", call.Path)
		}
	}
}
