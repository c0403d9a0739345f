package routed_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/config"
)

// Guards against a hedge to an engine that is unresponsive too. Such an engine neither refused the
// call nor ran it, and after 200 ms the attempt at the first engine was cancelled. The first engine
// then answered, but the box no longer waited for it:
//
//	try_lost try=1 reason=no_answer silent=true ended_by=box server=engines/engine-1
//	server_refused try=2 reason=503 server=engines/engine-2
//	call outcome=unknown status=502
func TestACallIsNotHandedToAnEngineThatIsUnresponsiveToo(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	s.configure(g, func(file *config.File) {
		for i := range file.Routes {
			file.Routes[i].ObjectiveMillis, file.Routes[i].MaxServers = 200, 2
		}
	})
	const unresponsive = 2 * time.Second
	stalled := make(chan struct{})
	time.AfterFunc(unresponsive, func() { close(stalled) })
	wait := func(r *http.Request) {
		select {
		case <-stalled:
		case <-r.Context().Done():
		}
	}
	begun := make(chan string, 2)
	for _, name := range []string{"engine-1", "engine-2"} {
		engine := s.servers[name]
		engine.mu.Lock()
		engine.answer = func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodOptions {
				wait(r)
				return
			}
			begun <- name
			wait(r)
			if first := len(begun) < 2; !first {
				w.Header().Set("Cometlock-Outcome", "not-run")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			for id := range 3 {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: event\n\n", id+1) // fails only when the caller has disconnected
			}
		}
		engine.mu.Unlock()
	}
	got := s.send("POST", "engines.example", "/a", "prompt", "Cometlock-Model", "m", "Cometlock-Prompt-Tokens", "300")
	g.Expect(got.status).To(Equal(200))
	g.Expect(begun).To(HaveLen(1), "the other engine has not received the call")
}
