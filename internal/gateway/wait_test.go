package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/places"
	"github.com/cometlock/cometlock/internal/streamorigin"
)

// A runner's memory takes two prompts of a burst at a time. The others wait for the responses
// before them, and all are served; none displaces another.
func TestABurstWaitsForMemory(t *testing.T) {
	g := NewWithT(t)
	const (
		calls      = 6
		concurrent = 2
		duration   = 30 * time.Millisecond
	)
	var counts sync.Mutex
	running, maxRunning := 0, 0
	f := fleet.New(fleet.Config{})
	startRunner(t, f, "r", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		counts.Lock()
		running++
		maxRunning = max(maxRunning, running)
		counts.Unlock()
		time.Sleep(duration)
		counts.Lock()
		running--
		counts.Unlock()
		_, _ = w.Write([]byte("answer"))
	}))
	c := promptCatalog(g)
	protocol := newPlanProtocol()
	protocol.info.Prompt = largeMemoryPrompt() // of a capacity of 100,000 tokens
	gateway := promptGateway(protocol, f, emptyIndex(c), c)
	var burst sync.WaitGroup
	var served atomic.Int64
	for range calls {
		burst.Go(func() {
			recorder := httptest.NewRecorder()
			gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
			if recorder.Code == http.StatusOK {
				served.Add(1)
			}
		})
	}
	burst.Wait()
	g.Expect(served.Load()).To(BeEquivalentTo(calls))
	g.Expect(maxRunning).To(Equal(concurrent))
}

// If responses take longer than calls may wait, calls that find no capacity are refused after a fifth
// of the objective, without having run.
func TestACallWaitsForAFifthOfItsObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := fleet.New(fleet.Config{})
		f.Apply([]fleet.Update{{Key: "r", Offset: 1, Server: &fleet.Server{Incarnation: "r", Service: "r", Slots: 4, Weights: map[string]int{"m": 1}}}})
		c := promptCatalog(g)
		protocol := newPlanProtocol()
		protocol.info.Prompt = largeMemoryPrompt()
		gateway := promptGateway(protocol, f, emptyIndex(c), c)
		fillMemory(g, f)
		began := time.Now()
		recorder := httptest.NewRecorder()
		gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
		g.Expect(recorder.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(time.Since(began)).To(Equal(200*time.Millisecond), "the objective is a second")
	})
}

// fillMemory places as many prompts at the only runner as fit into its memory, for the whole test.
func fillMemory(g *WithT, f *fleet.Fleet) {
	query := fleet.Query{
		Service: "r", Model: "m", PrefillWork: func(int) int { return 0 }, VersionCost: func(int) (float64, bool) { return 0, true },
		Load: memoryQuery(40_000),
	}
	for range 2 {
		g.Expect(f.Choose(query)).NotTo(BeNil())
	}
}

// largeMemoryPrompt is a prompt that is processed quickly, but takes 40,000 tokens of memory.
func largeMemoryPrompt() *call.Prompt {
	return &call.Prompt{Model: "m", Tokens: 4000, AnswerTokens: 36_000, Parts: []call.Part{{ID: "own", Tokens: 4000}}}
}

// A stream that its caller resumes was refused after the short wait of a new call, although few servers can
// take it and its caller has a part of it. Callers used up their tries within a second.
func TestAResumedStreamWaitsForItsVersion(t *testing.T) {
	tests := []struct {
		name string
		// other is the software version of the other server.
		other string
		held  time.Duration
	}{
		{"several versions", "v2", resumeWait},
		{"one version", "v1", 60 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := fleet.New(fleet.Config{})
				gateway := resumedStreamGateway(g, f, test.other)
				fillMemoryOf(g, f, "a", "b")
				began := time.Now()
				recorder := httptest.NewRecorder()
				gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
				g.Expect(time.Since(began)).To(BeNumerically("~", test.held, 10*time.Millisecond))
			})
		})
	}
}

// fillMemoryOf places as many prompts at some runners as fit into their memory.
func fillMemoryOf(g *WithT, f *fleet.Fleet, names ...string) {
	query := fleet.Query{
		Service: "r", Model: "m", PrefillWork: func(int) int { return 0 }, VersionCost: func(int) (float64, bool) { return 0, true },
		Load: memoryQuery(40_000),
	}
	for _, name := range names {
		for range 2 {
			g.Expect(f.PlaceAt(query, name)).NotTo(BeNil())
		}
	}
}

// A resumed stream whose owner failed while it waited there waited as long again at its own box, and was then
// refused.
func TestAResumedStreamWaitsOnceForItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := fleet.New(fleet.Config{})
		gateway := resumedStreamGateway(g, f, "v2")
		fillMemoryOf(g, f, "a", "b")
		gateway.cfg.Places = places.New(places.Config{
			Fleet: f, Logger: zerolog.Nop(), Active: func() bool { return true }, ReportedAt: func(string) time.Time { return time.Time{} },
			Others: func() []places.Box { return []places.Box{{Box: delegate.Box{Name: "other", Cores: 1}}} },
			Dial: func(context.Context, string) (net.Conn, error) {
				time.Sleep(resumeWait / 2)
				return nil, errors.New("no route")
			},
		})
		began := time.Now()
		gateway.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
		g.Expect(time.Since(began)).To(Equal(resumeWait))
	})
}

// resumedStreamGateway returns a gateway whose callers resume a stream of v1, with a runner "a" of it and a
// runner "b" of another version.
func resumedStreamGateway(g *WithT, f *fleet.Fleet, other string) *Gateway {
	for i, version := range []string{"v1", other} {
		name := string(rune('a' + i))
		f.Apply([]fleet.Update{{Key: name, Offset: int64(i + 1), Server: &fleet.Server{Incarnation: name, Service: "r", Software: version, Slots: 4, Weights: map[string]int{"m": 1}}}})
	}
	protocol := newPlanProtocol()
	protocol.info.Prompt = largeMemoryPrompt()
	protocol.info.ResumeAfter, protocol.info.Resumes = "1", "first"
	c := resumableCatalog(g, 2)
	gateway := promptGateway(protocol, f, emptyIndex(c), c)
	gateway.cfg.Origins = streamorigin.New(streamorigin.Config{Logger: zerolog.Nop(), Others: func() []streamorigin.Box { return nil }, Versions: f.SoftwareVersions})
	gateway.cfg.Origins.Note(streamorigin.KeyOf("", "first"), streamorigin.Origin{Service: "r", Software: "v1", Expires: time.Now().Add(time.Minute)})
	return gateway
}

// A stream whose version takes no calls for longer than the stream may wait must not be held, although the
// runners of another version are free, and its caller must not return before its version takes calls.
func TestAResumedStreamIsRefusedAtOnceIfItsVersionPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := fleet.New(fleet.Config{})
		gateway := resumedStreamGateway(g, f, "v2")
		const pause = 2 * time.Second
		f.ApplyAdvisory("a", advisory.Answer{Advisory: advisory.Advisory{Pause: pause}, Sent: time.Now(), Received: time.Now(), Genuine: true})
		began := time.Now()
		recorder := httptest.NewRecorder()
		gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
		g.Expect(recorder.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(time.Since(began)).To(BeZero())
		g.Expect(gateway.cfg.Protocol.(*planProtocol).failure.RetryAfter).To(BeNumerically(">=", pause))
	})
}
