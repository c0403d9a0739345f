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

// keyHash is the SHA-256 hash of the API key "sk-lot-demo".
const keyHash = "f0abdfc4ca5e6b0d7596a74a72885cf9523aff2c8ac2c159c2d7ef17865ce4cb"

// A caller that stops in the middle of the body must not keep the connection open forever, and
// receives an error response.
func TestSlowBodyTimesOut(t *testing.T) {
	g := NewWithT(t)
	entries, err := (&config.File{
		Limits:        config.Limits{BodyBytes: 1000},
		Organisations: []config.Organisation{{Name: "one", KeyHashes: []string{keyHash}}},
	}).Entries()
	g.Expect(err).NotTo(HaveOccurred())
	snapshot, err := config.NewSnapshot(0, entries)
	g.Expect(err).NotTo(HaveOccurred())
	server := New(Config{
		Snapshot: func() *config.Snapshot { return snapshot }, BodyTimeout: 50 * time.Millisecond,
		Settle: settle.New(settle.Config{Logger: zerolog.Nop(), Scope: tally.NoopScope}),
	})
	listening := httptest.NewServer(server.Handler())
	defer listening.Close()
	for _, c := range []struct {
		key  string
		want int
	}{
		{"sk-lot-demo", http.StatusRequestTimeout},
		{"wrong", http.StatusUnauthorized}, // regardless of the body
	} {
		conn, err := net.Dial("tcp", listening.Listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + c.key + "\r\nContent-Length: 100\r\n\r\n{\"model\""))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(c.want))
		g.Expect(response.Header.Get(HeaderOutcome)).To(Equal("not-run"))
		g.Expect(response.Body.Close()).To(Succeed())
		g.Expect(conn.Close()).To(Succeed())
	}
}
