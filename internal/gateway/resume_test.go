package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/evacuation"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/placing"
)

// A stream whose server crashed was cut, although another server had capacity 0.3 s later: calls waited
// for capacity for a fifth of their objective from their arrival, and that time had long passed. The
// log line had "outcome":"broken","reason":"no_server" with "sound":1,"without_memory":1.
func TestABrokenStreamWaitsForCapacityElsewhere(t *testing.T) {
	tests := []struct {
		name string
		// freeAfter is when the other server has capacity.
		freeAfter time.Duration
		served    string
	}{
		{"capacity soon", 300 * time.Millisecond, fullStream("second", true)},
		{"no capacity", time.Hour, "id: 1\ndata: first\n\ncut"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			crash := make(chan struct{})
			startRunner(t, f, "first", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				sendEvent(w, "first", 1)
				<-crash
				panic(http.ErrAbortHandler)
			}))
			c := resumableCatalog(g, 2)
			protocol := newPlanProtocol()
			protocol.info.Prompt = largeMemoryPrompt()
			gateway := promptGateway(protocol, f, emptyIndex(c), c)
			bodies := make(chan string, 1)
			go func() { bodies <- serveStream(gateway) }()
			g.Eventually(func() int { return inFlight(f) }).Should(Equal(1))
			startSecond(t, f, serveEvents("second", 0))
			hold := f.Choose(fleet.Query{
				Service: "r", Model: "m", Exclude: []string{"first"}, Load: placing.Query{Tokens: 99_000},
				PrefillWork: func(int) int { return 0 }, VersionCost: func(int) (float64, bool) { return 0, true },
			})
			g.Expect(hold).NotTo(BeNil())
			time.AfterFunc(100*time.Millisecond, func() {
				close(crash)
				time.AfterFunc(test.freeAfter, func() { hold.Done(fleet.OutcomeServed) })
			})
			began := time.Now()
			g.Expect(<-bodies).To(Equal(test.served))
			g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second), "callers cancel after two seconds")
		})
	}
}

// A broken stream waits for a server even if its service has none at the moment: here their zone is
// evacuated for 300 ms. A new call would be refused at once, but a stream that the caller has a
// part of would be cut.
func TestABrokenStreamWaitsForAServer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	crash := make(chan struct{})
	startRunner(t, f, "first", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sendEvent(w, "first", 1)
		<-crash
		panic(http.ErrAbortHandler)
	}))
	c := resumableCatalog(g, 2)
	protocol := newPlanProtocol()
	protocol.info.Prompt = largeMemoryPrompt()
	gateway := promptGateway(protocol, f, emptyIndex(c), c)
	bodies := make(chan string, 1)
	go func() { bodies <- serveStream(gateway) }()
	g.Eventually(func() int { return inFlight(f) }).Should(Equal(1))
	startSecond(t, f, serveEvents("second", 0))
	evacuate := func(active bool, offset int64) {
		for _, zone := range []string{"", "a", "z"} {
			f.ApplyEvacuation(evacuation.Change{Zone: zone, Evacuate: active, Offset: offset})
		}
	}
	evacuate(true, 1)
	g.Expect(f.Availability("r", nil).HasServers).To(BeFalse())
	close(crash)
	time.AfterFunc(300*time.Millisecond, func() { evacuate(false, 2) })
	g.Expect(<-bodies).To(Equal(fullStream("second", true)))
}
