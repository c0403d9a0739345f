package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// A call that a box short of CPU time had delayed for most of its objective was refused, since no server could meet the
// objective any more, although slots were free and the deadline was far away.
func TestADelayedCallGetsALateAnswer(t *testing.T) {
	const tokensPerMilli = 60 // the initial prefill rate
	load := func(millis, inFlight int) fleet.Load {
		return fleet.Load{PendingTokens: millis * tokensPerMilli, InFlight: inFlight}
	}
	tests := []struct {
		name  string
		delay time.Duration // the objective is a second
		loads map[string]fleet.Load
		// server is where the call is placed; empty if it is refused.
		server string
	}{
		{"a free slot", 900 * time.Millisecond, map[string]fleet.Load{"a": load(400, 3)}, "a"},
		{"just before the objective", time.Second - time.Millisecond, map[string]fleet.Load{"a": load(10, 1)}, "a"},
		{"no free slot", 900 * time.Millisecond, map[string]fleet.Load{"a": load(400, 4)}, ""},
		{"more pending prefill than new calls may wait for", 900 * time.Millisecond, map[string]fleet.Load{"a": load(600, 1)}, ""},
		{"a server in time", 500 * time.Millisecond, map[string]fleet.Load{"a": load(350, 3), "b": load(450, 1)}, "a"},
		{"the other server in time", 500 * time.Millisecond, map[string]fleet.Load{"a": load(450, 1), "b": load(350, 3)}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f, c := fleet.New(fleet.Config{}), promptCatalog(g)
				for name, load := range test.loads {
					f.Apply([]fleet.Update{{Key: name, Offset: 1, Server: &fleet.Server{Incarnation: name, Service: "r", Slots: 4, Weights: map[string]int{"m": 1}}}})
					load.Incarnation = name
					f.SetRemoteLoads("other "+name, []fleet.Load{load})
				}
				gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
				x := gateway.newExchange(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
				g.Expect(gateway.accept(x) && gateway.authorise(x) && gateway.readBody(x)).To(BeTrue())
				time.Sleep(test.delay)
				chosen, ok := gateway.placeNext(x)
				g.Expect(ok).To(Equal(test.server != ""))
				g.Expect(time.Since(x.arrived)).To(Equal(test.delay), "it does not wait")
				if ok {
					g.Expect(chosen.hold.Server().Incarnation).To(Equal(test.server))
				}
			})
		})
	}
}
