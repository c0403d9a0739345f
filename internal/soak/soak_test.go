package soak_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/soak"
)

const second = time.Second

// Each invariant is violated by one history and satisfied by another that differs only in the
// circumstance that permits it. This guards against checks that never report anything.
func TestChecksFindViolations(t *testing.T) {
	lost := soak.Attempt{ID: "a", CallKind: soak.Stream, Began: 10 * second, Ended: 14 * second, Outcome: soak.TruncatedResponse, CallTimeout: 12 * second}
	modified := func(a soak.Attempt, change func(*soak.Attempt)) []soak.Attempt {
		change(&a)
		return []soak.Attempt{a}
	}
	served := soak.Attempt{ID: "a", CallKind: soak.AtMostOnce, Began: 10 * second, Ended: 11 * second, Outcome: soak.CompleteResponse, CallTimeout: 12 * second}
	repeated := served
	repeated.CallKind = soak.Repeatable
	arrivals := func(server int, times ...time.Duration) (all []soak.Arrival) {
		for _, at := range times {
			all = append(all, soak.Arrival{ID: "a", Server: server, At: at})
		}
		return all
	}
	probes := func(before, after int, incarnation int) []soak.Attempt {
		return []soak.Attempt{
			{ID: "p1", CallKind: soak.Probe, Box: 1, Incarnation: 1, Began: second, Ended: second, Outcome: soak.CompleteResponse, Version: before},
			{ID: "p2", CallKind: soak.Probe, Box: 1, Incarnation: incarnation, Began: 2 * second, Ended: 2 * second, Outcome: soak.CompleteResponse, Version: after},
		}
	}
	versions := []soak.Event{{At: 0, Version: 1}, {At: 5 * second, Version: 2}}
	leaving := []soak.Event{{At: 8 * second, Server: 3, Until: 20 * second}}
	tests := []struct {
		name     string
		history  soak.History
		violated string
	}{
		{"a complete response", soak.History{Attempts: []soak.Attempt{served}}, ""},
		{"the response of another call", soak.History{Attempts: modified(served, func(a *soak.Attempt) { a.Outcome = soak.WrongResponse })}, soak.InvariantOwnResponse},
		{"a runner with older weights", soak.History{WeightsNamed: 2, WeightsHeld: map[int]int{0: 1}, Ended: 107 * second}, soak.InvariantWeights},
		{"a runner with older weights soon after the faults", soak.History{WeightsNamed: 2, WeightsHeld: map[int]int{0: 1}, Ended: 105 * second}, ""},
		{"a stream of two software versions", soak.History{Streams: []soak.ResumableStream{{ID: "a", Versions: []string{"v1", "v2"}}}}, soak.InvariantVersions},
		{"a stream of one software version", soak.History{Streams: []soak.ResumableStream{{ID: "a", Versions: []string{"v1"}, Resumed: true}}}, ""},
		{"two runs", soak.History{Attempts: []soak.Attempt{served}, Arrivals: []soak.Arrival{{ID: "a"}, {ID: "a", Server: 1}}}, soak.InvariantAtMostOnce},
		{"two runs of a repeatable call", soak.History{Attempts: modified(served, func(a *soak.Attempt) { a.CallKind = soak.Repeatable }), Arrivals: []soak.Arrival{{ID: "a"}, {ID: "a"}}}, ""},
		{"rejected as not run but run", soak.History{Attempts: modified(served, func(a *soak.Attempt) { a.Outcome = soak.NotRun }), Arrivals: []soak.Arrival{{ID: "a"}}}, soak.InvariantNotRun},
		{"cut off while servers are stalled", soak.History{Attempts: []soak.Attempt{lost}, Faults: []soak.Fault{{Kind: soak.StallServers, Start: 9 * second, ActiveFor: 5 * second}}}, soak.InvariantNoLoss},
		{"cut off while a box is paused", soak.History{Attempts: []soak.Attempt{lost}, Faults: []soak.Fault{{Kind: soak.PauseBox, Start: 9 * second, ActiveFor: second}}}, soak.InvariantNoLoss},
		{"cut off while its server is killed", soak.History{Attempts: []soak.Attempt{lost}, Faults: []soak.Fault{{Kind: soak.KillServer, Start: 9 * second, ActiveFor: second}}}, ""},
		{"cut off long after a server was killed", soak.History{Attempts: []soak.Attempt{lost}, Faults: []soak.Fault{{Kind: soak.KillServer, Start: 5 * second, ActiveFor: second}}}, soak.InvariantNoLoss},
		{"cut off at the end of the stop timeout", soak.History{Attempts: []soak.Attempt{lost}, StopTimeout: 8 * second, Faults: []soak.Fault{{Kind: soak.RestartBox, Start: 7 * second, ActiveFor: 8 * second}}}, ""},
		{"cut off well before the end of the stop timeout", soak.History{Attempts: []soak.Attempt{lost}, StopTimeout: 8 * second, Faults: []soak.Fault{{Kind: soak.RestartBox, Start: 8 * second, ActiveFor: 8 * second}}}, soak.InvariantNoLoss},
		{"cut off at another box than the stopping one", soak.History{Attempts: []soak.Attempt{lost}, StopTimeout: 8 * second, Faults: []soak.Fault{{Kind: soak.RestartBox, Target: 1, Start: 7 * second, ActiveFor: 8 * second}}}, soak.InvariantNoLoss},
		{"cut off late in its timeout", soak.History{Attempts: modified(lost, func(a *soak.Attempt) { a.Ended = 19 * second })}, ""},
		{"denied", soak.History{Attempts: modified(served, func(a *soak.Attempt) { a.Outcome = soak.Denied })}, soak.InvariantAllowed},
		{"denied for a replaced key", soak.History{Attempts: modified(served, func(a *soak.Attempt) { a.Outcome, a.Version = soak.Denied, 1 }), Versions: versions}, ""},
		{"served with a replaced key", soak.History{Attempts: modified(served, func(a *soak.Attempt) { a.Version = 1 }), Versions: versions}, soak.InvariantRevokedKeys},
		{"served with a replaced key while the log is down", soak.History{Attempts: modified(served, func(a *soak.Attempt) { a.Version = 1 }), Versions: versions, Faults: []soak.Fault{{Kind: soak.LogDown, Start: 8 * second, ActiveFor: second}}}, ""},
		{"a return to an older configuration", soak.History{Attempts: probes(3, 2, 1)}, soak.InvariantMonotonicConfig},
		{"an older configuration in another incarnation", soak.History{Attempts: probes(3, 2, 2)}, ""},
		{"a newer configuration", soak.History{Attempts: probes(2, 3, 1)}, ""},
		{"a call to a leaving server", soak.History{Attempts: []soak.Attempt{served}, Arrivals: []soak.Arrival{{ID: "a", Server: 3, At: 10500 * time.Millisecond}}, LeavingPeriods: leaving}, soak.InvariantLeaving},
		{"a call to another server", soak.History{Attempts: []soak.Attempt{served}, Arrivals: []soak.Arrival{{ID: "a", Server: 2, At: 10500 * time.Millisecond}}, LeavingPeriods: leaving}, ""},
		{"a call by a box that was paused", soak.History{Attempts: []soak.Attempt{served}, Arrivals: []soak.Arrival{{ID: "a", Server: 3, At: 10500 * time.Millisecond}}, LeavingPeriods: leaving, Faults: []soak.Fault{{Kind: soak.PauseBox, Start: 9 * second, ActiveFor: second}}}, ""},
		{"a call to its next incarnation", soak.History{Attempts: []soak.Attempt{served}, Arrivals: []soak.Arrival{{ID: "a", Server: 3, At: 10500 * time.Millisecond}}, LeavingPeriods: leaving, Faults: []soak.Fault{{Kind: soak.KillServer, Target: 3, Start: 9 * second, ActiveFor: second}}}, ""},
		{"a call to an evacuated zone", soak.History{Attempts: []soak.Attempt{served}, Arrivals: []soak.Arrival{{ID: "a", Server: 2, At: 10500 * time.Millisecond}}, Evacuations: leaving}, soak.InvariantEvacuated},
		{"a call to the other zone", soak.History{Attempts: []soak.Attempt{served}, Arrivals: []soak.Arrival{{ID: "a", Server: 1, At: 10500 * time.Millisecond}}, Evacuations: leaving}, ""},
		{"a call that began before the evacuation", soak.History{Attempts: modified(served, func(a *soak.Attempt) { a.Began = 7 * second }), Arrivals: []soak.Arrival{{ID: "a", Server: 2, At: 10500 * time.Millisecond}}, Evacuations: leaving}, ""},
		{"three calls in a second at a cold server", soak.History{Attempts: []soak.Attempt{repeated}, Arrivals: arrivals(3, 10500*time.Millisecond, 10600*time.Millisecond, 11400*time.Millisecond), ColdPeriods: leaving}, soak.InvariantCold},
		{"two calls in a second at a cold server, and a third one later", soak.History{Attempts: []soak.Attempt{repeated}, Arrivals: arrivals(3, 10500*time.Millisecond, 10600*time.Millisecond, 11500*time.Millisecond), ColdPeriods: leaving}, ""},
		{"three calls in a second at a server that is not cold", soak.History{Attempts: []soak.Attempt{repeated}, Arrivals: arrivals(4, 10500*time.Millisecond, 10600*time.Millisecond, 11400*time.Millisecond), ColdPeriods: leaving}, ""},
		{"calls above a server's rate limit", advisoryHistory(soak.LimitServer, 18, 200*time.Millisecond), soak.InvariantRateLimit},
		{"calls within a server's rate limit", advisoryHistory(soak.LimitServer, 17, 200*time.Millisecond), ""},
		{"calls that continue to a draining server", advisoryHistory(soak.DrainInResponses, 8, 500*time.Millisecond), soak.InvariantDraining},
		{"calls to a draining server within the deadline", advisoryHistory(soak.DrainInResponses, 6, 400*time.Millisecond), ""},
		{"as many calls in a pause as allowed", advisoryHistory(soak.PauseServer, 3, 700*time.Millisecond), ""},
		{"more calls in a pause than allowed", advisoryHistory(soak.PauseServer, 4, 600*time.Millisecond), soak.InvariantPause},
		{"more calls in a pause by a box that was suspended", withFault(advisoryHistory(soak.PauseServer, 4, 600*time.Millisecond), soak.Fault{Kind: soak.PauseBox, Start: 13 * second, ActiveFor: second}), ""},
		{"a part that was freed during its fetch", soak.History{BadFetches: []string{"freed"}}, soak.InvariantParts},
		{"a graceful stop that does not end", soak.History{StuckBoxes: 1}, soak.InvariantStops},
		{"rejected long after the last fault", soak.History{Attempts: modified(served, func(a *soak.Attempt) { a.Outcome = soak.NotRun }), FaultsEnd: 4 * second}, soak.InvariantRecovery},
		{"denied for a replaced key long after the last fault", soak.History{Attempts: modified(served, func(a *soak.Attempt) { a.Outcome, a.Version = soak.Denied, 1 }), Versions: versions, FaultsEnd: 4 * second}, ""},
		{"rejected soon after the last fault", soak.History{Attempts: modified(served, func(a *soak.Attempt) { a.Outcome = soak.NotRun }), FaultsEnd: 6 * second}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			if test.history.FaultsEnd == 0 {
				test.history.FaultsEnd = 100 * second
			}
			found := soak.Check(&test.history)
			if test.violated == "" {
				g.Expect(found).To(BeEmpty())
				return
			}
			g.Expect(found).To(HaveLen(1))
			g.Expect(found[0].Invariant).To(Equal(test.violated))
		})
	}
}

// advisoryHistory is a history in which a server has an advisory in its responses from 10 s on. A box
// receives a response at 12.5 s. After that some more calls of the box reach the server, one after each
// interval; for a rate limit they begin 2 s later.
func advisoryHistory(kind soak.Kind, calls int, interval time.Duration) soak.History {
	const informedAt, until = 12500 * time.Millisecond, 30 * second
	history := soak.History{Advisories: []soak.Advisory{{Kind: kind, Server: 3, At: 10 * second, Until: until}}}
	add := func(at time.Duration) {
		id := fmt.Sprint("a-", at)
		history.Attempts = append(history.Attempts, soak.Attempt{ID: id, Box: 1, Incarnation: 1, Began: at, Ended: at, Outcome: soak.CompleteResponse})
		history.Received = append(history.Received, soak.Arrival{ID: id, Server: 3, At: at})
	}
	add(informedAt)
	first := informedAt
	if kind == soak.LimitServer {
		first += 2 * second
	}
	for i := range calls {
		add(first + time.Duration(i+1)*interval)
	}
	return history
}

func withFault(history soak.History, fault soak.Fault) soak.History {
	fault.Target = 1
	history.Faults = append(history.Faults, fault)
	return history
}

func TestPlanIsDeterministic(t *testing.T) {
	g := NewWithT(t)
	cfg := soak.PlanConfig{Seed: 7, Boxes: 4, Servers: 8, LoadDuration: 30 * second, MeanInterval: 500 * time.Millisecond}
	plan := soak.Plan(cfg)
	g.Expect(soak.Plan(cfg)).To(Equal(plan))
	kinds := map[soak.Kind]bool{}
	for seed := range uint64(20) {
		cfg.Seed = seed
		for _, fault := range soak.Plan(cfg) {
			kinds[fault.Kind] = true
			g.Expect(fault.Start).To(BeNumerically("<", cfg.LoadDuration))
		}
	}
	g.Expect(len(kinds)).To(Equal(20), "every kind occurs")
	cfg.RoutineOnly = true
	for _, fault := range soak.Plan(cfg) {
		g.Expect(fault.Kind.IsRoutine()).To(BeTrue())
	}
}

func TestShrinkKeepsNeededFaults(t *testing.T) {
	g := NewWithT(t)
	plan := soak.Plan(soak.PlanConfig{Seed: 7, Boxes: 4, Servers: 8, LoadDuration: 30 * second, MeanInterval: 500 * time.Millisecond})
	first, last := plan[3], plan[len(plan)-2]
	fails := func(faults []soak.Fault) bool {
		return contains(faults, first) && contains(faults, last)
	}
	g.Expect(soak.Shrink(plan, 1000, fails)).To(Equal([]soak.Fault{first, last}))
}

func contains(faults []soak.Fault, wanted soak.Fault) bool {
	for _, fault := range faults {
		if fault == wanted {
			return true
		}
	}
	return false
}
