// Outcomes of calls whose first attempt fails: they are retried, resumed elsewhere, refused, or
// cancelled with their caller.

package routed_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestACallIsRetriedOnlyWhereItsRouteAllows(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Cometlock-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	stall := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for _, c := range []struct {
		name, target string
		answer       http.HandlerFunc
		status       int
		outcome      string
		runs         int
	}{
		{"a repeatable call whose connection breaks", "/page", abort, 502, "unknown", 2},
		{"a run-once call whose connection breaks", "/charges/1", abort, 502, "unknown", 1},
		{"a run-once call that did not run", "/charges/1", refuse, 503, "not-run", 2},
		{"a run-once call that failed", "/charges/1", fail, 500, "", 1},
		{"a run-once call that exceeds its time limit", "/charges/1", stall, 504, "unknown", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := startDeployment(t, g)
			s.answerWith(c.answer, "shop-1", "shop-2")
			got := s.send("POST", "shop.example", c.target, "")
			g.Expect(got.status).To(Equal(c.status))
			g.Expect(got.header.Get("Cometlock-Outcome")).To(Equal(c.outcome))
			g.Expect(got.header.Get("Retry-After") != "").To(Equal(c.outcome == "not-run"))
			g.Expect(s.calls("shop-1", "shop-2")).To(Equal(c.runs))
		})
	}
}

func TestARefusedCallHasRetryAfterInWholeSeconds(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	for _, name := range []string{"shop-1", "shop-2"} {
		s.servers[name].http.Close()
	}
	got := s.send("POST", "shop.example", "/charges/1", "")
	g.Expect(got.status).To(Equal(503))
	g.Expect(got.header.Get("Cometlock-Outcome")).To(Equal("not-run"))
	g.Expect(got.header.Get("Retry-After")).To(MatchRegexp(`^[1-9][0-9]*$`))
}

func TestAStreamResumesAtAnotherServerAfterItsLastEvent(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	var mu sync.Mutex
	var resumed []string
	s.answerWith(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		resumed = append(resumed, r.Header.Get("Last-Event-Id"))
		first := len(resumed) == 1
		mu.Unlock()
		w.Header().Set("Content-Type", "text/event-stream")
		if first {
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	}, "engine-1", "engine-2")
	got := s.send("POST", "engines.example", "/m", "prompt", "Cometlock-Model", "m", "Cometlock-Prompt-Tokens", "300", "Cometlock-Prompt-Parts", "x:100, y:200")
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.body).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"))
	g.Expect(resumed).To(Equal([]string{"", "2"}))
}

func TestACallerDisconnectCancelsItsCallAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	ended := make(chan struct{})
	s.answerWith(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	}, "shop-1", "shop-2")
	connection, err := net.Dial("tcp", s.front.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(connection, "GET /charges/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() int { return s.calls("shop-1", "shop-2") }, 5*time.Second, time.Millisecond).Should(Equal(1))
	g.Expect(connection.Close()).To(Succeed())
	g.Eventually(ended, 5*time.Second).Should(BeClosed())
	g.Eventually(s.router.InFlight, 5*time.Second, time.Millisecond).Should(BeZero())
}
