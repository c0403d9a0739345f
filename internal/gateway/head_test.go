package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// The response to a HEAD request has no body. That counted as a stream without an event, which is a lost
// response, and replaced the length that the server had stated by zero.
func TestAHeadRequestGetsItsServersResponse(t *testing.T) {
	tests := []struct{ name, header, value string }{
		{"with a length", "Content-Length", "5"},
		{"of a stream", "Content-Type", "text/event-stream"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			startRunner(t, f, "first", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(test.header, test.value)
			}))
			c := resumableCatalog(g, 1)
			server := httptest.NewServer(promptGateway(newPlanProtocol(), f, emptyIndex(c), c))
			t.Cleanup(server.Close)
			request, err := http.NewRequest(http.MethodHead, server.URL+"/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			request.Host = "example.com"
			response, err := http.DefaultClient.Do(request)
			g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			g.Expect(response.StatusCode).To(Equal(http.StatusOK))
			g.Expect(response.Header.Get(test.header)).To(Equal(test.value))
		})
	}
}
