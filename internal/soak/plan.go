// Package soak holds what a soak of real processes is made of, as plain data: which faults come
// when (from a seed), what callers and servers saw, and which promises that breaks. Who starts
// processes, sends signals and calls is another package's business.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a fault does.
type Kind string

// Kinds of faults. The first group is ordinary work and slowness, in which no call may be lost;
// the others are failures.
const (
	// ApplyConfig brings another version of the configuration into force.
	ApplyConfig Kind = "declare"
	// ReloadSettings has a box read its settings again.
	ReloadSettings Kind = "reload"
	// RestartBox stops a box as planned, and starts it anew.
	RestartBox Kind = "replace"
	// PauseBox takes the processor from a box, as a stopped process lacks it.
	PauseBox Kind = "pause_box"
	// StallServers has servers say nothing for a while; they keep all that they run.
	StallServers Kind = "silence_servers"
	// UpdateWeights names newer weights, which all runners are to load.
	UpdateWeights Kind = "name_weights"
	// LeaveServer has a server announce that it leaves; it serves on, and comes back later.
	LeaveServer Kind = "leave"

	// KillBox ends a box at once; it is started anew later.
	KillBox Kind = "kill_box"
	// KillServer ends a server without a word; it is back later in another life.
	KillServer Kind = "end_server"
	// The next are faults of the way to a server: slow, cut one way or the other, reset, and
	// silent for good on the connections that are open.
	DelayServer     Kind = "delay_server"
	CutToServer     Kind = "cut_to_server"
	CutFromServer   Kind = "cut_from_server"
	ResetServer     Kind = "reset_server"
	BlackholeServer Kind = "mute_server"
	// DelayLog, HoldLog, ResetLog and BlackholeLog are faults of a box's way to the log, LogDown one
	// of the log itself.
	DelayLog     Kind = "delay_log"
	HoldLog      Kind = "hold_log"
	ResetLog     Kind = "reset_log"
	BlackholeLog Kind = "mute_log"
	LogDown      Kind = "log_down"
	// EmptyStore has a store box begin another life, with nothing kept.
	EmptyStore Kind = "empty_store"
)

// ordinary are the kinds in which no call may be lost.
var ordinary = []Kind{ApplyConfig, ReloadSettings, RestartBox, PauseBox, StallServers, UpdateWeights, LeaveServer}

// failures are the other kinds.
var failures = []Kind{KillBox, KillServer, DelayServer, CutToServer, CutFromServer, ResetServer, BlackholeServer, DelayLog, HoldLog, ResetLog, BlackholeLog, LogDown, EmptyStore}

// IsRoutine reports whether no call may be lost for a fault of the kind.
func (k Kind) IsRoutine() bool {
	return slices.Contains(ordinary, k) || slices.Contains(operations, k) || slices.Contains(advisories, k)
}

// touches says what a fault concerns.
func (k Kind) touches() subject {
	switch k {
	case ApplyConfig, LogDown, UpdateWeights, EmptyStore, EvacuateZone:
		return everything
	case ReloadSettings, RestartBox, PauseBox, KillBox, DelayLog, HoldLog, ResetLog, BlackholeLog:
		return oneBox
	default:
		return oneServer
	}
}

type subject uint8

const (
	everything subject = iota
	oneBox
	oneServer
)

// Fault is one thing that is done.
type Fault struct {
	Kind Kind
	// Start is when, from the start of the load on, and ActiveFor how long; kinds that are over at once
	// have a length too, after which their subject is whole again.
	Start, ActiveFor time.Duration
	// Target is the number of the box or the server. ServerCount is how many servers, from that one
	// on, are silenced.
	Target      int
	ServerCount int
}

// String gives the fault as one line of a report.
func (f Fault) String() string {
	return fmt.Sprintf("%v %s %d (%d) for %v", f.Start.Round(time.Millisecond), f.Kind, f.Target, f.ServerCount, f.ActiveFor.Round(time.Millisecond))
}

// End is when the fault is over.
func (f Fault) End() time.Duration { return f.Start + f.ActiveFor }

// PlanConfig says how many faults come, and to what.
type PlanConfig struct {
	Seed           uint64
	Boxes, Servers int
	LoadDuration   time.Duration
	// MeanInterval is the mean time between two faults. They last longer, so they overlap.
	MeanInterval time.Duration
	// RoutineOnly leaves out failures, so that any lost call is a fault of the boxes'.
	RoutineOnly bool
}

// Lengths of faults.
const (
	shortestFault = 300 * time.Millisecond
	longestFault  = 3 * time.Second
	// seriesLength is how many faults of one kind may follow each other.
	seriesLength = 3
)

// Plan draws the faults of a seed: single ones, and series of one kind.
func Plan(cfg PlanConfig) []Fault {
	chance := rand.New(rand.NewPCG(cfg.Seed, 0))
	kinds := ordinary
	if !cfg.RoutineOnly {
		kinds = append(slices.Clone(ordinary), failures...)
	}
	var faults []Fault
	for at := cfg.MeanInterval; at < cfg.LoadDuration; {
		kind := kinds[chance.IntN(len(kinds))]
		for range 1 + chance.IntN(seriesLength) {
			faults = append(faults, draw(chance, cfg, kind, at))
			at += time.Duration(chance.ExpFloat64() * float64(cfg.MeanInterval))
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return slices.DeleteFunc(faults, func(f Fault) bool { return f.Start >= cfg.LoadDuration })
}

func draw(chance *rand.Rand, cfg PlanConfig, kind Kind, at time.Duration) Fault {
	length := shortestFault + time.Duration(chance.Int64N(int64(longestFault-shortestFault)))
	fault := Fault{Kind: kind, Start: at, ActiveFor: length, ServerCount: 1}
	switch kind.touches() {
	case oneBox:
		fault.Target = chance.IntN(cfg.Boxes)
	case oneServer:
		fault.Target = chance.IntN(cfg.Servers)
	case everything:
	}
	if kind == StallServers {
		fault.ServerCount = 1 + chance.IntN(cfg.Servers)
	}
	return fault
}
