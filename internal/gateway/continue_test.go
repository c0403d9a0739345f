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

// A stream whose server ended amid it was cut though another server had room 0.3 s later: calls
// wait for room for a fifth of their objective from their arrival on, which was long over. Its
// line had "outcome":"broken","reason":"no_server" with "sound":1,"without_memory":1.
func TestAStreamThatBrokeOffWaitsForRoomElsewhere(t *testing.T) {
	tests := []struct {
		name string
		// freeAfter is when the other server has room.
		freeAfter time.Duration
		served    string
	}{
		{"room soon", 300 * time.Millisecond, wholeFrom("second", true)},
		{"no room", time.Hour, "id: 1\ndata: first\n\ncut"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			breakOffNow := make(chan struct{})
			startRunner(t, f, "first", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				sendEvent(w, "first", 1)
				<-breakOffNow
				panic(http.ErrAbortHandler)
			}))
			c := silentCatalog(g, 2)
			protocol := newPlanProtocol()
			protocol.facts.Prompt = longAnswers()
			gateway := promptGateway(protocol, f, emptyStore(c), c)
			answers := make(chan string, 1)
			go func() { answers <- serveStream(gateway) }()
			g.Eventually(func() int { return inFlight(f) }).Should(Equal(1))
			startSecond(t, f, serveRest("second", 0))
			hold := f.Choose(fleet.Query{
				Service: "r", Model: "m", Exclude: []string{"first"}, Load: placing.Query{Tokens: 99_000},
				PrefillWork: func(int) int { return 0 }, VersionCost: func(int) (float64, bool) { return 0, true },
			})
			g.Expect(hold).NotTo(BeNil())
			time.AfterFunc(100*time.Millisecond, func() {
				close(breakOffNow)
				time.AfterFunc(test.freeAfter, func() { hold.Done(fleet.OutcomeServed) })
			})
			began := time.Now()
			g.Expect(<-answers).To(Equal(test.served))
			g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second), "its caller waits no longer")
		})
	}
}

// A stream whose server ended waits for a server also while its service has none: here their zone is
// evacuated for a moment. A new call is refused at once then, but this one would be cut.
func TestAStreamThatBrokeOffWaitsForAServer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	breakOffNow := make(chan struct{})
	startRunner(t, f, "first", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sendEvent(w, "first", 1)
		<-breakOffNow
		panic(http.ErrAbortHandler)
	}))
	c := silentCatalog(g, 2)
	protocol := newPlanProtocol()
	protocol.facts.Prompt = longAnswers()
	gateway := promptGateway(protocol, f, emptyStore(c), c)
	answers := make(chan string, 1)
	go func() { answers <- serveStream(gateway) }()
	g.Eventually(func() int { return inFlight(f) }).Should(Equal(1))
	startSecond(t, f, serveRest("second", 0))
	evacuate := func(active bool, offset int64) {
		for _, zone := range []string{"", "a", "z"} {
			f.ApplyEvacuation(evacuation.Change{Zone: zone, Evacuate: active, Offset: offset})
		}
	}
	evacuate(true, 1)
	g.Expect(f.Availability("r", nil).HasServers).To(BeFalse())
	close(breakOffNow)
	time.AfterFunc(300*time.Millisecond, func() { evacuate(false, 2) })
	g.Expect(<-answers).To(Equal(wholeFrom("second", true)))
}
