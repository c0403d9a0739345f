package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// Go's HTTP server ends the context of a call when it can read no more from the connection, although the
// caller may still read: it may have closed its own direction only, or the read deadline for its body has
// passed. Such a caller got an empty 200, or a part of a stream as a complete one.
func TestAnUnansweredCallNeverLooksServed(t *testing.T) {
	const noBody, wholeBody, partOfBody = "Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\nhello", "Content-Length: 5\r\n\r\nhel"
	tests := []struct {
		name    string
		sent    string
		started bool
	}{
		{"half closed before the answer", noBody, false},
		{"half closed before the answer, with a body", wholeBody, false},
		{"half closed amid the body", partOfBody, false},
		{"half closed amid a stream", noBody, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			startRunner(t, f, "first", stallingStream(time.Second, test.started, nil))
			c := resumableCatalog(g, 1)
			server := httptest.NewServer(promptGateway(newPlanProtocol(), f, emptyIndex(c), c))
			t.Cleanup(server.Close)
			connection, err := net.Dial("tcp", server.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer connection.Close()
			_, err = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: example.com\r\n"+test.sent)
			g.Expect(err).NotTo(HaveOccurred())
			time.AfterFunc(200*time.Millisecond, func() { _ = connection.(*net.TCPConn).CloseWrite() })
			g.Expect(connection.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if test.started {
				g.Expect(err).To(MatchError(io.ErrUnexpectedEOF), "the stream looks complete: %q", body)
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(BeNumerically(">=", http.StatusBadRequest), "%q", body)
		})
	}
}
