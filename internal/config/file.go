// Package config defines the declarative configuration file of a cometlock deployment.
//
// A file is parsed, checked and applied as a whole. Parsing lists every fault with its line, so
// that operators can fix all of them at once, and a file with a fault has no effect. For the
// log, the file is split into entries (one for each organisation, model, backend server, …),
// since a change affects few of them: with 10,000 organisations the file is over a megabyte,
// while a typical change is a few hundred bytes.
package config

import "slices"

// Role is the function of a backend server.
type Role string

const (
	// RoleRunner is a server that runs a model engine.
	RoleRunner Role = "runner"
	// RoleStoreBox is a server that stores context in memory and on disk.
	RoleStoreBox Role = "store-box"
	// RolePlainService is an HTTP server that is not a model engine.
	RolePlainService Role = "plain-service"
)

// Priority orders the requests of all organisations; PriorityInstant is the highest.
type Priority string

const (
	// PriorityInstant is for responses that a person waits for.
	PriorityInstant Priority = "instant"
	// PriorityNormal is the default.
	PriorityNormal Priority = "normal"
	// PriorityReview is for requests that can wait.
	PriorityReview Priority = "review"
)

// Priorities returns all priorities, the highest first.
func Priorities() []Priority { return []Priority{PriorityInstant, PriorityNormal, PriorityReview} }

func (p Priority) isValid() bool { return slices.Contains(Priorities(), p) }

// File is the whole declarative configuration of one deployment.
type File struct {
	Deployment     string          `yaml:"deployment" json:"deployment" jsonschema:"description=Name of the deployment."`
	Objectives     Objectives      `yaml:"objectives" json:"objectives"`
	Limits         Limits          `yaml:"limits" json:"limits"`
	WeightStore    WeightStore     `yaml:"weight_store" json:"weight_store"`
	Zones          []Zone          `yaml:"zones" json:"zones"`
	Organisations  []Organisation  `yaml:"organisations" json:"organisations"`
	Models         []Model         `yaml:"models" json:"models"`
	BackendServers []BackendServer `yaml:"backend_servers" json:"backend_servers"`
	Links          []Link          `yaml:"links,omitempty" json:"links,omitempty"`
	PlainServices  []PlainService  `yaml:"plain_services,omitempty" json:"plain_services,omitempty"`
	Routes         []Route         `yaml:"routes,omitempty" json:"routes,omitempty"`
}

// Objectives holds the deployment's cost weights and its latency target.
type Objectives struct {
	// FirstTokenWeight is the cost of one second of time to first token.
	FirstTokenWeight float64 `yaml:"first_token_weight" json:"first_token_weight" jsonschema:"description=Cost of one second of time to first token."`
	// RecomputeWeight is the cost of one second spent on recomputing context that is already
	// cached.
	RecomputeWeight float64 `yaml:"recompute_weight" json:"recompute_weight" jsonschema:"description=Cost of one second of recomputed prompt work."`
	// FirstTokenTargetMillis is the target for the time to first token, in milliseconds.
	FirstTokenTargetMillis int `yaml:"first_token_target_ms" json:"first_token_target_ms" jsonschema:"description=Wanted time to first token in milliseconds."`
}

// Limits bounds the size of requests, the queue length, and how long keys and results are
// stored.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64 `yaml:"body_bytes" json:"body_bytes" jsonschema:"description=Largest request body in bytes."`
	// QueueLength bounds the requests that wait in one entry box.
	QueueLength int `yaml:"queue_length" json:"queue_length" jsonschema:"description=Requests that may wait in one entry box."`
	// KeyWindowSeconds is how long an idempotency key is remembered.
	KeyWindowSeconds int `yaml:"key_window_seconds" json:"key_window_seconds" jsonschema:"description=Seconds for which an idempotency key is remembered."`
	// ReviewRetentionSeconds is how long the result of a finished review is stored.
	ReviewRetentionSeconds int `yaml:"review_retention_seconds" json:"review_retention_seconds" jsonschema:"description=Seconds for which the answer of a review is kept."`
}

// WeightStore limits the load on the weight store.
type WeightStore struct {
	// ParallelLoads bounds the runners of the deployment that load weights at the same time.
	ParallelLoads int `yaml:"parallel_loads" json:"parallel_loads" jsonschema:"description=Runners that may load weights at the same time."`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
	// Evacuated means that the zone's runners and servers of plain services get no new
	// requests.
	Evacuated bool `yaml:"evacuated,omitempty" json:"evacuated,omitempty" jsonschema:"description=Whether runners and servers of plain services there get no new requests."`
}

// Organisation is a customer: the unit of isolation and of fair sharing.
type Organisation struct {
	Name string `yaml:"name" json:"name"`
	// KeyHashes holds the SHA-256 of each valid key, in hexadecimal.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes" jsonschema:"description=SHA-256 of each key in hexadecimal."`
	// Share is the organisation's weight in fair sharing when the capacity does not suffice for
	// all requests.
	Share int `yaml:"share" json:"share"`
	// MaxInFlight bounds the organisation's concurrent requests in one entry box.
	MaxInFlight int `yaml:"max_in_flight" json:"max_in_flight"`
	// Priority is the default for the organisation's requests.
	Priority Priority `yaml:"priority,omitempty" json:"priority,omitempty" jsonschema:"enum=instant,enum=normal,enum=review"`
}

// Model is a model that callers can request by name.
type Model struct {
	Name string `yaml:"name" json:"name"`
	// Weights is the current weight version.
	Weights string `yaml:"weights" json:"weights" jsonschema:"description=Weight version in force."`
	// AcceptWeights lists versions that may still serve new requests while no runner of the
	// zone has loaded the current one.
	AcceptWeights []string `yaml:"accept_weights,omitempty" json:"accept_weights,omitempty" jsonschema:"description=Versions that may answer until the one in force is loaded."`
	// MaxPromptTokens bounds the length of a prompt.
	MaxPromptTokens int `yaml:"max_prompt_tokens" json:"max_prompt_tokens"`
	// PrefillTokensPerSecond is the initial estimate of the prefill rate, until it is measured.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second" json:"prefill_tokens_per_second"`
	// KVBytesPerToken is the size of the KV cache per token, for the bandwidth budgets of
	// links.
	KVBytesPerToken int `yaml:"kv_bytes_per_token,omitempty" json:"kv_bytes_per_token,omitempty" jsonschema:"description=Bytes of kept context for each token."`
}

// BackendServer is one server behind the entry boxes.
type BackendServer struct {
	Name    string `yaml:"name" json:"name"`
	Zone    string `yaml:"zone" json:"zone"`
	Role    Role   `yaml:"role" json:"role" jsonschema:"enum=runner,enum=store-box,enum=plain-service"`
	Address string `yaml:"address" json:"address" jsonschema:"description=IP address and port."`
	// Models lists the models that a runner serves, or that a server of a plain service with
	// prompts serves.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// Slots is the maximum batch size of a runner, in requests.
	Slots int `yaml:"slots,omitempty" json:"slots,omitempty"`
	// ChecksOrders means that the server rejects orders with an outdated fencing token.
	ChecksOrders bool `yaml:"checks_orders,omitempty" json:"checks_orders,omitempty"`
	// MemoryBytes and DiskBytes are the sizes of a store box's tiers.
	MemoryBytes int64 `yaml:"memory_bytes,omitempty" json:"memory_bytes,omitempty"`
	DiskBytes   int64 `yaml:"disk_bytes,omitempty" json:"disk_bytes,omitempty"`
}

// Link is the network path between two endpoints (zones or backend servers) with its bandwidth
// budget.
type Link struct {
	From           string `yaml:"from" json:"from"`
	To             string `yaml:"to" json:"to"`
	BytesPerSecond int64  `yaml:"bytes_per_second" json:"bytes_per_second"`
}

// PlainService is an HTTP service that callers reach at /services/{name}/ and through routes.
type PlainService struct {
	Name string `yaml:"name" json:"name"`
	// Servers lists the names of its backend servers.
	Servers []string `yaml:"servers" json:"servers"`
	// ConnectionLimit bounds the connections of all entry boxes to each server for calls
	// through routes.
	ConnectionLimit int `yaml:"connection_limit,omitempty" json:"connection_limit,omitempty" jsonschema:"description=Connections of all entry boxes to each server."`
	// ContextTokens is the size of each server's context cache, in tokens, if the service
	// answers prompts that callers describe in headers; otherwise 0.
	ContextTokens int `yaml:"context_tokens,omitempty" json:"context_tokens,omitempty" jsonschema:"description=Context in tokens that a server takes; only for services that answer prompts."`
	// NotRepeatable lists the calls that must run at most once.
	NotRepeatable []Call `yaml:"not_repeatable,omitempty" json:"not_repeatable,omitempty"`
}

// Call selects calls of a plain service by method and path prefix.
type Call struct {
	Method string `yaml:"method" json:"method"`
	Path   string `yaml:"path" json:"path"`
}
