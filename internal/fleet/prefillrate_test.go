package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/placing"
)

// Under light load, 320 of 3,370 long prompts were late. 200 of these had a runner to themselves:
// prompts of more than 24,000 tokens, whose prefill takes 0.6 to 0.9 s. A third of the runners were
// 1.3 times slower, and all were assumed to be equally fast. The median prefill times in the log,
// in milliseconds per 1,000 tokens, were 23.1 to 24.9 at 74 runners, and 29.8 to 32.7 at the
// others.
//
// The test sends prompts of such sizes to 28 runners, of which every third is that slow.

const (
	slowFactor          = 1.3
	firstEventObjective = 800 * time.Millisecond
	// idleFirstEvent is the time to the first event of a prompt without prefill.
	idleFirstEvent = 69 * time.Millisecond
	// millisPerToken and millisPerPair give the prefill time of n tokens: the first applies to each
	// token, the second to each pair of tokens.
	millisPerToken, millisPerPair = 1 / 54.6, 0.248e-6 / 2
)

// prefillRunner is a runner that computes prompts one after the other.
type prefillRunner struct {
	// free has one element while the runner is idle.
	free   chan struct{}
	factor float64
}

func newPrefillRunner(factor float64) *prefillRunner {
	r := &prefillRunner{free: make(chan struct{}, 1), factor: factor}
	r.free <- struct{}{}
	return r
}

func (r *prefillRunner) prefill(tokens float64) {
	<-r.free
	defer func() { r.free <- struct{}{} }()
	millis := r.factor * (tokens*millisPerToken + tokens*tokens*millisPerPair)
	time.Sleep(idleFirstEvent + time.Duration(millis*float64(time.Millisecond)))
}

// simulatePrefill sends prompts to such runners, and returns the share of those with more than
// largerThan tokens that were late.
func simulatePrefill(t *testing.T, mechanisms mechanism.Switches, seed uint64, largerThan float64) (late float64) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		const runners, prompts, meanPause = 28, 900, 36 * time.Millisecond
		random := rand.New(rand.NewPCG(seed, 1))
		f := New(Config{Mechanisms: mechanisms})
		byName := map[string]*prefillRunner{}
		for i := range runners {
			name := fmt.Sprint("r", i)
			byName[name] = newPrefillRunner(1)
			if i%3 == 2 {
				byName[name].factor = slowFactor
			}
			f.Apply([]Update{{Key: name, Offset: 1, Server: &Server{Incarnation: name, Service: "s", Slots: 12, Weights: map[string]int{"m": 1}}}})
		}
		var calls sync.WaitGroup
		var mu sync.Mutex
		large, tooLate := 0, 0
		for number := range prompts {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(meanPause)))
			tokens := min(4260*math.Exp(0.7*random.NormFloat64()-0.245), 17000) + min(12800*math.Exp(0.6*random.NormFloat64()-0.18), 34000)
			began := time.Now()
			hold := f.Choose(Query{
				Service: "s", Model: "m", Load: placing.Query{TieBreaker: uint64(number) * 0x9e3779b97f4a7c15},
				VersionCost: func(int) (float64, bool) { return 0, true }, PrefillWork: func(int) int { return int(tokens) },
			})
			calls.Go(func() {
				byName[hold.Server().Incarnation].prefill(tokens)
				hold.NoteEvent()
				hold.Done(OutcomeServed)
				mu.Lock()
				defer mu.Unlock()
				if tokens > largerThan {
					large++
					if time.Since(began) > firstEventObjective {
						tooLate++
					}
				}
			})
		}
		calls.Wait()
		late = float64(tooLate) / float64(large)
	})
	return late
}

func TestLargePromptsGoToFastRunners(t *testing.T) {
	without, err := mechanism.Parse(string(mechanism.ReadRates))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for seed := range uint64(3) {
		g := NewWithT(t)
		withoutRates, withRates := simulatePrefill(t, without, seed, 24_000), simulatePrefill(t, mechanism.Switches{}, seed, 24_000)
		t.Logf("late share of prompts of more than 24,000 tokens: %.3f, without learned rates: %.3f", withRates, withoutRates)
		g.Expect(withRates).To(BeNumerically("<", withoutRates))
	}
}

func TestLearnPrefillSamples(t *testing.T) {
	tests := []struct {
		name    string
		samples []float64
		least   float64
		most    float64
	}{
		{"none", nil, 0, 0},
		{"one", []float64{0.031}, 0.031, 0.031},
		{"a sample made longer by other work has little weight", []float64{0.024, 0.08}, 0.024, 0.03},
		{"a runner that became slow", []float64{0.024, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05}, 0.04, 0.05},
		{"a runner that is fast again", []float64{0.05, 0.024, 0.024, 0.024}, 0.024, 0.03},
		{"implausible samples", []float64{-1, 0, 1000}, 0, 1 / minPrefillRate},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f := withRunners("r")
			for _, sample := range test.samples {
				f.LearnPrefillSamples([]PrefillSample{{Incarnation: "r", Cost: sample}, {Incarnation: "unknown", Cost: sample}})
			}
			g.Expect(f.servers["r"].prefillCost).To(BeNumerically(">=", test.least))
			g.Expect(f.servers["r"].prefillCost).To(BeNumerically("<=", test.most))
		})
	}
}
