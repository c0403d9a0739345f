package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakeservice"
	"github.com/cometlock/cometlock/internal/testfleet"
)

// Size and mix of the soak test.
const (
	soakRequests  = 100_000
	soakWorkers   = 16
	soakBoxes     = 3
	soakSeed      = 20261202
	chargeShare   = 0.25
	reviewShare   = 0.02
	faultInterval = 150 * time.Millisecond
	soakMaxTries  = 4
)

// soak sends requests while faults are injected and cleared, and compares the answers that callers
// received with the ledgers of the stand-ins.
type soak struct {
	fleet *testfleet.Fleet

	mu           sync.Mutex
	answers      map[string]int // by kind and outcome
	notRun       map[string]bool
	keys         []string
	reviews      map[string]string // prompt by review ID
	wrongAnswers int
	faults       int
	examples     []string
}

// runSoak runs the soak section of the bench.
func runSoak(out io.Writer) error {
	if err := checkRepository(); err != nil {
		return err
	}
	fleet, err := testfleet.Start(testfleet.Config{File: sampleFile, Zones: []string{"zone-a", "zone-b", "zone-a"}, Engine: fakeengine.Config{RunRetention: 5 * time.Second}})
	if err != nil {
		return err
	}
	defer fleet.Close()
	for i := range soakBoxes {
		if err := waitReady(fleet.Box(i)); err != nil {
			return err
		}
	}
	time.Sleep(time.Second) // the boxes read the claim streams
	s := &soak{fleet: fleet, answers: map[string]int{}, notRun: map[string]bool{}, reviews: map[string]string{}}
	began := time.Now()
	s.run()
	if err := s.collectReviews(); err != nil {
		return err
	}
	return s.report(out, time.Since(began))
}

func (s *soak) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var disturbing, working sync.WaitGroup
	disturbing.Go(func() { s.injectFaults(ctx) })
	for worker := range soakWorkers {
		working.Go(func() { s.runWorker(worker) })
	}
	working.Wait()
	cancel()
	disturbing.Wait()
	s.clearFaults()
}

// injectFaults injects one or two faults at a time until ctx ends, and clears them in between.
func (s *soak) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(soakSeed, 99))
	for ctx.Err() == nil {
		for range 1 + random.IntN(2) {
			s.setFault(random)
		}
		time.Sleep(faultInterval)
		s.clearFaults()
		time.Sleep(faultInterval)
	}
}

func (s *soak) setFault(random *rand.Rand) {
	s.mu.Lock()
	s.faults++
	s.mu.Unlock()
	set := s.fleet.StandIns()
	engine := s.randomEngine(random)
	switch random.IntN(9) {
	case 0:
		set.Log().SetFaults(fakelog.Faults{Down: true})
	case 1:
		set.Log().SetFaults(fakelog.Faults{LoseResponses: 5})
	case 2:
		set.Log().SetFaults(fakelog.Faults{LateAppends: 3, Delay: 300 * time.Millisecond})
	case 3:
		set.Log().SetFaults(fakelog.Faults{Delay: 50 * time.Millisecond})
	case 4:
		engine.SetFaults(fakeengine.Faults{BreakAfter: 2, RepeatEvery: 3, SwapEvery: 4})
	case 5:
		engine.SetFaults(fakeengine.Faults{DropRun: true, ForgetRuns: true})
	case 6:
		engine.SetFaults(fakeengine.Faults{RejectStatus: http.StatusServiceUnavailable})
	case 7:
		engine.SetFaults(fakeengine.Faults{Leaving: true})
	case 8:
		set.Service("booking-zone-a-1").SetFaults(fakeservice.Faults{LoseResponses: 3})
		set.Service("booking-zone-b-1").SetFaults(fakeservice.Faults{LoseResponses: 3})
	}
}

func (s *soak) randomEngine(random *rand.Rand) *fakeengine.Engine {
	var runners []string
	for _, server := range s.fleet.StandIns().File().BackendServers {
		if server.Role == config.RoleRunner {
			runners = append(runners, server.Name)
		}
	}
	return s.fleet.StandIns().Engine(runners[random.IntN(len(runners))])
}

func (s *soak) clearFaults() {
	set := s.fleet.StandIns()
	set.Log().SetFaults(fakelog.Faults{})
	for _, server := range set.File().BackendServers {
		switch server.Role {
		case config.RoleRunner:
			set.Engine(server.Name).SetFaults(fakeengine.Faults{})
		case config.RolePlainService:
			set.Service(server.Name).SetFaults(fakeservice.Faults{})
		}
	}
}

func (s *soak) runWorker(worker int) {
	random := rand.New(rand.NewPCG(soakSeed, uint64(worker)))
	for i := range soakRequests / soakWorkers {
		box := s.fleet.Box(random.IntN(soakBoxes))
		switch at := random.Float64(); {
		case at < reviewShare:
			s.review(box, fmt.Sprintf("review %d of %d", i, worker))
		case at < reviewShare+chargeShare:
			s.charge(random)
		default:
			s.chat(box, fmt.Sprintf("question %d of %d", i%50, worker))
		}
	}
}

func (s *soak) count(kind, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[kind+" "+outcome]++
}

func (s *soak) recordWrong(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrongAnswers++
	if len(s.examples) < 5 {
		s.examples = append(s.examples, fmt.Sprintf(format, args...))
	}
}

const soakChunks = 6

func expectedText(text string) string {
	var expected strings.Builder
	for i := range soakChunks {
		expected.WriteString(fakeengine.Word(fmt.Appendf(nil, `[{"role":"user","content":%q}]`, text), i))
	}
	return expected.String()
}

// soakChunk holds the fields of a chunk or answer that are compared.
type soakChunk struct {
	Choices []struct {
		Delta struct{ Content string }
	}
}

func (s *soak) chat(box *testfleet.Box, text string) {
	answer, err := box.Do(testfleet.Call{Path: "/v1/chat/completions", Body: string(requestBody(soakChunks, text))})
	if err != nil {
		s.recordWrong("no answer: %v", err)
		return
	}
	if answer.Status != http.StatusOK {
		s.count("chat", answer.Header.Get("Cometlock-Outcome"))
		return
	}
	if !testfleet.IsComplete(answer.Body) {
		s.count("chat", "cut, and told so")
		if !strings.Contains(answer.Body, `"outcome"`) {
			s.recordWrong("a stream was cut without an error event")
		}
		return
	}
	var got strings.Builder
	for _, data := range testfleet.EventData(answer.Body) {
		var chunk soakChunk
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			got.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	if got.String() != expectedText(text) {
		s.recordWrong("prompt %q: wrong answer %q", text, got.String())
	}
	s.count("chat", "whole")
}

// charge sends a call that must not run twice, and retries it with the same idempotency key at any
// box, as callers do.
func (s *soak) charge(random *rand.Rand) {
	key, err := uuid.NewV7()
	if err != nil {
		return
	}
	outcome := ""
	allNotRun := true
	for range 1 + random.IntN(soakMaxTries) {
		box := s.fleet.Box(random.IntN(soakBoxes))
		answer, err := box.Do(testfleet.Call{
			Method: http.MethodPost, Path: "/services/booking/charges", Key: testfleet.KeyLot,
			Header: map[string]string{"Idempotency-Key": key.String()},
		})
		if err != nil {
			s.recordWrong("no answer: %v", err)
			return
		}
		outcome = answer.Header.Get("Cometlock-Outcome")
		allNotRun = allNotRun && outcome == "not-run"
		if answer.Status == http.StatusOK {
			outcome = "answered"
			break
		}
	}
	s.count("charge", outcome)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = append(s.keys, key.String())
	if allNotRun {
		s.notRun[key.String()] = true
	}
}

func (s *soak) review(box *testfleet.Box, text string) {
	body := fmt.Sprintf(`{"model":"scene-review","background":true,"max_output_tokens":%d,"input":%q}`, soakChunks, text)
	answer, err := box.Do(testfleet.Call{Path: "/v1/responses", Body: body})
	if err != nil {
		s.recordWrong("no answer: %v", err)
		return
	}
	if answer.Status != http.StatusOK {
		s.count("review", answer.Header.Get("Cometlock-Outcome"))
		return
	}
	var accepted struct{ ID string }
	if json.Unmarshal([]byte(answer.Body), &accepted) != nil {
		s.recordWrong("an accepted review has no ID")
		return
	}
	s.count("review", "accepted")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reviews[accepted.ID] = text
}

// reviewWait is how long accepted reviews may take to complete after the last fault.
const reviewWait = 60 * time.Second

// collectReviews fetches every accepted review from box 1, whichever box accepted it.
func (s *soak) collectReviews() error {
	deadline := time.Now().Add(reviewWait)
	for id, text := range s.reviews {
		for {
			answer, err := s.fleet.Box(1).Do(testfleet.Call{Path: "/v1/responses/" + id})
			if err != nil {
				return err
			}
			if strings.Contains(answer.Body, `"status":"completed"`) {
				if !strings.Contains(answer.Body, strings.TrimSpace(expectedText(text))) {
					s.recordWrong("review %q has a wrong answer", text)
				}
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("review %s is lost: %s", id, answer.Body)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (s *soak) report(out io.Writer, took time.Duration) error {
	runs := map[string]int{}
	for _, name := range []string{"booking-zone-a-1", "booking-zone-b-1"} {
		for key, count := range s.fleet.StandIns().Service(name).Ledger().Runs {
			runs[key] += count
		}
	}
	twice, falseNotRun := 0, 0
	for _, key := range s.keys {
		if runs[key] > 1 {
			twice++
		}
		if s.notRun[key] && runs[key] > 0 {
			falseNotRun++
		}
	}
	fmt.Fprintf(out, "seed %d: %d requests from %d callers over %d entry boxes, %d faults set, %.0f s\n", soakSeed, soakRequests, soakWorkers, soakBoxes, s.faults, took.Seconds())
	for _, kind := range []string{"chat whole", "chat cut, and told so", "chat not-run", "chat unknown", "charge answered", "charge not-run", "charge unknown", "charge ran", "review accepted", "review not-run", "review unknown"} {
		fmt.Fprintf(out, "  %-24s %7d\n", kind, s.answers[kind])
	}
	fmt.Fprintf(out, "  keys that ran twice %d, \"not-run\" that ran %d, wrong answers %d, reviews lost 0 of %d\n", twice, falseNotRun, s.wrongAnswers, len(s.reviews))
	if twice+falseNotRun+s.wrongAnswers > 0 {
		return errors.New(strings.Join(append(s.examples, "an invariant was violated"), "; "))
	}
	return nil
}
