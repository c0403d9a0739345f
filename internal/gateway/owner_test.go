package gateway

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/places"
	"github.com/cometlock/cometlock/internal/streamorigin"
)

// countingRunner is a runner that responds at once and counts its calls.
func countingRunner(count *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		count.Add(1)
		_, _ = w.Write([]byte("answer"))
	})
}

// Long prompts are placed by the owner of the runners, and by the box itself where no owner
// responds: a box that crashes or is partitioned must not fail any call.
func TestLongPromptsArePlacedByTheOwner(t *testing.T) {
	tests := []struct {
		name   string
		active bool
		// ownCores is the number of CPU cores of this box; the other one has 1.
		ownCores float64
		logged   string
	}{
		{"this box is the owner", true, 4, `"placed_by":"owner"`},
		{"the owner cannot be reached", true, 0.1, `"placed_by":"this_box","owner_error":"no route"`},
		{"there are no owners", false, 4, `"placed_by":"this_box"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var count atomic.Int64
			f := fleet.New(fleet.Config{})
			startRunner(t, f, "r", countingRunner(&count))
			c := promptCatalog(g)
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			var logged bytes.Buffer
			gateway.cfg.Logger = zerolog.New(&logged)
			gateway.cfg.Places = places.New(places.Config{
				Fleet: f, Logger: zerolog.Nop(), Active: func() bool { return test.active }, ReportedAt: func(string) time.Time { return time.Time{} },
				Self:   places.Box{Box: delegate.Box{Name: "self", Cores: test.ownCores}},
				Others: func() []places.Box { return []places.Box{{Box: delegate.Box{Name: "other", Cores: 1}}} },
				Dial:   func(context.Context, string) (net.Conn, error) { return nil, errors.New("no route") },
			})
			serveOne(g, gateway)
			g.Expect(count.Load()).To(BeEquivalentTo(1))
			g.Expect(logged.String()).To(ContainSubstring(test.logged))
		})
	}
}

// A short prompt is placed by the owner only while the runners are busy: with idle runners that
// would be a needless request for each call.
func TestShortPromptsAskTheOwnerOfBusyRunners(t *testing.T) {
	g := NewWithT(t)
	var count atomic.Int64
	f := fleet.New(fleet.Config{})
	startRunner(t, f, "r", countingRunner(&count)) // with 4 slots
	c := promptCatalog(g)
	protocol := newPlanProtocol()
	protocol.info.Prompt.Tokens, protocol.info.Prompt.Parts = 100, protocol.info.Prompt.Parts[1:]
	gateway := promptGateway(protocol, f, emptyIndex(c), c)
	var asked atomic.Int64
	gateway.cfg.Places = places.New(places.Config{
		Fleet: f, Logger: zerolog.Nop(), Active: func() bool { return true }, ReportedAt: func(string) time.Time { return time.Time{} },
		Others: func() []places.Box { return []places.Box{{Box: delegate.Box{Name: "other", Cores: 1}}} },
		Dial: func(context.Context, string) (net.Conn, error) {
			asked.Add(1)
			return nil, errors.New("no route")
		},
	})
	serveOne(g, gateway)
	g.Expect(asked.Load()).To(BeZero())
	f.SetRemoteLoads("another", []fleet.Load{{Incarnation: "r", InFlight: 2}})
	recorder := httptest.NewRecorder()
	gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
	g.Expect(recorder.Code).To(Equal(http.StatusOK))
	g.Expect(asked.Load()).To(BeEquivalentTo(1))
}

// A stream that had to continue at its software version was placed by its own box, whose view of the
// runners' room is old. Owners gave what became free there to new streams.
func TestAResumedStreamIsPlacedByTheOwner(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	for i, version := range []string{"v2", "v2", "v1", "v2"} {
		startVersion(t, f, string(rune('a'+i)), version, serveEvents(version, 0))
	}
	protocol := newPlanProtocol()
	protocol.info.Prompt = largeMemoryPrompt()
	protocol.info.ResumeAfter, protocol.info.Resumes = "1", "first"
	c := resumableCatalog(g, 2)
	gateway := promptGateway(protocol, f, emptyIndex(c), c)
	var logged bytes.Buffer
	gateway.cfg.Logger = zerolog.New(&logged)
	gateway.cfg.Origins = streamorigin.New(streamorigin.Config{Logger: zerolog.Nop(), Others: func() []streamorigin.Box { return nil }, Versions: f.SoftwareVersions})
	gateway.cfg.Origins.Note(streamorigin.KeyOf("", "first"), streamorigin.Origin{Service: "r", Software: "v1", Expires: time.Now().Add(time.Minute)})
	gateway.cfg.Places = places.New(places.Config{
		Fleet: f, Logger: zerolog.Nop(), Active: func() bool { return true }, ReportedAt: func(string) time.Time { return time.Time{} },
		Self:   places.Box{Box: delegate.Box{Name: "self", Cores: 4}},
		Others: func() []places.Box { return nil },
	})
	recorder := httptest.NewRecorder()
	gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
	g.Expect(recorder.Body.String()).To(ContainSubstring("data: v1"))
	g.Expect(logged.String()).To(ContainSubstring(`"placed_by":"owner"`))
}
