package fakeengine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/prefix"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 20

// defaultTokens is the length of the response to a request without max_tokens.
const defaultTokens = 8

// maxTokens is the maximum length of a response in tokens.
const maxTokens = 100_000

// Handler serves the engine protocol, the ledger at /ledger, and sets the faults
// at /faults.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serveStart(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.serveStart(w, r, false) })
	mux.HandleFunc("GET /v1/runs/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/runs/{id}", e.serveCancel)
	mux.HandleFunc("GET /control/status", e.serveStatus)
	mux.HandleFunc("GET /control/cache-events", e.serveCacheEvents)
	mux.HandleFunc("POST /control/orders", e.serveOrder)
	mux.HandleFunc("POST /control/kv/import", e.serveImport)
	mux.HandleFunc("POST /control/kv/export", e.serveExport)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Ledger()) })
	mux.HandleFunc("PUT /faults", e.serveFaults)
	return mux
}

// body is the part of a request body that the engine reads.
type body struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Priority  int             `json:"priority"`
	CacheSalt string          `json:"cache_salt"`
}

func (e *Engine) serveStart(w http.ResponseWriter, r *http.Request, chat bool) {
	faults := e.currentFaults()
	if faults.RejectStatus != 0 {
		writeError(w, faults.RejectStatus, "refused on request")
		return
	}
	var b body
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&b); err != nil {
		writeError(w, http.StatusBadRequest, "the body is not a request")
		return
	}
	weights := e.LoadedVersion(b.Model)
	if weights == "" || (r.Header.Get(engine.HeaderWeights) != "" && r.Header.Get(engine.HeaderWeights) != weights) {
		writeError(w, http.StatusConflict, "the wanted weights are not loaded")
		return
	}
	started := e.newRun(r.Header.Get(engine.HeaderRunID), b, weights, chat)
	e.startRun(started)
	if faults.DropRun {
		panic(http.ErrAbortHandler)
	}
	if faults.NoResponse {
		<-r.Context().Done()
		return
	}
	if faults.MalformedResponse {
		w.Header().Set(engine.HeaderWeights, weights)
		_, _ = io.WriteString(w, "\x00\x01 this is no answer\n\n")
		return
	}
	e.serveRun(w, r, started, b.Stream, 0)
}

func (e *Engine) newRun(id string, b body, weights string, chat bool) *run {
	prompt := []byte(b.Messages)
	if !chat {
		prompt = b.Prompt
	}
	// An invalid salt is replaced by one that no other run shares.
	salt, err := prefix.ParseSalt(b.CacheSalt)
	if err != nil {
		salt = prefix.NewSalt("", id, "")
	}
	tokens := b.MaxTokens
	if tokens <= 0 {
		tokens = defaultTokens
	}
	return &run{
		id: id, model: b.Model, weights: weights, priority: b.Priority, chat: chat,
		created: time.Now().Unix(), prompt: prompt, chain: prefix.NewChain(salt, prompt), tokens: min(tokens, maxTokens),
	}
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	found, ok := e.findRun(r.PathValue("id"))
	if !ok {
		writeError(w, http.StatusNotFound, "no such run")
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("starting_after"))
	if err != nil {
		writeError(w, http.StatusBadRequest, "starting_after is no number")
		return
	}
	e.serveRun(w, r, found, r.URL.Query().Get("stream") == "true", after+1)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.Cancel(r.PathValue("id")) {
		writeError(w, http.StatusNotFound, "no such run")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request, started *run, stream bool, next int) {
	weights := started.weights
	if e.currentFaults().WrongWeights {
		weights += "-other"
	}
	w.Header().Set(engine.HeaderWeights, weights)
	if !stream {
		e.serveUnstreamed(w, r, started)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	sender := &sender{w: w, engine: e}
	sender.flush()
	for {
		chunks, done, changed := started.chunksFrom(next)
		for i, chunk := range chunks {
			sender.send(next+i, chunk)
		}
		next += len(chunks)
		sender.flush()
		if done {
			sender.sendDelayed()
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.lifetime.Done():
			return
		}
	}
}

func (e *Engine) serveUnstreamed(w http.ResponseWriter, r *http.Request, started *run) {
	for {
		_, done, changed := started.chunksFrom(0)
		if done {
			w.Header().Set("Content-Type", "application/json")
			if e.shouldBreak(1) {
				w.Header().Set("Content-Length", strconv.Itoa(len(started.body)))
				_, _ = w.Write(started.body[:len(started.body)/2])
				(&sender{w: w}).flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write(started.body)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.lifetime.Done():
			return
		}
	}
}

// sender writes chunks to a connection and injects the faults of the engine.
type sender struct {
	w      http.ResponseWriter
	engine *Engine
	sent   int
	buffer []byte
	// delayed is a chunk that is sent after the next one.
	delayed      []byte
	delayedIndex int
}

func (s *sender) send(index int, chunk []byte) {
	faults := s.engine.currentFaults()
	if s.engine.shouldBreak(s.sent) {
		s.flush()
		panic(http.ErrAbortHandler)
	}
	s.sent++
	if faults.SwapEvery > 0 && index%faults.SwapEvery == faults.SwapEvery-1 && s.delayed == nil {
		s.delayed, s.delayedIndex = chunk, index
		return
	}
	s.write(index, chunk)
	if faults.RepeatEvery > 0 && index%faults.RepeatEvery == faults.RepeatEvery-1 {
		s.write(index, chunk)
	}
	s.sendDelayed()
}

func (s *sender) sendDelayed() {
	if s.delayed == nil {
		return
	}
	held := s.delayed
	s.delayed = nil
	s.write(s.delayedIndex, held)
}

func (s *sender) write(index int, chunk []byte) {
	s.buffer = append(s.buffer[:0], "id: "...)
	s.buffer = strconv.AppendInt(s.buffer, int64(index), 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, chunk...)
	s.buffer = append(s.buffer, "\n\n"...)
	_, _ = s.w.Write(s.buffer)
}

func (s *sender) flush() {
	if flusher, ok := s.w.(http.Flusher); ok {
		flusher.Flush()
	}
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.status())
}

// status returns a load report that is as old as Faults.ReportLag.
func (e *Engine) status() engine.Status {
	now := e.statusNow()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = append(e.reports, timedStatus{at: time.Now(), status: now})
	limit := time.Now().Add(-e.faults.ReportLag)
	for len(e.reports) > 1 && !e.reports[1].at.After(limit) {
		e.reports = e.reports[1:]
	}
	report := e.reports[0].status
	report.Leaving = now.Leaving
	return report
}

func (e *Engine) statusNow() engine.Status {
	waiting := e.slots.waiting()
	last := e.cache.lastSequence()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	status := engine.Status{
		Incarnation: e.incarnation, Sequence: e.sequence, Waiting: waiting,
		QueuedTokens: e.queued, QueuedInstantTokens: e.queuedInstant, Leaving: e.faults.Leaving, LastEvent: last,
	}
	for _, r := range e.runs {
		if !r.isDone() {
			status.Running++
		}
	}
	status.Running -= waiting
	for model, version := range e.weights {
		status.Weights = append(status.Weights, engine.LoadedWeights{Model: model, Version: version, Loading: e.loading[model]})
	}
	return status
}

func (r *run) isDone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "after is no number")
		return
	}
	events := e.cache.eventsAfter(after)
	events.Incarnation = e.incarnation
	if dropEvery := e.currentFaults().DropEventEvery; dropEvery > 0 && !events.Snapshot {
		kept := events.Events[:0]
		for _, event := range events.Events {
			if event.Sequence%int64(dropEvery) != 0 {
				kept = append(kept, event)
			}
		}
		events.Events = kept
	}
	writeJSON(w, http.StatusOK, events)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "the body is not an order")
		return
	}
	if !e.applyOrder(order) {
		writeError(w, http.StatusConflict, "the fence is too old")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func writeError(w http.ResponseWriter, status int, text string) {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
		} `json:"error"`
	}
	body.Error.Message = text
	body.Error.Type = "engine_error"
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
