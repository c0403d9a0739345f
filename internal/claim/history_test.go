package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cometlock/cometlock/internal/claim"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Config{Checks: 300, Steps: 30}) }

// attempt is one request that carries a key.
type attempt struct {
	number  int
	key     claim.Key
	box     int
	startAt time.Duration
	// pause is the time between winning the claim and running.
	pause time.Duration
	// dies says that the process ends instead of running.
	dies bool
	// renounces says that the request could not be handed over.
	renounces bool
}

// claimOutput is what the porcupine model sees of an attempt.
type claimOutput struct {
	verdict claim.Verdict
	answer  int
	failed  bool
}

type operation struct {
	attempt int
	done    bool
	release bool
}

// keyState is the model's state of one key: free, held by an attempt, or done.
type keyState struct {
	held   bool
	holder int
	done   bool
}

// claimModel is what a single copy of the claims would do.
var claimModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		var next []any
		for _, candidate := range stepClaim(state.(keyState), input.(operation), output.(claimOutput)) {
			next = append(next, candidate)
		}
		return next
	},
}).ToModel()

func stepClaim(state keyState, op operation, out claimOutput) []keyState {
	mine := state.held && state.holder == op.attempt && !state.done
	switch {
	case op.done || op.release:
		if !mine {
			return []keyState{state}
		}
		if op.release {
			return []keyState{{}}
		}
		return []keyState{{held: true, holder: op.attempt, done: true}}
	case out.failed:
		// Nobody knows whether the claim got into the log; one that did is
		// renounced, which may get lost as well.
		if state.held {
			return []keyState{state}
		}
		return []keyState{state, {held: true, holder: op.attempt}}
	case out.verdict == claim.Granted && !state.held:
		return []keyState{{held: true, holder: op.attempt}}
	case out.verdict == claim.Held && state.held && !state.done:
		return []keyState{state}
	case out.verdict == claim.Completed && state.done && out.answer == state.holder:
		return []keyState{state}
	default:
		return nil
	}
}

// trial is one random history in virtual time.
type trial struct {
	log    *fakelog.Log
	boxes  []*claim.Service
	begin  time.Time
	mu     sync.Mutex
	runs   map[claim.Key]int
	events map[claim.Key][]porcupine.Operation
	wins   int
}

func (tr *trial) now() int64 { return int64(time.Since(tr.begin)) }

func (tr *trial) record(key claim.Key, op porcupine.Operation) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.events[key] = append(tr.events[key], op)
}

// run makes one attempt from claim to the end.
func (tr *trial) run(a attempt) {
	time.Sleep(a.startAt)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	called := tr.now()
	decision, err := tr.boxes[a.box].Claim(ctx, a.key, claim.Digest{})
	op := porcupine.Operation{ClientId: a.number, Input: operation{attempt: a.number}, Call: called, Return: tr.now()}
	switch {
	case err != nil:
		op.Output = claimOutput{failed: true}
		op.Return = math.MaxInt64
		if errors.Is(err, claim.ErrNotReady) {
			return // nothing was even tried
		}
		tr.record(a.key, porcupine.Operation{ClientId: a.number + 1000, Input: operation{attempt: a.number, release: true}, Output: claimOutput{}, Call: called, Return: math.MaxInt64})
	case decision.Verdict == claim.OutsideWindow:
		return
	default:
		op.Output = claimOutput{verdict: decision.Verdict, answer: decision.Response.Status}
	}
	tr.record(a.key, op)
	if err == nil && decision.Verdict == claim.Granted {
		tr.won(a, decision.ClaimID)
	}
}

func (tr *trial) won(a attempt, id uuid.UUID) {
	tr.mu.Lock()
	tr.wins++
	tr.mu.Unlock()
	time.Sleep(a.pause)
	end := operation{attempt: a.number}
	switch {
	case a.dies:
		return
	case a.renounces:
		tr.boxes[a.box].Release(a.key, id)
		end.release = true
	default:
		tr.mu.Lock()
		tr.runs[a.key]++
		tr.mu.Unlock()
		tr.boxes[a.box].Complete(a.key, id, claim.StoredResponse{Status: a.number, BodyStored: true})
		end.done = true
	}
	tr.record(a.key, porcupine.Operation{ClientId: a.number + 1000, Input: end, Output: claimOutput{}, Call: tr.now(), Return: math.MaxInt64})
}

func drawAttempt(t *rapid.T, number int, keys []claim.Key) attempt {
	pause := rapid.SampledFrom([]time.Duration{0, 0, 10 * time.Millisecond, 20 * time.Second, 3 * time.Hour}).Draw(t, "pause")
	end := rapid.IntRange(0, 5).Draw(t, "end")
	return attempt{
		number: number, key: rapid.SampledFrom(keys).Draw(t, "key"), box: rapid.IntRange(0, 2).Draw(t, "box"),
		startAt: time.Duration(rapid.IntRange(0, 12_000).Draw(t, "start")) * time.Millisecond,
		pause:   pause, dies: end == 0, renounces: end == 1,
	}
}

// disturb sets faults of the log, one after the other.
func (tr *trial) disturb(faults []fakelog.Faults) {
	for _, fault := range faults {
		tr.log.SetFaults(fault)
		time.Sleep(1500 * time.Millisecond)
	}
	tr.log.SetFaults(fakelog.Faults{})
}

func drawFaults(t *rapid.T) fakelog.Faults {
	switch rapid.IntRange(0, 4).Draw(t, "fault") {
	case 0:
		return fakelog.Faults{Down: true}
	case 1:
		return fakelog.Faults{LoseResponses: rapid.IntRange(1, 5).Draw(t, "lose")}
	case 2:
		delay := time.Duration(rapid.IntRange(1, 8000).Draw(t, "late")) * time.Millisecond
		return fakelog.Faults{LateAppends: rapid.IntRange(1, 3).Draw(t, "count"), Delay: delay}
	case 3:
		return fakelog.Faults{Delay: time.Duration(rapid.IntRange(1, 900).Draw(t, "slow")) * time.Millisecond}
	default:
		return fakelog.Faults{}
	}
}

// plan is what a history does, drawn before it begins.
type plan struct {
	attempts []attempt
	faults   []fakelog.Faults
}

func drawPlan(t *rapid.T) plan {
	keys := []claim.Key{newKey("a"), newKey("a"), newKey("b")}
	drawn := plan{faults: rapid.SliceOfN(rapid.Custom(drawFaults), 0, 6).Draw(t, "faults")}
	for number := range rapid.IntRange(2, 20).Draw(t, "attempts") {
		drawn.attempts = append(drawn.attempts, drawAttempt(t, number+1, keys))
	}
	return drawn
}

func (tr *trial) play(p plan) {
	for i := range 3 {
		service := claim.New(claim.Config{Log: tr.log, Incarnation: fmt.Sprint("box-", i), PollWait: 30 * time.Minute, Window: func() time.Duration { return time.Hour }})
		service.Preload()
		tr.boxes = append(tr.boxes, service)
	}
	time.Sleep(time.Second)
	var ended sync.WaitGroup
	ended.Go(func() { tr.disturb(p.faults) })
	for _, a := range p.attempts {
		// Keys are drawn by the real clock, and the history's begins elsewhere.
		a.key.Text = claim.KeyAt(a.key.Text, tr.begin)
		ended.Go(func() { tr.run(a) })
	}
	ended.Wait()
	for _, box := range tr.boxes {
		box.Close()
	}
}

func TestNoKeyEverRunsTwice(t *testing.T) {
	attempts, wins, faults := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var violation string
		synctest.Test(t, func(*testing.T) {
			tr := &trial{log: fakelog.New(), begin: time.Now(), runs: map[claim.Key]int{}, events: map[claim.Key][]porcupine.Operation{}}
			tr.play(p)
			violation = tr.violation()
			wins += tr.wins
		})
		attempts, faults = attempts+len(p.attempts), faults+len(p.faults)
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	t.Logf("%d attempts, %d won, %d faults of the log, 0 violations", attempts, wins, faults)
	NewWithT(t).Expect(wins).To(BeNumerically(">", 100))
}

// violation says what promise a history broke, or nothing.
func (tr *trial) violation() string {
	for key, runs := range tr.runs {
		if runs > 1 {
			return fmt.Sprintf("key %v ran %d times", key, runs)
		}
	}
	for key, events := range tr.events {
		if !porcupine.CheckOperations(claimModel, events) {
			return fmt.Sprintf("the history of key %v is not that of a single copy: %+v", key, events)
		}
	}
	return ""
}

func newKey(organisation string) claim.Key {
	return claim.Key{Organisation: organisation, Text: uuid.Must(uuid.NewV7()).String()}
}
