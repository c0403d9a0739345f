package api

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/settle"
)

// A sender that stops in the middle of its body must not hold a connection for
// ever, and is told.
func TestASlowSenderIsToldAndLetGo(t *testing.T) {
	g := NewWithT(t)
	entries, err := (&config.File{Limits: config.Limits{BodyBytes: 1000}}).Entries()
	g.Expect(err).NotTo(HaveOccurred())
	snapshot, err := config.NewSnapshot(0, entries)
	g.Expect(err).NotTo(HaveOccurred())
	server := New(Config{
		Snapshot: func() *config.Snapshot { return snapshot }, BodyTimeout: 50 * time.Millisecond,
		Settle: settle.New(settle.Config{Logger: zerolog.Nop(), Scope: tally.NoopScope}),
	})
	listening := httptest.NewServer(server.Handler())
	defer listening.Close()
	conn, err := net.Dial("tcp", listening.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"model\""))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
	g.Expect(response.Header.Get(HeaderOutcome)).To(Equal("not-run"))
}
