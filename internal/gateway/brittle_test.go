package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fleet"
)

// burst sends calls without a prompt at the same time to a server with four slots that takes a while for
// each, and returns how many were served and the most that were at work.
func burst(t *testing.T, g *WithT, calls int, duration time.Duration, brittle bool) (served int, maxRunning int64) {
	t.Helper()
	var counts sync.Mutex
	var running, serving atomic.Int64
	most := int64(0)
	f := fleet.New(fleet.Config{})
	startRunner(t, f, "r", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		counts.Lock()
		most = max(most, now)
		counts.Unlock()
		time.Sleep(duration)
		_, _ = w.Write([]byte("answer"))
	}))
	if brittle {
		stated := advisory.Advisory{Brittle: advisory.LimitNamed, MaxRefusals: 4}
		f.ApplyAdvisory("r", advisory.Answer{Advisory: stated, Received: time.Now().Add(-time.Second)})
	}
	c := promptCatalog(g)
	protocol := plainProtocol{newPlanProtocol()}
	protocol.info.Prompt = nil
	gateway := promptGateway(protocol, f, emptyIndex(c), c)
	var clients sync.WaitGroup
	for range calls {
		clients.Go(func() {
			recorder := httptest.NewRecorder()
			gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
			if recorder.Code == http.StatusOK {
				serving.Add(1)
			}
		})
	}
	clients.Wait()
	return int(serving.Load()), most
}

// Guards against calls that are refused while the room of brittle servers becomes free within a part of
// their objective.
func TestCallsWithoutPromptsWaitForRoomAtBrittleServers(t *testing.T) {
	g := NewWithT(t)
	served, most := burst(t, g, 8, 20*time.Millisecond, true)
	g.Expect(served).To(Equal(8))
	g.Expect(most).To(BeNumerically("<=", 4))
}

// They wait for a fifth of their objective of a second at most.
func TestCallsWithoutPromptsAreRefusedIfBrittleServersStayFull(t *testing.T) {
	g := NewWithT(t)
	served, most := burst(t, g, 8, 700*time.Millisecond, true)
	g.Expect(served).To(Equal(4))
	g.Expect(most).To(BeNumerically("<=", 4))
}

// At servers that state nothing, calls without prompts that exceed the connections of the box are refused
// at once, as ever.
func TestCallsWithoutPromptsWaitAtBrittleServersOnly(t *testing.T) {
	g := NewWithT(t)
	served, _ := burst(t, g, 8, 150*time.Millisecond, false)
	g.Expect(served).To(Equal(minConnections))
}
