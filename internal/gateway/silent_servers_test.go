// Servers that fall silent, and what callers of them get, for tests of package gateway.

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
	// silentLength is well above the time after which calls of these tests look for another server.
	silentLength = 2 * time.Second
	silentEvents = 4
)

// silentCatalog is promptCatalog with a small objective and some number of servers a call.
func silentCatalog(g *WithT, most int) *catalog.Catalog {
	made, err := catalog.New(catalog.Config{
		Version: 1, Limits: catalog.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 16},
		Services: []catalog.Service{{Name: "r", Engine: &catalog.Engine{CapacityTokens: 100_000, BytesPerToken: 1000}}},
		Routes: []catalog.Route{{
			Name: "prompts", Host: "example.com", PathPrefix: "/", Kind: catalog.Stream, Resumable: true, MaxServers: most,
			Objective: 300 * time.Millisecond, Timeout: 10 * time.Second, Splits: []catalog.Split{{Service: "r", Weight: 1}}, Public: true,
		}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	return made
}

// startSecond enters another server into the fleet; nil is one that cannot be reached.
func startSecond(t *testing.T, f *fleet.Fleet, handler http.HandlerFunc) {
	if handler != nil {
		startRunner(t, f, "second", handler)
		return
	}
	f.Apply([]fleet.Update{{Key: "second", Offset: 1, Server: &fleet.Server{
		Incarnation: "second", Service: "r", Address: unreachable, Slots: 4, Weights: map[string]int{"m": 1},
	}}})
}

func sendEvent(w http.ResponseWriter, by string, number int) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, by)
	_ = http.NewResponseController(w).Flush()
}

// silentFor serves a stream, but is silent for a while before it or after its first event. It
// tells when it was left meanwhile.
func silentFor(length time.Duration, begun bool, left chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		number := 1
		if begun {
			sendEvent(w, "first", number)
			number++
		}
		select {
		case <-time.After(length):
		case <-r.Context().Done():
			if left != nil {
				left <- struct{}{}
			}
			return
		}
		for ; number <= silentEvents; number++ {
			sendEvent(w, "first", number)
		}
	}
}

// serveRest serves all events, of which the caller is to get those that it lacks.
func serveRest(by string, after time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(after)
		for number := 1; number <= silentEvents; number++ {
			sendEvent(w, by, number)
		}
	}
}

func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
func fail(w http.ResponseWriter, _ *http.Request)   { w.WriteHeader(http.StatusInternalServerError) }
func breakOff(http.ResponseWriter, *http.Request)   { panic(http.ErrAbortHandler) }

// wholeFrom is the whole stream, the first event of it by the first server if that had begun.
func wholeFrom(by string, begun bool) string {
	body := ""
	for number := 1; number <= silentEvents; number++ {
		from := by
		if begun && number == 1 {
			from = "first"
		}
		body += fmt.Sprintf("id: %d\ndata: %s\n\n", number, from)
	}
	return body
}

// serveStream makes a call, and gives what its caller got; an answer that is cut says so.
func serveStream(gateway *Gateway) (body string) {
	answer := httptest.NewRecorder()
	defer func() {
		if cut := recover(); cut != nil {
			body = answer.Body.String() + "cut"
		}
	}()
	gateway.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
	return answer.Body.String()
}

func inFlight(f *fleet.Fleet) int {
	total := 0
	for _, load := range f.Loads() {
		total += load.InFlight
	}
	return total
}

// lockedBuffer takes the lines of several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// plainProtocol is planProtocol for calls without a prompt.
type plainProtocol struct{ *planProtocol }

func (plainProtocol) WriteHandover(http.Header, call.Handover) {}
