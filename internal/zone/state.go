package zone

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/rollout"
)

// ServerState is the part of a state dump that describes one backend server.
type ServerState struct {
	Name         string      `json:"name"`
	Role         config.Role `json:"role"`
	Address      string      `json:"address"`
	Leaving      bool        `json:"leaving"`
	Failed       bool        `json:"failed"`
	ReportAge    string      `json:"report_age,omitempty"`
	Sent         int         `json:"sent"`
	SentTokens   int         `json:"sent_tokens"`
	Running      int         `json:"running"`
	Waiting      int         `json:"waiting"`
	QueuedTokens int         `json:"queued_tokens"`
	EventCursor  int64       `json:"events_to"`
	RunSeconds   float64     `json:"run_seconds"`
}

// State is the part of a state dump that describes the zone.
type State struct {
	Zone    string        `json:"zone"`
	Servers []ServerState `json:"servers"`
	Blocks  int           `json:"known_blocks"`
	Gaps    uint64        `json:"event_gaps"`
	Resyncs uint64        `json:"event_resyncs"`
}

// State describes what is known now.
func (k *View) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	state := State{Zone: k.zone, Blocks: k.index.Len(), Gaps: k.gaps, Resyncs: k.resyncs}
	now := boottime.Now()
	for _, known := range k.servers {
		if known == nil {
			continue
		}
		entry := ServerState{
			Name: known.config.Name, Role: known.config.Role, Address: known.config.Address,
			Leaving: known.leaves(), Failed: known.coolingDown(now), Sent: known.sent, SentTokens: known.sentTokens.ahead(classOther),
			Running: known.status.Running, Waiting: known.status.Waiting, QueuedTokens: known.status.QueuedTokens,
			EventCursor: known.eventsTo, RunSeconds: known.runSeconds,
		}
		if !known.reportedAt.IsZero() {
			entry.ReportAge = now.Sub(known.reportedAt).Round(time.Millisecond).String()
		}
		state.Servers = append(state.Servers, entry)
	}
	return state
}

// Runners lists the runners of the zone with their addresses, for the watchers.
func (k *View) Runners() []*config.BackendServer {
	k.mu.Lock()
	defer k.mu.Unlock()
	var runners []*config.BackendServer
	for _, known := range k.servers {
		if known != nil && known.config.Role == config.RoleRunner {
			runners = append(runners, known.config)
		}
	}
	return runners
}

// Reports gives the last load report of each runner that answers. One that has
// failed is left out: its last report may say for ever that it is loading.
func (k *View) Reports() []rollout.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := boottime.Now()
	var reports []rollout.Report
	for _, known := range k.servers {
		if known != nil && known.config.Role == config.RoleRunner && !known.reportedAt.IsZero() && !known.coolingDown(now) {
			reports = append(reports, rollout.Report{Server: known.config, Weights: known.status.Weights, Leaving: known.leaves()})
		}
	}
	return reports
}

// Slots sums the batch slots of the runners that may get new work.
func (k *View) Slots() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	slots := 0
	now := boottime.Now()
	for _, known := range k.servers {
		if known != nil && known.config.Role == config.RoleRunner && !known.leaves() && !known.coolingDown(now) {
			slots += known.config.Slots
		}
	}
	return slots
}

// Incarnation gives the life of a server by its last report, and whether it is to end.
func (k *View) Incarnation(name string) (life string, leaving bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.byName[name]
	if !ok {
		return "", false
	}
	return known.incarnation, known.leaves()
}

// Available reports whether a plain service's server may get new work.
func (k *View) Available(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.byName[name]
	return ok && !known.leaves() && !known.coolingDown(boottime.Now()) && k.takesRun(known, boottime.Now())
}

// NoteCall counts a call of a plain service against its server's rate limit.
func (k *View) NoteCall(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.byName[name]; known != nil {
		k.noteRun(known, boottime.Now())
	}
}
