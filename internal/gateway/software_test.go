package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/originlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/streamorigin"
)

// A stream whose server crashed or became unresponsive continued at a server of another software version,
// and held events of both.
func TestABrokenStreamContinuesAtAnotherSoftwareVersion(t *testing.T) {
	tests := []struct {
		name string
		// stalls means that the first server becomes unresponsive, rather than crashing.
		stalls bool
		// others are the software versions of the other servers.
		others []string
		want   string
	}{
		{"crash, both versions", false, []string{"v2", "v2", "v1", "v2", "v2"}, fullStream("v1", true)},
		{"crash, only the other version", false, []string{"v2"}, "id: 1\ndata: first\n\ncut"},
		{"crash, servers without a version", false, []string{""}, "id: 1\ndata: first\n\ncut"},
		{"stall, both versions", true, []string{"v2", "v2", "v1", "v2", "v2"}, fullStream("v1", true)},
		{"stall, only the other version", true, []string{"v2"}, fullStream("first", true)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			first := stallingStream(4*time.Second, true, make(chan struct{}, 1))
			if !test.stalls {
				first = func(w http.ResponseWriter, _ *http.Request) {
					sendEvent(w, "first", 1)
					time.Sleep(50 * time.Millisecond) // until the other servers are listed
					panic(http.ErrAbortHandler)
				}
			}
			startVersion(t, f, "first", "v1", first)
			protocol := newPlanProtocol()
			protocol.info.Prompt = largeMemoryPrompt()
			c := resumableCatalog(g, 2)
			gateway := promptGateway(protocol, f, emptyIndex(c), c)
			bodies := make(chan string, 1)
			go func() { bodies <- serveStream(gateway) }()
			g.Eventually(func() int { return inFlight(f) }).Should(Equal(1))
			for i, version := range test.others {
				startVersion(t, f, string(rune('a'+i)), version, serveEvents(version, 0))
			}
			g.Expect(<-bodies).To(Equal(test.want))
		})
	}
}

// A caller that resumes a stream whose version cannot be found, or of which no server is left, is refused at
// once, so that it can begin anew.
func TestAResumedStreamOfAMissingVersionWaits(t *testing.T) {
	tests := []struct {
		name string
		// resumes is the request that began the stream: known, unknown or not named.
		resumes string
		// versions are the software versions of the servers.
		versions []string
		status   int
		reason   string
	}{
		{"a version with a server", "known", []string{"v2", "v1"}, http.StatusOK, ""},
		{"a version without a server", "known", []string{"v2", "v3"}, http.StatusServiceUnavailable, reasonNoVersion},
		{"an unknown version of one", "unknown", []string{"v2"}, http.StatusOK, ""},
		{"an unknown version of several", "unknown", []string{"v1", "v2"}, http.StatusServiceUnavailable, reasonUnknownVersion},
		{"no request named, one version", "", []string{"v2", "v2"}, http.StatusOK, ""},
		{"no request named, several versions", "", []string{"v1", "v2"}, http.StatusServiceUnavailable, reasonUnknownVersion},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			for i, version := range test.versions {
				startVersion(t, f, string(rune('a'+i)), version, serveEvents(version, 0))
			}
			protocol := newPlanProtocol()
			protocol.info.Prompt = largeMemoryPrompt()
			protocol.info.ResumeAfter, protocol.info.Resumes = "1", test.resumes
			c := resumableCatalog(g, 2)
			gateway := promptGateway(protocol, f, emptyIndex(c), c)
			gateway.cfg.Origins = streamorigin.New(streamorigin.Config{Logger: zerolog.Nop(), Others: func() []streamorigin.Box { return nil }, Versions: f.SoftwareVersions})
			gateway.cfg.Origins.Note(streamorigin.KeyOf("", "known"), streamorigin.Origin{Service: "r", Software: "v1", Expires: time.Now().Add(time.Minute)})
			began := time.Now()
			recorder := httptest.NewRecorder()
			gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
			g.Expect(recorder.Code).To(Equal(test.status))
			if test.status == http.StatusOK {
				g.Expect(recorder.Body.String()).To(ContainSubstring("data: " + test.versions[len(test.versions)-1]))
				return
			}
			g.Expect(recorder.Body.String()).To(ContainSubstring(test.reason))
			g.Expect(protocol.failure.RetryAfter).To(Equal(retryAfterBusy))
			g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		})
	}
}

// unreachableLog is a log that a box does not reach.
type unreachableLog struct{ sharedlog.Log }

func (unreachableLog) Bounds(context.Context, sharedlog.Stream) (first, end int64, err error) {
	return 0, 0, sharedlog.ErrRefused
}

// While the log is away, boxes know all versions that can have begun a stream once they have been running for as
// long as its caller waits. Streams of the only version must continue then, also in the first minute of a day.
func TestStreamsOfTheOnlyVersionAreRefusedWhileTheLogIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := fleet.New(fleet.Config{})
		f.Apply([]fleet.Update{{Key: "a", Offset: 1, Server: &fleet.Server{Incarnation: "a", Service: "r", Software: "v1"}}})
		c := resumableCatalog(g, 2)
		protocol := newPlanProtocol()
		protocol.info.Prompt = largeMemoryPrompt()
		protocol.info.ResumeAfter, protocol.info.Resumes = "1", "unknown"
		gateway := promptGateway(protocol, f, emptyIndex(c), c)
		gateway.cfg.Origins = streamorigin.New(streamorigin.Config{
			Logger: zerolog.Nop(), Others: func() []streamorigin.Box { return nil }, Versions: f.SoftwareVersions,
			Reader: originlog.NewReader(originlog.ReaderConfig{Log: unreachableLog{}}),
		})
		refusal := func() string {
			recorder := httptest.NewRecorder()
			gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
			return recorder.Body.String()
		}
		g.Expect(refusal()).To(ContainSubstring(reasonUnknownVersion))
		time.Sleep(10*time.Second + originMargin)
		g.Expect(refusal()).NotTo(ContainSubstring(reasonUnknownVersion))
	})
}

// A caller that resumed a stream without naming it got the rest from the version that had replaced the one that began
// it, if the box had started after that. Records of other streams in the log show the earlier version.
func TestAStreamThatIsNotNamedContinuesAtTheVersionThatReplacedItsOwn(t *testing.T) {
	tests := []struct {
		name string
		// recorded is the software version of another stream of the service, which began shortly before.
		recorded string
		status   int
	}{
		{"another version", "v1", http.StatusServiceUnavailable},
		{"the same version", "v2", http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			log := fakesharedlog.New()
			writer := originlog.NewWriter(originlog.WriterConfig{Log: log})
			go writer.Loop(t.Context())
			g.Expect(writer.Add([]originlog.Origin{{Key: originlog.Key{1}, Service: "r", Software: test.recorded}})).To(BeTrue())
			g.Eventually(log.Underlying().Appends, time.Second).Should(BeNumerically(">=", 1))
			f := fleet.New(fleet.Config{})
			startVersion(t, f, "a", "v2", serveEvents("v2", 0))
			protocol := newPlanProtocol()
			protocol.info.Prompt = largeMemoryPrompt()
			protocol.info.ResumeAfter = "1"
			c := resumableCatalog(g, 2)
			gateway := promptGateway(protocol, f, emptyIndex(c), c)
			gateway.cfg.Origins = streamorigin.New(streamorigin.Config{
				Logger: zerolog.Nop(), Others: func() []streamorigin.Box { return nil }, Versions: f.SoftwareVersions,
				Reader: originlog.NewReader(originlog.ReaderConfig{Log: log}),
			})
			recorder := httptest.NewRecorder()
			gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
			g.Expect(recorder.Code).To(Equal(test.status), recorder.Body.String())
			if test.status != http.StatusOK {
				g.Expect(recorder.Body.String()).To(ContainSubstring(reasonUnknownVersion))
			}
		})
	}
}

// startVersion is startRunner for a software version.
func startVersion(t *testing.T, f *fleet.Fleet, name, version string, handler http.Handler) {
	t.Helper()
	startRunner(t, f, name, handler)
	server := hostedServer(f, name)
	server.Software = version
	f.Apply([]fleet.Update{{Key: name, Offset: 2, Server: &server}})
}

// hostedServer returns the entry of a runner in the fleet.
func hostedServer(f *fleet.Fleet, name string) fleet.Server {
	hold := f.PlaceAt(fleet.Query{Service: "r"}, name)
	defer hold.Done(fleet.OutcomeAbandoned)
	return hold.Server()
}

// A box that gets a forwarded stream continues it at the software version that began it at the first box,
// and the first box continues what the other one began.
func TestAStreamContinuesAtItsVersionThroughOtherBoxes(t *testing.T) {
	t.Run("begun at the first box", func(t *testing.T) {
		g := NewWithT(t)
		var near, servers forwardServers
		var first *forwardBox
		near.start(t, "a", func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			sendEvent(w, "event", 1)
			first.partition(g)
			panic(http.ErrAbortHandler)
		})
		near.entries[0].Software = "v1"
		for i, version := range []string{"v2", "v2", "v1", "v2"} {
			servers.start(t, version+string(rune('a'+i)), serveEventsOf(version))
			servers.entries[i].Software = version
		}
		first = startForwardBox(t, g, forwardBoxConfig{name: "first", servers: near.entries})
		first.forwardTo(startForwardBox(t, g, forwardBoxConfig{name: "second", servers: servers.entries}))
		response := first.send(t.Context(), pathStream, "q", "")
		g.Expect(response.err).NotTo(HaveOccurred())
		g.Expect(response.body).NotTo(ContainSubstring("v2"))
		g.Expect(response.body).To(ContainSubstring("v1"))
	})
	t.Run("begun through another box", func(t *testing.T) {
		g := NewWithT(t)
		var servers, others forwardServers
		servers.start(t, "b", func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			sendEvent(w, "v1", 1)
			panic(http.ErrAbortHandler)
		})
		servers.entries[0].Software = "v1"
		others.start(t, "c", serveEventsOf("v2"))
		others.entries[0].Software = "v2"
		first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: unreachableServers("a")})
		first.forwardTo(startForwardBox(t, g, forwardBoxConfig{name: "second", servers: append(servers.entries, others.entries...)}))
		for range 6 { // the second box chooses either server first
			response := first.send(t.Context(), pathStream, "q", "")
			if response.err == nil {
				g.Expect(response.body).NotTo(ContainSubstring("v1"))
			} else {
				g.Expect(response.body).NotTo(ContainSubstring("v2"))
			}
		}
	})
}

// serveEventsOf is serveEventsAfter with a version in each event.
func serveEventsOf(version string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last := r.Header.Get(testResume)
		sign(w, r)
		for number := 1; number <= streamEvents; number++ {
			if isNewer(last, string(rune('0'+number))) {
				sendEvent(w, version, number)
			}
		}
	}
}
