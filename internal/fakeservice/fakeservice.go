// Package fakeservice simulates a plain service. It counts the calls that ran by
// the caller's idempotency key, and injects faults on request.
package fakeservice

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults that the service injects.
type Faults struct {
	// LoseResponses is the number of next calls that run but whose response is lost.
	LoseResponses int `json:"lose_answers"`
	// Delay is the time from the start of a call to its response.
	Delay time.Duration `json:"delay"`
	// Status, when set, is the HTTP status of every response.
	Status int `json:"status"`
	// Headers are added to every response.
	Headers map[string]string `json:"headers"`
}

// Service is a simulated plain service.
type Service struct {
	name string

	mu     sync.Mutex
	faults Faults
	runs   map[string]int
	total  int
}

// New returns a service.
func New(name string) *Service { return &Service{name: name, runs: map[string]int{}} }

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Ledger counts the calls that ran.
type Ledger struct {
	// Runs counts the calls by idempotency key.
	Runs map[string]int `json:"runs"`
	// Total counts all calls.
	Total int `json:"total"`
}

// Ledger returns a copy of the counts.
func (s *Service) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Ledger{Runs: maps.Clone(s.runs), Total: s.total}
}

// Handler serves the ledger at /ledger, sets the faults at /faults, and serves calls
// on all other paths.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		// An error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(s.Ledger())
	})
	mux.HandleFunc("PUT /faults", s.serveFaults)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	faults, run := s.recordCall(r.Header.Get("Idempotency-Key"))
	time.Sleep(faults.Delay)
	if faults.LoseResponses > 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Run", fmt.Sprint(run))
	for name, value := range faults.Headers {
		w.Header().Set(name, value)
	}
	if faults.Status != 0 {
		w.WriteHeader(faults.Status)
	}
	// The response starts before the request body is complete, so that both stream.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s organisation=%s run=%d\n", s.name, r.Method, r.URL.Path, r.Header.Get("X-Organisation"), run)
	_, _ = io.Copy(w, r.Body)
}

// recordCall counts a call. It returns the faults for the call and its number.
func (s *Service) recordCall(key string) (Faults, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if key != "" {
		s.runs[key]++
	}
	faults := s.faults
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
	}
	return faults, s.total
}
