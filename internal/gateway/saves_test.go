package gateway

import (
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/partindex"
)

// A runner that refuses a call saves nothing, so the next runner must be asked to save the parts.
func TestAfterARefusalTheNextRunnerSavesTheParts(t *testing.T) {
	g := NewWithT(t)
	var refused sync.Once
	runner := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		status := http.StatusOK
		refused.Do(func() { status = http.StatusServiceUnavailable })
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(status)
		_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
	})
	f := fleet.New(fleet.Config{Logger: zerolog.Nop()})
	for _, name := range []string{"one", "two"} {
		startRunner(t, f, name, runner)
	}
	configuration := promptCatalog(g)
	index := emptyIndex(configuration)
	protocol := newPlanProtocol()
	gateway := promptGateway(protocol, f, index, configuration)
	// A store box that was first seen now may have just restarted, so for a while no plan saves
	// parts there.
	g.Eventually(func() [][]string {
		index.Apply(storeAddress, report())
		return [][]string{index.Plan(partindex.Query{
			Namespace: "m/1", Parts: protocol.info.Prompt.Parts, Save: true, MayFetch: func(string) bool { return true },
		}).Save}
	}, "5s", "20ms").Should(Equal([][]string{{storeAddress, ""}}))
	serveOne(g, gateway)
	g.Expect(protocol.saves).To(Equal([][]string{{storeAddress, ""}, {storeAddress, ""}}))
}
