package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/partindex"
)

// When the link of a store box turns slow, calls that wait for its parts are late. After several
// late fetches the next call has its prompt recomputed at once.
func TestAPromptIsRecomputedWhenFetchesAreLate(t *testing.T) {
	cases := []struct {
		name  string
		takes time.Duration
		want  string
	}{
		{name: "in time", want: storeAddress},
		{name: "late", takes: 600 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			runner := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(c.takes) // as a runner does that waits for a fetch
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
			})
			f := fleet.New(fleet.Config{Logger: zerolog.Nop()})
			startRunner(t, f, "one", runner)
			configuration := promptCatalog(g)
			index := emptyIndex(configuration)
			index.Apply(storeAddress, report(partindex.Change{Key: partindex.Key{Namespace: "m/1", ID: "shared"}, Tokens: 5000}))
			protocol := newPlanProtocol()
			gateway := promptGateway(protocol, f, index, configuration)
			const calls = 5
			for range calls {
				index.Apply(storeAddress, report())
				serveOne(g, gateway)
			}
			for _, fetched := range protocol.fetches[:calls-1] {
				g.Expect(fetched[0]).To(Equal(storeAddress))
			}
			g.Expect(protocol.fetches[calls-1][0]).To(Equal(c.want))
		})
	}
}
