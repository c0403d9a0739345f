package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
)

// The server of a hedge refused the call after refusalTimeout, when the first server had been left: the
// stream was cut, or the call got a 502, although the first server was about to continue.
func TestALateRefusalOfAHedgeEndsNoCall(t *testing.T) {
	const silence, refusedAfter = 2 * time.Second, 300 * time.Millisecond
	for _, started := range []bool{false, true} {
		t.Run(fmt.Sprintf("started %t", started), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			startRunner(t, f, "first", stallingStream(silence, started, nil))
			c := resumableCatalog(g, 2)
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			var logged syncBuffer
			gateway.cfg.Logger = zerolog.New(&logged)
			bodies := make(chan string, 1)
			go func() { bodies <- serveStream(gateway) }()
			g.Eventually(func() int { return inFlight(f) }).Should(Equal(1))
			startSecond(t, f, func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(refusedAfter)
				refuse(w, r)
			})
			g.Expect(<-bodies).To(Equal(fullStream("first", started)), logged.String)
		})
	}
}
