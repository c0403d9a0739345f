// Package soak plans and checks a soak test of real processes. It draws a fault schedule from a seed,
// defines the history that callers and servers record, and checks the history against the invariants
// of the system. It works on plain data; starting processes and sending signals and calls is the task
// of package soakplay.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// Kinds of faults. The first group is routine operations and slowness, during which no call may be
// lost. The others are failures.
const (
	// ApplyConfig applies another version of the configuration.
	ApplyConfig Kind = "declare"
	// ReloadSettings has a box reload its settings.
	ReloadSettings Kind = "reload"
	// RestartBox stops a box gracefully and starts it again.
	RestartBox Kind = "replace"
	// PauseBox suspends the process of a box.
	PauseBox Kind = "pause_box"
	// StallServers has servers send nothing for a while. Their runs continue.
	StallServers Kind = "silence_servers"
	// UpdateWeights declares newer weights, which all runners have to load.
	UpdateWeights Kind = "name_weights"
	// LeaveServer has a server announce in its registry entry that it is leaving. It still serves
	// requests, and later withdraws the announcement.
	LeaveServer Kind = "leave"

	// KillBox kills a box and starts it again later.
	KillBox Kind = "kill_box"
	// KillServer kills a server without notice. It comes back later as another incarnation.
	KillServer Kind = "end_server"
	// The next five are faults of the connections to a server: delay, a partition in one direction
	// or the other, reset, and open connections that transfer nothing any more.
	DelayServer     Kind = "delay_server"
	CutToServer     Kind = "cut_to_server"
	CutFromServer   Kind = "cut_from_server"
	ResetServer     Kind = "reset_server"
	BlackholeServer Kind = "mute_server"
	// DelayLog, HoldLog, ResetLog and BlackholeLog are faults of a box's connections to the log.
	// LogDown is a fault of the log itself.
	DelayLog     Kind = "delay_log"
	HoldLog      Kind = "hold_log"
	ResetLog     Kind = "reset_log"
	BlackholeLog Kind = "mute_log"
	LogDown      Kind = "log_down"
	// EmptyStore restarts a store box as another incarnation with no stored blocks.
	EmptyStore Kind = "empty_store"
)

// routineKinds are the kinds during which no call may be lost.
var routineKinds = []Kind{ApplyConfig, ReloadSettings, RestartBox, PauseBox, StallServers, UpdateWeights, LeaveServer}

// failureKinds are the kinds during which calls may be lost.
var failureKinds = []Kind{KillBox, KillServer, DelayServer, CutToServer, CutFromServer, ResetServer, BlackholeServer, DelayLog, HoldLog, ResetLog, BlackholeLog, LogDown, EmptyStore}

// IsRoutine reports whether no call may be lost because of a fault of this kind.
func (k Kind) IsRoutine() bool {
	return slices.Contains(routineKinds, k) || slices.Contains(operationKinds, k) || slices.Contains(advisoryKinds, k)
}

// scope returns what a fault of this kind affects.
func (k Kind) scope() scopeKind {
	switch k {
	case ApplyConfig, LogDown, UpdateWeights, EmptyStore, EvacuateZone, RestoreLog, SlowLog:
		return wholeFleet
	case ReloadSettings, RestartBox, PauseBox, KillBox, DelayLog, HoldLog, ResetLog, BlackholeLog:
		return oneBox
	default:
		return oneServer
	}
}

type scopeKind uint8

const (
	wholeFleet scopeKind = iota
	oneBox
	oneServer
)

// Fault is one planned fault or operation.
type Fault struct {
	Kind Kind
	// Start is counted from the start of the load. A kind without a duration of its own, such as
	// a reset, has an ActiveFor too: the time after which its target works normally again.
	Start, ActiveFor time.Duration
	// Target is the number of the box or server. ServerCount is the number of servers that
	// StallServers affects, from Target on.
	Target      int
	ServerCount int
	// CopyAge is the age of the copy that RestoreLog brings back.
	CopyAge time.Duration
	// Version is the software version that ReleaseRunner starts.
	Version string
}

// String formats the fault as one line of a report.
func (f Fault) String() string {
	text := fmt.Sprintf("%v %s %d (%d) for %v", f.Start.Round(time.Millisecond), f.Kind, f.Target, f.ServerCount, f.ActiveFor.Round(time.Millisecond))
	if f.Version != "" {
		text += " " + f.Version
	}
	return text
}

// End returns the time at which the fault ends.
func (f Fault) End() time.Duration { return f.Start + f.ActiveFor }

// PlanConfig configures the number, rate and targets of the faults.
type PlanConfig struct {
	Seed           uint64
	Boxes, Servers int
	// Zones is the number of zones of the boxes, for PlanCrashes.
	Zones        int
	LoadDuration time.Duration
	// MeanInterval is the mean time between the starts of two faults. Faults that last longer
	// overlap.
	MeanInterval time.Duration
	// RoutineOnly leaves out failures, so that every lost call is an error of the boxes.
	RoutineOnly bool
}

// Bounds of a fault.
const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// maxSeriesLength is the maximum number of successive faults of one kind in a series.
	maxSeriesLength = 3
)

// Plan draws the faults of a seed: single faults, and series of faults of one kind.
func Plan(cfg PlanConfig) []Fault {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	kinds := routineKinds
	if !cfg.RoutineOnly {
		kinds = append(slices.Clone(routineKinds), failureKinds...)
	}
	var faults []Fault
	for at := cfg.MeanInterval; at < cfg.LoadDuration; {
		kind := kinds[rng.IntN(len(kinds))]
		for range 1 + rng.IntN(maxSeriesLength) {
			faults = append(faults, drawFault(rng, cfg, kind, at))
			at += time.Duration(rng.ExpFloat64() * float64(cfg.MeanInterval))
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return slices.DeleteFunc(faults, func(f Fault) bool { return f.Start >= cfg.LoadDuration })
}

func drawFault(rng *rand.Rand, cfg PlanConfig, kind Kind, at time.Duration) Fault {
	duration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
	fault := Fault{Kind: kind, Start: at, ActiveFor: duration, ServerCount: 1}
	switch kind.scope() {
	case oneBox:
		fault.Target = rng.IntN(cfg.Boxes)
	case oneServer:
		fault.Target = rng.IntN(cfg.Servers)
	case wholeFleet:
	}
	if kind == StallServers {
		fault.ServerCount = 1 + rng.IntN(cfg.Servers)
	}
	return fault
}
