package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/retrybudget"
)

const (
	longStreams = 24
	// longRunners have room for all streams without crashingRunners of them.
	longRunners     = 12
	crashingRunners = 4
	// longStreamAge is how long the last streams have been running when runners crash.
	longStreamAge = 1500 * time.Millisecond
)

// This test guards against sound parts that are held. Four servers crashed at once, and a part that all streams
// share was held since none had ended shortly before, although the other servers kept sending streams with it.
// Streams that lost their servers must go on at others, and new ones must begin.
func TestAPartOfLongStreamsIsHeldWhenServersCrashTogether(t *testing.T) {
	tests := []struct {
		name string
		// gap is the time between the begins of two streams.
		gap time.Duration
	}{
		{"streams that begin together", 0},
		{"streams that begin one after the other", 75 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			l := startLongStreams(t, g)
			for range longStreams {
				l.callers.Go(l.call)
				time.Sleep(test.gap)
			}
			g.Eventually(l.countBegun, 10*time.Second).Should(Equal(longStreams))
			time.Sleep(longStreamAge)
			l.crash(crashingRunners)
			for range 4 {
				l.callers.Go(l.call)
				time.Sleep(800 * time.Millisecond)
			}
			g.Expect(l.cfg.PartQuarantine.Blocking([]fingerprint.Fingerprint{sharedPart()})).To(BeEmpty())
			l.end()
			l.callers.Wait()
			g.Expect(l.failures).To(BeEmpty())
			g.Expect(l.countBegun()).To(BeNumerically(">=", longStreams+crashingRunners+4), "each runner that crashed had a stream")
		})
	}
}

// longStreamsSetup has runners whose streams go on until end is called.
type longStreamsSetup struct {
	*crashGateway
	ended   chan struct{}
	end     func()
	callers sync.WaitGroup

	mu    sync.Mutex
	begun int
	// used has the runners in the order of their first streams.
	used     []*httptest.Server
	failures []string
}

func startLongStreams(t *testing.T, g *WithT) *longStreamsSetup {
	t.Helper()
	l := &longStreamsSetup{crashGateway: newPartGateway(g), ended: make(chan struct{})}
	l.end = sync.OnceFunc(func() { close(l.ended) })
	configuration := resumableCatalogWith(g, 1+crashingRunners, 3*time.Second) // a stream may go on at a runner that crashes next
	l.cfg.Budget = oneBudget(retrybudget.New(retrybudget.Config{Burst: longStreams}))
	l.cfg.Catalog = func() *catalog.Catalog { return configuration }
	l.cfg.ConfirmCrash = confirmPartCrash(l.crashGateway)
	for i := range longRunners {
		l.startRunner(t, string(rune('a'+i)))
	}
	t.Cleanup(l.end) // before the runners are closed
	return l
}

func (l *longStreamsSetup) startRunner(t *testing.T, name string) {
	t.Helper()
	var runner *httptest.Server
	runner = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.begin(runner)
		l.stream(w, r)
	}))
	t.Cleanup(runner.Close)
	l.fleet.Apply([]fleet.Update{{Key: name, Offset: 1, Server: &fleet.Server{
		Incarnation: name, Service: "r", Address: runner.Listener.Addr().String(), Slots: 4, Weights: map[string]int{"m": 1},
	}}})
}

// begin counts a stream and its runner.
func (l *longStreamsSetup) begin(runner *httptest.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun++
	if !slices.Contains(l.used, runner) {
		l.used = append(l.used, runner)
	}
}

func (l *longStreamsSetup) countBegun() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.begun
}

// stream sends events until the runner crashes or streams are ended.
func (l *longStreamsSetup) stream(w http.ResponseWriter, r *http.Request) {
	for number := 1; ; number++ {
		select {
		case <-r.Context().Done():
			return
		case <-l.ended:
			return
		case <-time.After(20 * time.Millisecond):
			sendEvent(w, "event", number)
		}
	}
}

// crash crashes runners that have streams.
func (l *longStreamsSetup) crash(runners int) {
	l.mu.Lock()
	used := slices.Clone(l.used)
	l.mu.Unlock()
	for _, runner := range used[:runners] {
		_ = runner.Listener.Close()
		runner.CloseClientConnections()
	}
}

// call sends a stream and records whether it was cut or refused.
func (l *longStreamsSetup) call() {
	response := httptest.NewRecorder()
	defer func() {
		cut := recover() // a stream that is cut aborts its connection
		l.mu.Lock()
		defer l.mu.Unlock()
		if cut != nil || response.Code != http.StatusOK {
			l.failures = append(l.failures, fmt.Sprint(response.Code, " ", cut, " ", response.Body))
		}
	}()
	l.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
}

// delayedCaller is a caller that reads slowly.
type delayedCaller struct{ *httptest.ResponseRecorder }

func (w delayedCaller) Write(data []byte) (int, error) {
	time.Sleep(150 * time.Millisecond)
	return w.ResponseRecorder.Write(data)
}

// A server that crashes soon after it began may have sent events that its box reads seconds later, since the
// caller reads slowly. They must not count as a stream that has been running for as long.
func TestEventsThatAreReadLateCountAsRunning(t *testing.T) {
	g := NewWithT(t)
	e := newPartGateway(g)
	var running time.Duration
	e.cfg.ConfirmCrash = func(_ context.Context, loss crash.BrokenCall) bool {
		running = loss.Running
		return true
	}
	event := strings.Repeat("x", 2*streamWindow) // the box reads one after the caller has read the one before
	startRunner(t, e.fleet, "r", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for number := range 10 {
			sendEvent(w, event, number+1)
		}
		panic(http.ErrAbortHandler)
	}))
	writer := delayedCaller{httptest.NewRecorder()}
	began := time.Now()
	g.Expect(func() {
		e.ServeHTTP(writer, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
	}).To(PanicWith(http.ErrAbortHandler))
	g.Expect(time.Since(began)).To(BeNumerically(">", time.Second), "or the box did not wait for its caller")
	g.Expect(running).To(BeNumerically("<", 500*time.Millisecond))
}

// Four servers crash before any stream has the lead that excuses it, and the part that all share comes to be held.
// The streams that go on at other servers must not be cut off, and their ends must release the part.
func TestStreamsInProgressAreCutWhenTheirPartIsHeld(t *testing.T) {
	g := NewWithT(t)
	l := startLongStreams(t, g)
	for range longStreams {
		l.callers.Go(l.call)
	}
	g.Eventually(l.countBegun, 10*time.Second).Should(Equal(longStreams))
	time.Sleep(longStreamAge)
	shared := []fingerprint.Fingerprint{sharedPart()}
	for incarnation := range uint64(quarantine.PartThreshold) {
		l.cfg.PartQuarantine.NoteCrash(quarantine.Crash{Request: sharedPart(), Incarnation: incarnation, Running: time.Minute})
	}
	g.Eventually(func() []fingerprint.Fingerprint { return l.cfg.PartQuarantine.Blocking(shared) }, 10*time.Second).ShouldNot(BeEmpty())
	time.Sleep(200 * time.Millisecond) // until cancelled calls have ended
	l.end()
	l.callers.Wait()
	g.Expect(l.failures).To(BeEmpty())
	g.Expect(l.cfg.PartQuarantine.Blocking(shared)).To(BeEmpty())
}
