package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// A server that sends a body without end took memory of the box until the response was 16 MB long, for each
// of its calls. The box passes such a body on while it reads it, and holds little of it while its caller does
// not read.
func TestABodyWithoutEndIsHeldInMemory(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	var sent atomic.Int64
	startRunner(t, f, "r", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for chunk := make([]byte, 32<<10); ; {
			n, err := w.Write(chunk)
			if err != nil {
				return
			}
			sent.Add(int64(n))
		}
	}))
	c := promptCatalog(g)
	box := httptest.NewServer(promptGateway(newPlanProtocol(), f, emptyIndex(c), c))
	defer box.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, box.URL, nil)
	g.Expect(err).NotTo(HaveOccurred())
	request.Host = "example.com"
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusOK), "it is passed on")
	time.Sleep(300 * time.Millisecond)
	before := sent.Load()
	time.Sleep(300 * time.Millisecond)
	g.Expect(sent.Load()).To(Equal(before), "nothing is read while the caller does not read")
	g.Expect(before).To(BeNumerically("<", maxBufferedUnstated+(14<<20)), "what fits into the sockets' buffers besides")
}
