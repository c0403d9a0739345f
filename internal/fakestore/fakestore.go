// Package fakestore simulates a store box. It has block slots with generations,
// names for blocks and a limited capacity, and injects faults on request.
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

// Faults are the faults that the store box injects.
type Faults struct {
	// Down rejects every call.
	Down bool `json:"down"`
	// TruncateWrites stores only the first half of each write without an error.
	TruncateWrites bool `json:"torn"`
	// CorruptReads flips a bit in the data of each read.
	CorruptReads bool `json:"wrong_bytes"`
	// StaleNames resolves freed names to their previous slots. With SkipChecks a read
	// then returns what the slot contains now.
	StaleNames bool `json:"stale_names"`
	// SkipChecks skips the checks of content and generation in seals and reads.
	SkipChecks bool `json:"no_checks"`
	// Delay is added to every read of a block.
	Delay time.Duration `json:"delay"`
}

// Store is a simulated store box.
type Store struct {
	mu       sync.Mutex
	faults   Faults
	capacity int64
	used     int64
	slots    []slot
	free     []int64
	names    map[string]storebox.Name
	freed    map[string]storebox.Name
	lru      []string // names, least recently looked up first
	reads    int
}

type slot struct {
	generation int64
	data       []byte
	sealed     bool
}

// New returns a store with a capacity in bytes.
func New(capacity int64) *Store {
	return &Store{capacity: capacity, names: map[string]storebox.Name{}, freed: map[string]storebox.Name{}}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Blocks returns the number of named blocks.
func (s *Store) Blocks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.names)
}

// Reads returns the number of block reads so far.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Handler serves the protocol of store boxes, and sets the faults at /faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/blocks", s.withLock(s.serveAllocate))
	mux.HandleFunc("PUT /v1/blocks/{slot}", s.withLock(s.serveWrite))
	mux.HandleFunc("POST /v1/blocks/{slot}/seal", s.withLock(s.serveSeal))
	mux.HandleFunc("GET /v1/blocks/{slot}", s.withLock(s.serveRead))
	mux.HandleFunc("PUT /v1/names/{key}", s.withLock(s.serveName))
	mux.HandleFunc("GET /v1/names/{key}", s.withLock(s.serveLookUp))
	mux.HandleFunc("GET /v1/names", s.withLock(s.serveLeastRecent))
	mux.HandleFunc("DELETE /v1/names/{key}", s.withLock(s.serveFree))
	mux.HandleFunc("PUT /faults", s.serveFaults)
	return mux
}

// withLock returns a handler that runs handle with mu held, unless the box is down.
func (s *Store) withLock(handle http.HandlerFunc) http.HandlerFunc {
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

// findSlot returns the slot of the request path, or responds with an error.
func (s *Store) findSlot(w http.ResponseWriter, r *http.Request) (*slot, bool) {
	number, err := strconv.ParseInt(r.PathValue("slot"), 10, 64)
	if err != nil || number < 0 || number >= int64(len(s.slots)) {
		http.Error(w, "no such slot", http.StatusNotFound)
		return nil, false
	}
	return &s.slots[number], true
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	block, ok := s.findSlot(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || strconv.FormatInt(block.generation, 10) != r.URL.Query().Get("generation") {
		http.Error(w, "another generation", http.StatusConflict)
		return
	}
	if s.faults.TruncateWrites {
		data = data[:len(data)/2]
	}
	block.data = data
	s.used += int64(len(data))
}

func (s *Store) serveSeal(w http.ResponseWriter, r *http.Request) {
	block, ok := s.findSlot(w, r)
	if !ok {
		return
	}
	var name storebox.Name
	if err := json.NewDecoder(r.Body).Decode(&name); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	digest := sha256.Sum256(block.data)
	matches := block.generation == name.Generation && int64(len(block.data)) == name.Length && bytes.Equal(digest[:], name.Digest)
	if !matches && !s.faults.SkipChecks {
		http.Error(w, "the bytes are not those of the seal", http.StatusConflict)
		return
	}
	block.sealed = true
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	block, ok := s.findSlot(w, r)
	if !ok {
		return
	}
	current := strconv.FormatInt(block.generation, 10) == r.URL.Query().Get("generation") && block.sealed
	if !current && !s.faults.SkipChecks {
		http.Error(w, "another generation", http.StatusConflict)
		return
	}
	s.reads++
	data := bytes.Clone(block.data)
	if s.faults.CorruptReads && len(data) > 0 {
		data[len(data)/2] ^= 1
	}
	delay := s.faults.Delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	_, _ = w.Write(data) // an error means that the client has disconnected
}

func (s *Store) serveName(w http.ResponseWriter, r *http.Request) {
	var name storebox.Name
	if err := json.NewDecoder(r.Body).Decode(&name); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	if _, exists := s.names[key]; exists {
		s.release(name.Slot)
		return
	}
	s.names[key] = name
	s.lru = append(s.lru, key)
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
	if at := slices.Index(s.lru, key); at >= 0 {
		s.lru = append(slices.Delete(s.lru, at, at+1), key)
	}
	writeJSON(w, name)
}

func (s *Store) serveLeastRecent(w http.ResponseWriter, r *http.Request) {
	count, err := strconv.Atoi(r.URL.Query().Get("least_recent"))
	if err != nil || count < 0 {
		http.Error(w, "least_recent is a number", http.StatusBadRequest)
		return
	}
	writeJSON(w, s.lru[:min(count, len(s.lru))])
}

func (s *Store) serveFree(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	name, ok := s.names[key]
	if !ok {
		http.Error(w, "no such name", http.StatusNotFound)
		return
	}
	delete(s.names, key)
	s.lru = slices.DeleteFunc(s.lru, func(other string) bool { return other == key })
	s.freed[key] = name
	s.release(name.Slot)
}

// release increments the generation of a slot and frees its memory for another block.
func (s *Store) release(freed storebox.Slot) {
	block := &s.slots[freed.Slot]
	block.generation++
	block.sealed = false
	s.used -= int64(len(block.data))
	block.data = nil
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
	_ = json.NewEncoder(w).Encode(body) // an error means that the client has disconnected
}
