// Test helpers: servers that stall, and the responses that their callers get.

package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fleet"
)

const (
	// stallDuration is well above the time after which calls of these tests look for another
	// server.
	stallDuration = 2 * time.Second
	streamEvents  = 4
)

// resumableCatalog is promptCatalog with a short objective and a given number of servers for a
// call.
func resumableCatalog(g *WithT, maxServers int) *catalog.Catalog {
	return resumableCatalogWith(g, maxServers, 300*time.Millisecond)
}

// resumableCatalogWith is resumableCatalog with another objective.
func resumableCatalogWith(g *WithT, maxServers int, objective time.Duration) *catalog.Catalog {
	made, err := catalog.New(catalog.Config{
		Version: 1, Limits: catalog.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 16},
		Services: []catalog.Service{{Name: "r", Engine: &catalog.Engine{CapacityTokens: 100_000, BytesPerToken: 1000}}},
		Routes: []catalog.Route{{
			Name: "prompts", Host: "example.com", PathPrefix: "/", Kind: catalog.Stream, Resumable: true, MaxServers: maxServers,
			Objective: objective, Timeout: 10 * time.Second, Splits: []catalog.Split{{Service: "r", Weight: 1}}, Public: true,
		}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	return made
}

// startSecond adds another server to the fleet; with a nil handler it is unreachable.
func startSecond(t *testing.T, f *fleet.Fleet, handler http.HandlerFunc) {
	if handler != nil {
		startRunner(t, f, "second", handler)
		return
	}
	f.Apply([]fleet.Update{{Key: "second", Offset: 1, Server: &fleet.Server{
		Incarnation: "second", Service: "r", Address: unreachableAddress, Slots: 4, Weights: map[string]int{"m": 1},
	}}})
}

func sendEvent(w http.ResponseWriter, by string, number int) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, by)
	_ = http.NewResponseController(w).Flush()
}

// stallingStream serves a stream that stalls before its first event, or after it if started is set.
// It sends to cancelled if the call is cancelled meanwhile.
func stallingStream(length time.Duration, started bool, cancelled chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		number := 1
		if started {
			sendEvent(w, "first", number)
			number++
		}
		select {
		case <-time.After(length):
		case <-r.Context().Done():
			if cancelled != nil {
				cancelled <- struct{}{}
			}
			return
		}
		for ; number <= streamEvents; number++ {
			sendEvent(w, "first", number)
		}
	}
}

// serveEvents serves all events; the caller gets those that it does not have yet.
func serveEvents(by string, after time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(after)
		for number := 1; number <= streamEvents; number++ {
			sendEvent(w, by, number)
		}
	}
}

func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

func fail(w http.ResponseWriter, _ *http.Request)        { w.WriteHeader(http.StatusInternalServerError) }
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// fullStream is the complete stream, with the first event from the first server if that one had
// started.
func fullStream(by string, started bool) string {
	body := ""
	for number := 1; number <= streamEvents; number++ {
		from := by
		if started && number == 1 {
			from = "first"
		}
		body += fmt.Sprintf("id: %d\ndata: %s\n\n", number, from)
	}
	return body
}

// serveStream makes a call and returns the body that its caller got, with "cut" appended if the
// response was aborted.
func serveStream(gateway *Gateway) (body string) {
	recorder := httptest.NewRecorder()
	defer func() {
		if cut := recover(); cut != nil {
			body = recorder.Body.String() + "cut"
		}
	}()
	gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
	return recorder.Body.String()
}

func inFlight(f *fleet.Fleet) int {
	total := 0
	for _, load := range f.Loads() {
		total += load.InFlight
	}
	return total
}

// syncBuffer is a log buffer for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// plainProtocol is planProtocol for calls without a prompt.
type plainProtocol struct{ *planProtocol }

func (plainProtocol) WriteForwardInfo(http.Header, call.ForwardInfo) {}
