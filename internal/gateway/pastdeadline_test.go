package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/fleet"
)

// slowProtocol takes longer to read a request than the request's deadline, as on a box without CPU time.
type slowProtocol struct{ *planProtocol }

func (p slowProtocol) ReadRequest(header http.Header) call.RequestInfo {
	time.Sleep(2 * p.info.MaxWait)
	return p.planProtocol.ReadRequest(header)
}

// A call without a body whose deadline passed before its body was to be read got an empty response with
// status 200 at times, about one in fifty: the read deadline for the body ended the server's check that
// the caller is connected.
func TestACallWithoutABodyIsNotTakenForAbandonedAtItsDeadline(t *testing.T) {
	const callers, callsEach = 8, 150
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	startRunner(t, f, "r", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }))
	c := promptCatalog(g)
	protocol := slowProtocol{newPlanProtocol()}
	protocol.info.MaxWait = time.Millisecond
	box := httptest.NewServer(promptGateway(protocol, f, emptyIndex(c), c))
	t.Cleanup(box.Close)
	var calls sync.WaitGroup
	var empty atomic.Int64
	for range callers {
		calls.Go(func() {
			for range callsEach {
				if body := get(t, g, box.URL); body == "" {
					empty.Add(1)
				}
			}
		})
	}
	calls.Wait()
	g.Expect(empty.Load()).To(BeZero())
}

// get makes a call without a body and returns the body of the response.
func get(t *testing.T, g *WithT, url string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	g.Expect(err).NotTo(HaveOccurred())
	request.Host = "example.com"
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return string(body)
}
