package fakelog

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cometlock/cometlock/internal/logservice"
)

// faultsPath is the path at which a test or an operator sets the faults of a running
// log.
const faultsPath = "/faults"

// Handler serves the log over HTTP as the platform does, and sets the faults at
// /faults.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.serveRead)
	mux.HandleFunc("PUT "+faultsPath, l.serveFaults)
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, logservice.MaxRecordBytes))
	if err != nil {
		http.Error(w, "the record is too large", http.StatusRequestEntityTooLarge)
		return
	}
	// A record that was received completely is appended even when the client
	// disconnects.
	offset, err := l.Append(context.WithoutCancel(r.Context()), r.PathValue("stream"), data)
	switch {
	case errors.Is(err, logservice.ErrNotAppended):
		http.Error(w, "the log is down", http.StatusServiceUnavailable)
	case err != nil:
		// A lost response is simulated by closing the connection without a response.
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, logservice.AppendResponse{Offset: offset})
	}
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	opts, err := readOptions(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := l.Read(r.Context(), r.PathValue("stream"), opts)
	if expired, ok := errors.AsType[*logservice.ExpiredError](err); ok {
		writeJSON(w, http.StatusGone, logservice.Page{Earliest: expired.Earliest})
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, page)
}

func readOptions(r *http.Request) (logservice.ReadOptions, error) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		return logservice.ReadOptions{}, err
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		return logservice.ReadOptions{}, err
	}
	waitMillis, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		return logservice.ReadOptions{}, err
	}
	return logservice.ReadOptions{From: from, Limit: limit, Wait: time.Duration(waitMillis) * time.Millisecond}, nil
}

func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
