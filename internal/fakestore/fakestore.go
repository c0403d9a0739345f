// Package fakestore stands in for a store box: slots of blocks with generations,
// names, limited room, and faults on request.
package fakestore

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/storebox"
)

// Faults says how the box misbehaves.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// TruncateWrites keeps only the first half of what is written and says nothing.
	TruncateWrites bool `json:"torn"`
	// CorruptReads flips a bit in what is read.
	CorruptReads bool `json:"wrong_bytes"`
	// StaleNames answers a look-up of a freed name with what it was, and reads
	// whatever the slot holds now.
	StaleNames bool `json:"stale_names"`
	// SkipChecks seals anything and reads any generation, as a careless box.
	SkipChecks bool `json:"no_checks"`
	// Delay is added to every read of a block.
	Delay time.Duration `json:"delay"`
}

// Store is the stand-in.
type Store struct {
	mu       sync.Mutex
	faults   Faults
	capacity int64
	used     int64
	slots    []slot
	free     []int64
	names    map[string]storebox.Name
	freed    map[string]storebox.Name
	order    []string // names, the one looked up least lately first
	reads    int
}

type slot struct {
	generation int64
	data       []byte
	sealed     bool
}

// New makes a store with room for so many bytes.
func New(capacity int64) *Store {
	return &Store{capacity: capacity, names: map[string]storebox.Name{}, freed: map[string]storebox.Name{}}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Blocks counts the named blocks, Reads the blocks that were read.
func (s *Store) Blocks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.names)
}

// Reads counts the blocks that were read.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Handler serves the store box's protocol and its faults at /faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/blocks", s.guard(s.serveAllocate))
	mux.HandleFunc("PUT /v1/blocks/{slot}", s.guard(s.serveWrite))
	mux.HandleFunc("POST /v1/blocks/{slot}/seal", s.guard(s.serveSeal))
	mux.HandleFunc("GET /v1/blocks/{slot}", s.guard(s.serveRead))
	mux.HandleFunc("PUT /v1/names/{key}", s.guard(s.serveName))
	mux.HandleFunc("GET /v1/names/{key}", s.guard(s.serveLookUp))
	mux.HandleFunc("GET /v1/names", s.guard(s.serveLeastRecent))
	mux.HandleFunc("DELETE /v1/names/{key}", s.guard(s.serveFree))
	mux.HandleFunc("PUT /faults", s.serveFaults)
	return mux
}

// guard runs a handler under the lock, unless the box is down.
func (s *Store) guard(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		handle(w, r)
	}
}

func (s *Store) serveAllocate(w http.ResponseWriter, _ *http.Request) {
	if s.used >= s.capacity {
		http.Error(w, "full", http.StatusInsufficientStorage)
		return
	}
	number := int64(len(s.slots))
	if len(s.free) > 0 {
		number, s.free = s.free[0], s.free[1:]
	} else {
		s.slots = append(s.slots, slot{generation: 1})
	}
	writeJSON(w, storebox.Slot{Slot: number, Generation: s.slots[number].generation})
}

// find gives the slot of a path.
func (s *Store) find(w http.ResponseWriter, r *http.Request) (*slot, bool) {
	number, err := strconv.ParseInt(r.PathValue("slot"), 10, 64)
	if err != nil || number < 0 || number >= int64(len(s.slots)) {
		http.Error(w, "no such slot", http.StatusNotFound)
		return nil, false
	}
	return &s.slots[number], true
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	held, ok := s.find(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || strconv.FormatInt(held.generation, 10) != r.URL.Query().Get("generation") {
		http.Error(w, "another generation", http.StatusConflict)
		return
	}
	if s.faults.TruncateWrites {
		data = data[:len(data)/2]
	}
	held.data = data
	s.used += int64(len(data))
}

func (s *Store) serveSeal(w http.ResponseWriter, r *http.Request) {
	held, ok := s.find(w, r)
	if !ok {
		return
	}
	var name storebox.Name
	if err := json.NewDecoder(r.Body).Decode(&name); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	digest := sha256.Sum256(held.data)
	whole := held.generation == name.Generation && int64(len(held.data)) == name.Length && bytes.Equal(digest[:], name.Digest)
	if !whole && !s.faults.SkipChecks {
		http.Error(w, "the bytes are not those of the seal", http.StatusConflict)
		return
	}
	held.sealed = true
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	held, ok := s.find(w, r)
	if !ok {
		return
	}
	current := strconv.FormatInt(held.generation, 10) == r.URL.Query().Get("generation") && held.sealed
	if !current && !s.faults.SkipChecks {
		http.Error(w, "another generation", http.StatusConflict)
		return
	}
	s.reads++
	data := bytes.Clone(held.data)
	if s.faults.CorruptReads && len(data) > 0 {
		data[len(data)/2] ^= 1
	}
	delay := s.faults.Delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	_, _ = w.Write(data) // the reader may be gone
}

func (s *Store) serveName(w http.ResponseWriter, r *http.Request) {
	var name storebox.Name
	if err := json.NewDecoder(r.Body).Decode(&name); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	if _, taken := s.names[key]; taken {
		s.release(name.Slot)
		return
	}
	s.names[key] = name
	s.order = append(s.order, key)
}

func (s *Store) serveLookUp(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	name, ok := s.names[key]
	if !ok && s.faults.StaleNames {
		name, ok = s.freed[key]
	}
	if !ok {
		http.Error(w, "no such name", http.StatusNotFound)
		return
	}
	if at := slices.Index(s.order, key); at >= 0 {
		s.order = append(slices.Delete(s.order, at, at+1), key)
	}
	writeJSON(w, name)
}

func (s *Store) serveLeastRecent(w http.ResponseWriter, r *http.Request) {
	count, err := strconv.Atoi(r.URL.Query().Get("least_recent"))
	if err != nil || count < 0 {
		http.Error(w, "least_recent is a number", http.StatusBadRequest)
		return
	}
	writeJSON(w, s.order[:min(count, len(s.order))])
}

func (s *Store) serveFree(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	name, ok := s.names[key]
	if !ok {
		http.Error(w, "no such name", http.StatusNotFound)
		return
	}
	delete(s.names, key)
	s.order = slices.DeleteFunc(s.order, func(other string) bool { return other == key })
	s.freed[key] = name
	s.release(name.Slot)
}

// release raises the generation before the room is free for another block.
func (s *Store) release(freed storebox.Slot) {
	held := &s.slots[freed.Slot]
	held.generation++
	held.sealed = false
	s.used -= int64(len(held.data))
	held.data = nil
	s.free = append(s.free, freed.Slot)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the peer may be gone
}
