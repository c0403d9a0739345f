// The load reports of other boxes. They are hints: they are added to this box's own counts, and
// each one is replaced as a whole by the box's next report, or dropped when the box stops
// reporting.

package fleet

import (
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
)

// Load is the work of one box at one server.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double the size

	// Incarnation identifies the server.
	Incarnation   string `msgpack:"i"`
	InFlight      int    `msgpack:"n,omitempty"`
	PendingTokens int    `msgpack:"t,omitempty"`
	// HeldTokens is the memory that the box's calls use at the server.
	HeldTokens int `msgpack:"h,omitempty"`
	// PausedFor is how much longer the box sends no new calls to the server because it has ordered
	// the server to load weights, or has found another incarnation at its address.
	PausedFor time.Duration `msgpack:"p,omitempty"`
	// Weights has the versions that the box found the server to hold.
	Weights map[string]int `msgpack:"w,omitempty"`
	// Advisory is what the server stated about itself in answers to the box; nil if nothing.
	Advisory *advisory.Report `msgpack:"a,omitempty"`
	// Brittle is what the box knows about the brittleness of the server; nil if nothing. Messages
	// carry it apart, since boxes of the previous version reject further fields.
	Brittle *advisory.BrittleReport `msgpack:"-"`
}

// Loads returns this box's load at all servers at which it has work, or whose state other boxes may
// not have yet.
func (f *Fleet) Loads() []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	var loads []Load
	for state := range f.reporting {
		paused := max(state.weightOrderUntil.Sub(now), state.replacedUntil.Sub(now), 0)
		newer, report, brittle := state.newerWeights(), state.stated().Report(now), state.stated().BrittleReport(now)
		if state.inFlight == 0 && paused == 0 && newer == nil && report == nil && brittle == nil {
			delete(f.reporting, state)
			continue
		}
		loads = append(loads, Load{
			Incarnation: state.Incarnation, InFlight: state.inFlight, PendingTokens: state.pendingTokens, HeldTokens: state.heldTokens,
			PausedFor: paused, Weights: newer, Advisory: report, Brittle: brittle,
		})
	}
	return loads
}

// SplitByZone separates the loads of the servers of a zone from those of all others.
func (f *Fleet) SplitByZone(loads []Load, zone string) (sameZone, otherZones []Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, load := range loads {
		if state := f.servers[load.Incarnation]; state != nil && state.Zone == zone {
			sameZone = append(sameZone, load)
		} else {
			otherZones = append(otherZones, load)
		}
	}
	return sameZone, otherZones
}

// SetRemoteLoads replaces the last load report of another box; nil loads mean that the box stopped
// reporting.
func (f *Fleet) SetRemoteLoads(peer string, loads []Load) {
	defer f.capacityChanged.Broadcast()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, load := range f.remoteLoads[peer] {
		f.addWork(f.remoteTotals, load, -1)
	}
	now := boottime.Now()
	for _, load := range loads {
		f.addWork(f.remoteTotals, load, 1)
		if state := f.servers[load.Incarnation]; state != nil {
			f.applyRemoteLoad(state, load, now)
			f.applyReport(state, load.Advisory, now)
			f.applyBrittleReport(state, load.Brittle, now)
		}
	}
	if loads == nil {
		delete(f.remoteLoads, peer)
		return
	}
	f.remoteLoads[peer] = loads
}

// workTotal is the work of several boxes at one server.
type workTotal struct {
	inFlight      int
	pendingTokens int
	heldTokens    int
	// refusals is the number of calls that a brittle server has refused in the last second.
	refusals int
}

// plus returns the sum of two totals.
func (w workTotal) plus(other workTotal) workTotal {
	return workTotal{w.inFlight + other.inFlight, w.pendingTokens + other.pendingTokens, w.heldTokens + other.heldTokens, w.refusals + other.refusals}
}

// addWork adds work to the totals by server, or subtracts it if sign is -1. The caller holds mu.
func (f *Fleet) addWork(totals map[string]workTotal, load Load, sign int) {
	added := workTotal{inFlight: sign * load.InFlight, pendingTokens: sign * load.PendingTokens, heldTokens: sign * load.HeldTokens}
	if load.Brittle != nil {
		added.refusals = sign * load.Brittle.Refusals
	}
	if state := f.servers[load.Incarnation]; state != nil {
		state.others = state.others.plus(added)
	}
	if total := totals[load.Incarnation].plus(added); total != (workTotal{}) {
		totals[load.Incarnation] = total
	} else {
		delete(totals, load.Incarnation)
	}
}

// remoteWork returns the work of all other boxes at a server, as reported by them or granted by
// this box. The caller holds mu.
func (f *Fleet) remoteWork(incarnation string) workTotal {
	return f.remoteTotals[incarnation].plus(f.granted[incarnation])
}

// remotePauseLimit bounds the pause caused by one report of another box, which repeats the report
// for as long as the server loads weights.
const remotePauseLimit = 400 * time.Millisecond

// applyRemoteLoad applies the state of the server in another box's report.
func (f *Fleet) applyRemoteLoad(s *State, load Load, now time.Time) {
	if load.PausedFor > 0 {
		until := now.Add(min(load.PausedFor, remotePauseLimit))
		if until.After(s.pausedUntil) {
			s.pausedUntil = until
		}
	}
	for model, version := range load.Weights {
		f.noteWeights(s, model, version)
	}
}

// noteWeights records that a server holds a version of a model, and reports whether that was
// unknown before. The caller holds mu.
func (f *Fleet) noteWeights(s *State, model string, version int) bool {
	if !s.noteWeights(model, version) {
		return false
	}
	clear(f.versions)
	f.reporting[s] = struct{}{}
	return true
}

// noteWeights records that the server holds a version of a model, and reports whether that was
// unknown before.
func (s *State) noteWeights(model string, version int) bool {
	if s.weights(model) >= version {
		return false
	}
	if s.heldWeights == nil {
		s.heldWeights = map[string]int{}
	}
	s.heldWeights[model] = version
	return true
}
