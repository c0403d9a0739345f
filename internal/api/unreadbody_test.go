package api

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/authenticate"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/pipeline"
	"github.com/cometlock/cometlock/internal/settle"
	"github.com/cometlock/cometlock/internal/zone"
)

// Go's HTTP server reads what a handler leaves of a body before it sends the response, without a time limit.
// A caller that stopped within its body got no response where the box does not need the body.
func TestAResponseDoesNotWaitForAnUnreadBody(t *testing.T) {
	tests := []struct {
		name    string
		request string
		key     string
		status  int
	}{
		{"no such path", "POST /nothing", "sk-lot-demo", http.StatusNotFound},
		{"no such method", "PUT /v1/models", "sk-lot-demo", http.StatusMethodNotAllowed},
		{"no such service", "POST /services/nothing/", "sk-lot-demo", http.StatusNotFound},
		{"a service, with an unknown key", "POST /services/empty/", "wrong", http.StatusUnauthorized},
		{"a service without servers", "POST /services/empty/", "sk-lot-demo", http.StatusServiceUnavailable},
		{"a path that takes no body", "GET /v1/models", "sk-lot-demo", http.StatusOK},
		{"a path that takes no body, with an unknown key", "GET /v1/models", "wrong", http.StatusUnauthorized},
		{"no such answer", "DELETE /v1/answers/nothing", "sk-lot-demo", http.StatusNotFound},
	}
	g := NewWithT(t)
	entries, err := (&config.File{
		Limits:        config.Limits{BodyBytes: 1000},
		Organisations: []config.Organisation{{Name: "one", KeyHashes: []string{keyHash}}},
		PlainServices: []config.PlainService{{Name: "empty"}},
	}).Entries()
	g.Expect(err).NotTo(HaveOccurred())
	snapshot, err := config.NewSnapshot(0, entries)
	g.Expect(err).NotTo(HaveOccurred())
	stages := pipeline.New(pipeline.Config{Stages: []flow.Stage{authenticate.New()}})
	stages.Start(t.Context())
	server := New(Config{
		Snapshot: func() *config.Snapshot { return snapshot }, BodyTimeout: 50 * time.Millisecond, Pipeline: stages,
		Zone: zone.New(zone.Config{}), Settle: settle.New(settle.Config{Logger: zerolog.Nop(), Scope: tally.NoopScope}),
	})
	listening := httptest.NewServer(server.Handler())
	t.Cleanup(listening.Close)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			connection, err := net.Dial("tcp", listening.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer connection.Close()
			_, err = io.WriteString(connection, test.request+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+test.key+"\r\nContent-Length: 100\r\n\r\npart")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(connection.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			g.Expect(response.StatusCode).To(Equal(test.status))
		})
	}
}
