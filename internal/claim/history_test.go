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

// attempt is one request with an idempotency key.
type attempt struct {
	number  int
	key     claim.Key
	box     int
	startAt time.Duration
	// pause is the time between the grant and the run.
	pause time.Duration
	// crashes means that the process crashes instead of running the request.
	crashes bool
	// releases means that the request could not be sent to a server.
	releases bool
}

// claimOutput is the output of an attempt in the porcupine model.
type claimOutput struct {
	verdict  claim.Verdict
	response int
	failed   bool
}

type operation struct {
	attempt int
	done    bool
	release bool
}

// keyState is the model's state of one key: free, held by an attempt, or completed.
type keyState struct {
	held   bool
	holder int
	done   bool
}

// claimModel is the sequential specification of the claims.
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
		// The claim may or may not have reached the log. If it did, this process releases it,
		// and the release may be lost as well.
		if state.held {
			return []keyState{state}
		}
		return []keyState{state, {held: true, holder: op.attempt}}
	case out.verdict == claim.Granted && !state.held:
		return []keyState{{held: true, holder: op.attempt}}
	case out.verdict == claim.Held && state.held && !state.done:
		return []keyState{state}
	case out.verdict == claim.Completed && state.done && out.response == state.holder:
		return []keyState{state}
	default:
		return nil
	}
}

// history is one random history in virtual time.
type history struct {
	log    *fakelog.Log
	boxes  []*claim.Service
	start  time.Time
	mu     sync.Mutex
	runs   map[claim.Key]int
	events map[claim.Key][]porcupine.Operation
	wins   int
}

func (h *history) now() int64 { return int64(time.Since(h.start)) }

func (h *history) record(key claim.Key, op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events[key] = append(h.events[key], op)
}

// runAttempt plays an attempt from its claim to its outcome.
func (h *history) runAttempt(a attempt) {
	time.Sleep(a.startAt)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	called := h.now()
	decision, err := h.boxes[a.box].Claim(ctx, a.key, claim.Digest{})
	op := porcupine.Operation{ClientId: a.number, Input: operation{attempt: a.number}, Call: called, Return: h.now()}
	switch {
	case err != nil:
		op.Output = claimOutput{failed: true}
		op.Return = math.MaxInt64
		if errors.Is(err, claim.ErrNotReady) {
			return // no claim was appended
		}
		h.record(a.key, porcupine.Operation{ClientId: a.number + 1000, Input: operation{attempt: a.number, release: true}, Output: claimOutput{}, Call: called, Return: math.MaxInt64})
	case decision.Verdict == claim.OutsideWindow:
		return
	default:
		op.Output = claimOutput{verdict: decision.Verdict, response: decision.Response.Status}
	}
	h.record(a.key, op)
	if err == nil && decision.Verdict == claim.Granted {
		h.finishRun(a, decision.ClaimID)
	}
}

func (h *history) finishRun(a attempt, id uuid.UUID) {
	h.mu.Lock()
	h.wins++
	h.mu.Unlock()
	time.Sleep(a.pause)
	end := operation{attempt: a.number}
	switch {
	case a.crashes:
		return
	case a.releases:
		h.boxes[a.box].Release(a.key, id)
		end.release = true
	default:
		h.mu.Lock()
		h.runs[a.key]++
		h.mu.Unlock()
		h.boxes[a.box].Complete(a.key, id, claim.StoredResponse{Status: a.number, BodyStored: true})
		end.done = true
	}
	h.record(a.key, porcupine.Operation{ClientId: a.number + 1000, Input: end, Output: claimOutput{}, Call: h.now(), Return: math.MaxInt64})
}

func drawAttempt(t *rapid.T, number int, keys []claim.Key) attempt {
	pause := rapid.SampledFrom([]time.Duration{0, 0, 10 * time.Millisecond, 20 * time.Second, 3 * time.Hour}).Draw(t, "pause")
	end := rapid.IntRange(0, 5).Draw(t, "end")
	return attempt{
		number: number, key: rapid.SampledFrom(keys).Draw(t, "key"), box: rapid.IntRange(0, 2).Draw(t, "box"),
		startAt: time.Duration(rapid.IntRange(0, 12_000).Draw(t, "start")) * time.Millisecond,
		pause:   pause, crashes: end == 0, releases: end == 1,
	}
}

// injectFaults applies the faults to the log, one after the other.
func (h *history) injectFaults(faults []fakelog.Faults) {
	for _, fault := range faults {
		h.log.SetFaults(fault)
		time.Sleep(1500 * time.Millisecond)
	}
	h.log.SetFaults(fakelog.Faults{})
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

// plan is the input of a history, drawn before it starts.
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

func (h *history) runPlan(p plan) {
	for i := range 3 {
		service := claim.New(claim.Config{Log: h.log, Incarnation: fmt.Sprint("box-", i), PollWait: 30 * time.Minute, Window: func() time.Duration { return time.Hour }})
		service.Preload()
		h.boxes = append(h.boxes, service)
	}
	time.Sleep(time.Second)
	var ended sync.WaitGroup
	ended.Go(func() { h.injectFaults(p.faults) })
	for _, a := range p.attempts {
		// Keys are drawn with the real clock; the history runs on a virtual one.
		a.key.Text = claim.KeyAt(a.key.Text, h.start)
		ended.Go(func() { h.runAttempt(a) })
	}
	ended.Wait()
	for _, box := range h.boxes {
		box.Close()
	}
}

func TestNoKeyEverRunsTwice(t *testing.T) {
	attempts, wins, faults := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var violation string
		synctest.Test(t, func(*testing.T) {
			h := &history{log: fakelog.New(), start: time.Now(), runs: map[claim.Key]int{}, events: map[claim.Key][]porcupine.Operation{}}
			h.runPlan(p)
			violation = h.violation()
			wins += h.wins
		})
		attempts, faults = attempts+len(p.attempts), faults+len(p.faults)
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	t.Logf("%d attempts, %d won, %d faults of the log, 0 violations", attempts, wins, faults)
	NewWithT(t).Expect(wins).To(BeNumerically(">", 100))
}

// violation describes the invariant that the history violated, or is empty.
func (h *history) violation() string {
	for key, runs := range h.runs {
		if runs > 1 {
			return fmt.Sprintf("key %v ran %d times", key, runs)
		}
	}
	for key, events := range h.events {
		if !porcupine.CheckOperations(claimModel, events) {
			return fmt.Sprintf("the history of key %v is not linearizable: %+v", key, events)
		}
	}
	return ""
}

func newKey(organisation string) claim.Key {
	return claim.Key{Organisation: organisation, Text: uuid.Must(uuid.NewV7()).String()}
}
