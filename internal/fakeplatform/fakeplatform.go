// Package fakeplatform simulates the platform's list of boxes. It probes the boxes
// periodically, so its list is as stale as that of the real platform.
package fakeplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/boxlist"
)

// List is a simulated list of boxes.
type List struct {
	lag    time.Duration
	client http.Client

	mu     sync.Mutex
	boxes  []boxlist.Box // all boxes that were ever added
	down   bool
	states map[string]boxlist.State
}

// New returns a list that probes the boxes at an interval of lag.
func New(lag time.Duration, boxes []boxlist.Box) *List {
	return &List{lag: lag, client: http.Client{Timeout: time.Second}, boxes: boxes, states: map[string]boxlist.State{}}
}

// Loop probes the boxes until ctx is done.
func (l *List) Loop(ctx context.Context) {
	ticker := time.NewTicker(l.lag)
	defer ticker.Stop()
	for {
		l.probeAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Add adds a box to those that the list probes.
func (l *List) Add(box boxlist.Box) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.boxes = append(l.boxes, box)
}

// SetDown makes the list unavailable, or available again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *List) allBoxes() []boxlist.Box {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.boxes)
}

func (l *List) probeAll(ctx context.Context) {
	for _, box := range l.allBoxes() {
		state := l.probe(ctx, box.Admin)
		l.mu.Lock()
		l.states[box.Name] = state
		l.mu.Unlock()
	}
}

// probe returns the state of a box, or "" when it does not respond.
func (l *List) probe(ctx context.Context, admin string) boxlist.State {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/live", nil)
	if err != nil {
		return ""
	}
	response, err := l.client.Do(request)
	if err != nil {
		return ""
	}
	_ = response.Body.Close()
	if response.Header.Get("Cometlock-Leaving") != "" {
		return boxlist.Leaving
	}
	return boxlist.Live
}

// Boxes implements boxlist.List. It omits boxes that do not respond.
func (l *List) Boxes(context.Context) ([]boxlist.Box, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, merry.New("the list is down")
	}
	listed := []boxlist.Box{}
	for _, box := range l.boxes {
		if state := l.states[box.Name]; state != "" {
			box.State = state
			listed = append(listed, box)
		}
	}
	return listed, nil
}

// Handler serves the list over HTTP.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+boxlist.Path, func(w http.ResponseWriter, r *http.Request) {
		boxes, err := l.Boxes(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(boxes) // an error means that the client has disconnected
	})
	return mux
}
