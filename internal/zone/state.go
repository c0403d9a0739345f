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

// State returns the current state of the view.
func (v *View) State() State {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := State{Zone: v.zone, Blocks: v.index.Len(), Gaps: v.gaps, Resyncs: v.resyncs}
	now := boottime.Now()
	for _, srv := range v.servers {
		if srv == nil {
			continue
		}
		entry := ServerState{
			Name: srv.config.Name, Role: srv.config.Role, Address: srv.config.Address,
			Leaving: srv.isLeaving(), Failed: srv.coolingDown(now), Sent: srv.sent, SentTokens: srv.sentTokens.ahead(classOther),
			Running: srv.status.Running, Waiting: srv.status.Waiting, QueuedTokens: srv.status.QueuedTokens,
			EventCursor: srv.eventCursor, RunSeconds: srv.runSeconds,
		}
		if !srv.reportedAt.IsZero() {
			entry.ReportAge = now.Sub(srv.reportedAt).Round(time.Millisecond).String()
		}
		state.Servers = append(state.Servers, entry)
	}
	return state
}

// Runners returns the runners of the zone, which the watchers poll.
func (v *View) Runners() []*config.BackendServer {
	v.mu.Lock()
	defer v.mu.Unlock()
	var runners []*config.BackendServer
	for _, srv := range v.servers {
		if srv != nil && srv.config.Role == config.RoleRunner {
			runners = append(runners, srv.config)
		}
	}
	return runners
}

// Reports returns the last load report of each runner that responds. It omits runners
// that have failed, since the last report of such a runner may show it as loading
// indefinitely.
func (v *View) Reports() []rollout.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := boottime.Now()
	var reports []rollout.Report
	for _, srv := range v.servers {
		if srv != nil && srv.config.Role == config.RoleRunner && !srv.reportedAt.IsZero() && !srv.coolingDown(now) {
			reports = append(reports, rollout.Report{Server: srv.config, Weights: srv.status.Weights, Leaving: srv.isLeaving()})
		}
	}
	return reports
}

// Slots returns the total number of batch slots of the runners that accept requests.
func (v *View) Slots() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	slots := 0
	now := boottime.Now()
	for _, srv := range v.servers {
		if srv != nil && srv.config.Role == config.RoleRunner && !srv.isLeaving() && !srv.coolingDown(now) {
			slots += srv.config.Slots
		}
	}
	return slots
}

// Incarnation returns the incarnation of a server from its last report, and whether the
// server is leaving.
func (v *View) Incarnation(name string) (incarnation string, leaving bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv, ok := v.byName[name]
	if !ok {
		return "", false
	}
	return srv.incarnation, srv.isLeaving()
}

// Available reports whether the server of a plain service accepts requests.
func (v *View) Available(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv, ok := v.byName[name]
	return ok && !srv.isLeaving() && !srv.coolingDown(boottime.Now()) && v.acceptsRun(srv, boottime.Now())
}

// NoteCall counts a call to a plain service towards its server's rate limit.
func (v *View) NoteCall(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if srv := v.byName[name]; srv != nil {
		v.noteRun(srv, boottime.Now())
	}
}
