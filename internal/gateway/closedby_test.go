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

// Streams were cut, and the log did not distinguish those cut by the box from those cut by their
// servers: both had "reason":"stream_broke_off","silent":false.
func TestTheLogOfALostResponseNamesTheSideThatClosedTheConnection(t *testing.T) {
	tests := []struct {
		name    string
		runner  http.HandlerFunc
		endedBy string
	}{
		{"the server", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, `"ended_by":"server"`},
		{"the box, at the call's deadline", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, `"ended_by":"box"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			startRunner(t, f, "r", test.runner)
			c := promptCatalogWithTimeout(g, 300*time.Millisecond)
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			var logged bytes.Buffer
			gateway.cfg.Logger = zerolog.New(&logged).Level(zerolog.InfoLevel)
			gateway.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
			lines := bytes.Split(bytes.TrimSpace(logged.Bytes()), []byte("\n"))
			g.Expect(lines).To(HaveLen(2), "one for the attempt and one for the call")
			for _, line := range lines {
				g.Expect(string(line)).To(ContainSubstring(test.endedBy))
				g.Expect(string(line)).To(ContainSubstring(`"retries_saved":`))
			}
			g.Expect(string(lines[1])).To(ContainSubstring(`"configuration":1,`))
			g.Expect(string(lines[1])).To(ContainSubstring(`"configuration_at_end":1`))
		})
	}
}
