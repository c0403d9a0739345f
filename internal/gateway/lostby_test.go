package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
)

// Streams were cut midway, and no line told those that the box had cut from those that their
// servers had: both had "reason":"stream_broke_off","silent":false.
func TestTheLineOfALostAnswerTellsWhoEndedIt(t *testing.T) {
	tests := []struct {
		name    string
		runner  http.HandlerFunc
		endedBy string
	}{
		{"the server", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, `"ended_by":"server"`},
		{"the box, when the call's time is over", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, `"ended_by":"box"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			startRunner(t, f, "r", test.runner)
			c := promptCatalogFor(g, 300*time.Millisecond)
			gateway := promptGateway(newPlanProtocol(), f, emptyStore(c), c)
			var logged bytes.Buffer
			gateway.cfg.Logger = zerolog.New(&logged).Level(zerolog.InfoLevel)
			gateway.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
			lines := bytes.Split(bytes.TrimSpace(logged.Bytes()), []byte("\n"))
			g.Expect(lines).To(HaveLen(2), "the try's and the call's")
			for _, line := range lines {
				g.Expect(string(line)).To(ContainSubstring(test.endedBy))
				g.Expect(string(line)).To(ContainSubstring(`"retries_saved":`))
			}
			g.Expect(string(lines[1])).To(ContainSubstring(`"configuration":1,`))
			g.Expect(string(lines[1])).To(ContainSubstring(`"configuration_at_end":1`))
		})
	}
}
