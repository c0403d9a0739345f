// What other boxes tell of their work. It is a hint: it adds to this box's own counts
// and is taken back as a whole when the box tells anew or falls silent.

package fleet

import (
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
)

// Load is the work of one box at one server.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	// Incarnation names the server.
	Incarnation   string `msgpack:"i"`
	InFlight      int    `msgpack:"n,omitempty"`
	PendingTokens int    `msgpack:"t,omitempty"`
	// HeldTokens is the memory that the box's calls take there.
	HeldTokens int `msgpack:"h,omitempty"`
	// PausedFor is how much longer the box keeps new calls from the server because
	// it is having it load weights, or has found another incarnation at its address.
	PausedFor time.Duration `msgpack:"p,omitempty"`
	// Weights are versions that the box found the server to hold.
	Weights map[string]int `msgpack:"w,omitempty"`
	// Advised is what the server said of itself in answers to the box; nil when it said nothing.
	Advised *advisory.Report `msgpack:"a,omitempty"`
}

// Loads gives this box's work at all servers that have any, or about which other
// boxes may not know all.
func (f *Fleet) Loads() []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	var loads []Load
	for _, state := range f.servers {
		paused := max(state.orderedUntil.Sub(now), state.replacedUntil.Sub(now), 0)
		newer, advised := state.newerWeights(), state.advised.Report(now)
		if state.inFlight == 0 && paused == 0 && newer == nil && advised == nil {
			continue
		}
		loads = append(loads, Load{
			Incarnation: state.Incarnation, InFlight: state.inFlight, PendingTokens: state.pendingTokens, HeldTokens: state.heldTokens,
			PausedFor: paused, Weights: newer, Advised: advised,
		})
	}
	return loads
}

// Zones gives the availability zones of the servers, by incarnation.
func (f *Fleet) Zones() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	zones := make(map[string]string, len(f.servers))
	for incarnation, state := range f.servers {
		zones[incarnation] = state.Zone
	}
	return zones
}

// SetRemote takes over what another box last told of its work, in place of what it
// told before; nil when the box has fallen silent.
func (f *Fleet) SetRemote(box string, loads []Load) {
	defer f.freed.Broadcast()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, load := range f.remote[box] {
		addWork(f.remoteTotals, load, -1)
	}
	now := boottime.Now()
	for _, load := range loads {
		addWork(f.remoteTotals, load, 1)
		if state := f.servers[load.Incarnation]; state != nil {
			state.learn(load, now)
			f.takeReport(state, load.Advised, now)
		}
	}
	if loads == nil {
		delete(f.remote, box)
		return
	}
	f.remote[box] = loads
}

// workTotal is work of some boxes at one server.
type workTotal struct {
	inFlight      int
	pendingTokens int
	heldTokens    int
}

// addWork adds work to totals by server, or takes it back with a sign of -1.
func addWork(totals map[string]workTotal, load Load, sign int) {
	total := totals[load.Incarnation]
	total.inFlight += sign * load.InFlight
	total.pendingTokens += sign * load.PendingTokens
	total.heldTokens += sign * load.HeldTokens
	if total == (workTotal{}) {
		delete(totals, load.Incarnation)
		return
	}
	totals[load.Incarnation] = total
}

// othersAt gives the work of all other boxes at a server, as they told it or were granted
// places for it. The caller holds mu.
func (f *Fleet) othersAt(incarnation string) workTotal {
	told, granted := f.remoteTotals[incarnation], f.granted[incarnation]
	return workTotal{told.inFlight + granted.inFlight, told.pendingTokens + granted.pendingTokens, told.heldTokens + granted.heldTokens}
}

// remotePauseLimit bounds the pause that one message of another box causes: it
// tells again while the load goes on.
const remotePauseLimit = 400 * time.Millisecond

// learn takes over what another box knows of the server.
func (s *State) learn(load Load, now time.Time) {
	if load.PausedFor > 0 {
		until := now.Add(min(load.PausedFor, remotePauseLimit))
		if until.After(s.pausedUntil) {
			s.pausedUntil = until
		}
	}
	for model, version := range load.Weights {
		s.hold(model, version)
	}
}

// hold notes that the server holds a version of a model.
func (s *State) hold(model string, version int) bool {
	if s.weights(model) >= version {
		return false
	}
	if s.heldWeights == nil {
		s.heldWeights = map[string]int{}
	}
	s.heldWeights[model] = version
	return true
}
