// Connections with TLS.

package handover_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/handover"
	"github.com/cometlock/cometlock/internal/testcerts"
	"github.com/cometlock/cometlock/internal/tlsfiles"
)

// loadFiles returns the TLS files of a box with a certificate of an authority.
func loadFiles(t *testing.T, g *WithT, authority testcerts.Authority, serial int64) *tlsfiles.Reloader {
	t.Helper()
	files, err := tlsfiles.Load(authority.Write(g, t.TempDir(), serial))
	g.Expect(err).NotTo(HaveOccurred())
	return files
}

func TestConnectionsWithTLSAreReusedWhileTheyAreOpen(t *testing.T) {
	g := NewWithT(t)
	files := loadFiles(t, g, testcerts.New(g), 1)
	const perConnection = 3
	s := serveWith(t, files.ServerConfig(), func(call int, r *http.Request, c net.Conn) bool {
		// A connection whose call is not yet written when its response has been read is not reused.
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = c.Write([]byte(responseText(r.Header.Get("X-Id"), strings.Repeat("x", 100_000))))
		return call%perConnection != 0
	})
	pool := handover.NewPool(handover.PoolConfig{})
	for call := range 2 * perConnection {
		request := request(s, "a")
		request.TLS = files.ClientConfig
		request.OnConnect = func(enableKeepAlive func() error) { g.Expect(enableKeepAlive()).To(Succeed()) }
		request.Method, request.Body = http.MethodPost, []byte(strings.Repeat("y", 100_000*(call%2)))
		g.Expect(get(pool, request)).To(HaveLen(100_000))
		time.Sleep(50 * time.Millisecond) // the close of the connection arrives
	}
	g.Expect(s.calls.Load()).To(BeEquivalentTo(2 * perConnection))
	g.Expect(s.connections.Load()).To(BeEquivalentTo(2))
}

func TestNothingIsSentToAServerWithoutATrustedCertificate(t *testing.T) {
	g := NewWithT(t)
	own, other := loadFiles(t, g, testcerts.New(g), 1), loadFiles(t, g, testcerts.New(g), 2)
	handle := func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = c.Write([]byte(responseText(r.Header.Get("X-Id"), "x")))
		return true
	}
	for _, s := range []*server{serveWith(t, other.ServerConfig(), handle), serve(t, handle)} {
		request := request(s, "a")
		request.TLS = own.ClientConfig
		_, err := get(handover.NewPool(handover.PoolConfig{}), request)
		g.Expect(errors.Is(err, handover.ErrNotSent)).To(BeTrue(), "%v", err)
		g.Expect(s.calls.Load()).To(BeZero())
	}
}

func TestATLSHandshakeThatHangsEndsBeforeTheCallDoes(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	files := loadFiles(t, g, testcerts.New(g), 1)
	request := handover.Request{Address: listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", TLS: files.ClientConfig}
	began := time.Now()
	_, err = get(handover.NewPool(handover.PoolConfig{}), request)
	g.Expect(errors.Is(err, handover.ErrNotSent)).To(BeTrue(), "%v", err)
	g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
}
