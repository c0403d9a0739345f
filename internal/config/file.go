// Package config is the declarative file by which operators run cometlock.
//
// A file is read, checked and applied as a whole. Reading lists every fault
// with its line, so that one round trip mends them all, and nothing of a file
// with a fault takes effect. For the log the file is taken apart into entries
// (one an organisation, model, backend server, …), since a change touches few
// of them: at 10,000 organisations the file is over a megabyte while a typical
// change is a few hundred bytes.
package config

import "slices"

// Role says what a backend server does.
type Role string

const (
	// RoleRunner is a model engine.
	RoleRunner Role = "runner"
	// RoleStoreBox keeps context in memory and on disk.
	RoleStoreBox Role = "store-box"
	// RolePlainService is an HTTP service beside the engines.
	RolePlainService Role = "plain-service"
)

// Priority orders requests of all organisations: instant goes first.
type Priority string

const (
	// PriorityInstant is for answers that a person waits for.
	PriorityInstant Priority = "instant"
	// PriorityNormal is what a request gets that asks for nothing.
	PriorityNormal Priority = "normal"
	// PriorityReview is for work that can wait.
	PriorityReview Priority = "review"
)

// Priorities lists all priorities, most urgent first.
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

// Objectives weighs what the deployment cares about.
type Objectives struct {
	// FirstTokenWeight is what a second of waiting for the first token costs.
	FirstTokenWeight float64 `yaml:"first_token_weight" json:"first_token_weight" jsonschema:"description=Cost of one second of time to first token."`
	// RecomputeWeight is what a second of recomputing known context costs.
	RecomputeWeight float64 `yaml:"recompute_weight" json:"recompute_weight" jsonschema:"description=Cost of one second of recomputed prompt work."`
	// FirstTokenTargetMillis is the wanted time to first token, in ms.
	FirstTokenTargetMillis int `yaml:"first_token_target_ms" json:"first_token_target_ms" jsonschema:"description=Wanted time to first token in milliseconds."`
}

// Limits bounds what callers may send.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64 `yaml:"body_bytes" json:"body_bytes" jsonschema:"description=Largest request body in bytes."`
	// QueueLength is how many requests one entry box lets wait.
	QueueLength int `yaml:"queue_length" json:"queue_length" jsonschema:"description=Requests that may wait in one entry box."`
	// KeyWindowSeconds is for how long an idempotency key is remembered.
	KeyWindowSeconds int `yaml:"key_window_seconds" json:"key_window_seconds" jsonschema:"description=Seconds for which an idempotency key is remembered."`
	// ReviewRetentionSeconds is for how long a finished review is kept.
	ReviewRetentionSeconds int `yaml:"review_retention_seconds" json:"review_retention_seconds" jsonschema:"description=Seconds for which the answer of a review is kept."`
}

// WeightStore bounds loads from the weight store.
type WeightStore struct {
	// ParallelLoads is how many runners of the deployment may load at once.
	ParallelLoads int `yaml:"parallel_loads" json:"parallel_loads" jsonschema:"description=Runners that may load weights at the same time."`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
	// Evacuated zones' runners and plain servers get no new requests.
	Evacuated bool `yaml:"evacuated,omitempty" json:"evacuated,omitempty" jsonschema:"description=Whether runners and servers of plain services there get no new requests."`
}

// Organisation is a customer: the unit of isolation and of fair shares.
type Organisation struct {
	Name string `yaml:"name" json:"name"`
	// KeyHashes holds the SHA-256 of each valid key, in hexadecimal.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes" jsonschema:"description=SHA-256 of each key in hexadecimal."`
	// Share is the organisation's weight when there is not room for all.
	Share int `yaml:"share" json:"share"`
	// MaxInFlight bounds the organisation's requests in one entry box.
	MaxInFlight int `yaml:"max_in_flight" json:"max_in_flight"`
	// Priority is what a request gets that names none.
	Priority Priority `yaml:"priority,omitempty" json:"priority,omitempty" jsonschema:"enum=instant,enum=normal,enum=review"`
}

// Model is a model that callers can name.
type Model struct {
	Name string `yaml:"name" json:"name"`
	// Weights is the weight version in force.
	Weights string `yaml:"weights" json:"weights" jsonschema:"description=Weight version in force."`
	// AcceptWeights lists versions that may still answer new requests while no
	// runner of the zone has loaded the one in force.
	AcceptWeights []string `yaml:"accept_weights,omitempty" json:"accept_weights,omitempty" jsonschema:"description=Versions that may answer until the one in force is loaded."`
	// MaxPromptTokens bounds a prompt, in tokens.
	MaxPromptTokens int `yaml:"max_prompt_tokens" json:"max_prompt_tokens"`
	// PrefillTokensPerSecond is a first guess that measurement replaces.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second" json:"prefill_tokens_per_second"`
	// KVBytesPerToken is the size of kept context, for the links' budgets.
	KVBytesPerToken int `yaml:"kv_bytes_per_token,omitempty" json:"kv_bytes_per_token,omitempty" jsonschema:"description=Bytes of kept context for each token."`
}

// BackendServer is one server behind the entry boxes.
type BackendServer struct {
	Name    string `yaml:"name" json:"name"`
	Zone    string `yaml:"zone" json:"zone"`
	Role    Role   `yaml:"role" json:"role" jsonschema:"enum=runner,enum=store-box,enum=plain-service"`
	Address string `yaml:"address" json:"address" jsonschema:"description=IP address and port."`
	// Models names the models that a runner holds, or a server of a plain service
	// with prompts.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// Slots is how many requests a runner batches at once.
	Slots int `yaml:"slots,omitempty" json:"slots,omitempty"`
	// ChecksOrders says whether the server refuses orders with an old fence.
	ChecksOrders bool `yaml:"checks_orders,omitempty" json:"checks_orders,omitempty"`
	// MemoryBytes and DiskBytes are the tiers of a store box.
	MemoryBytes int64 `yaml:"memory_bytes,omitempty" json:"memory_bytes,omitempty"`
	DiskBytes   int64 `yaml:"disk_bytes,omitempty" json:"disk_bytes,omitempty"`
}

// Link is the path between two ends (zones or backend servers) with its budget.
type Link struct {
	From           string `yaml:"from" json:"from"`
	To             string `yaml:"to" json:"to"`
	BytesPerSecond int64  `yaml:"bytes_per_second" json:"bytes_per_second"`
}

// PlainService is a service that callers reach at /services/{name}/, and by routes.
type PlainService struct {
	Name string `yaml:"name" json:"name"`
	// Servers names the backend servers that serve it.
	Servers []string `yaml:"servers" json:"servers"`
	// ConnectionLimit bounds the connections of all entry boxes to each server, for
	// calls by routes.
	ConnectionLimit int `yaml:"connection_limit,omitempty" json:"connection_limit,omitempty" jsonschema:"description=Connections of all entry boxes to each server."`
	// ContextTokens is how much context each server's memory takes, where the service
	// answers prompts that callers describe in headers; 0 where it does not.
	ContextTokens int `yaml:"context_tokens,omitempty" json:"context_tokens,omitempty" jsonschema:"description=Context in tokens that a server takes; only for services that answer prompts."`
	// NotRepeatable lists the calls that must run at most once.
	NotRepeatable []Call `yaml:"not_repeatable,omitempty" json:"not_repeatable,omitempty"`
}

// Call names calls of a plain service by method and path prefix.
type Call struct {
	Method string `yaml:"method" json:"method"`
	Path   string `yaml:"path" json:"path"`
}
