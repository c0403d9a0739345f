package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/quarantine"
)

// sharedPart is the fingerprint of the shared part of the prompts of these tests.
func sharedPart() fingerprint.Fingerprint {
	return fingerprint.OfPart(fingerprint.Part{Service: "r", Model: "m", ID: "shared"})
}

// newPartGateway is newCrashGateway with a set for parts.
func newPartGateway(g *WithT) *crashGateway {
	c := newCrashGateway(g, false)
	c.cfg.PartQuarantine = quarantine.New(quarantine.Config{Threshold: quarantine.PartThreshold, OnChange: func(change quarantine.Change) {
		if change.Held {
			c.CancelPart(change.Request)
		}
	}})
	return c
}

// recordPartCrashes records that servers crashed while they ran calls with the shared part.
func (c *crashGateway) recordPartCrashes(count int) {
	for incarnation := range uint64(count) {
		c.cfg.PartQuarantine.NoteCrash(quarantine.Crash{Request: sharedPart(), Incarnation: incarnation})
	}
}

// A call with a part that crashes servers is refused at once, as not run.
func TestACallWithAHeldPartReachesAServer(t *testing.T) {
	g := NewWithT(t)
	e := newPartGateway(g)
	startRunner(t, e.fleet, "r", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the call reached a server") }))
	e.recordPartCrashes(quarantine.PartThreshold)
	response := e.call()
	g.Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Body.String()).To(ContainSubstring(reasonCrashesServers))
}

// What the log has of what is held may arrive just after the start of a box. A call must not be sent before.
func TestACallIsSentBeforeWhatIsHeldIsKnown(t *testing.T) {
	g := NewWithT(t)
	e := newPartGateway(g)
	startRunner(t, e.fleet, "r", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the call reached a server") }))
	e.cfg.AwaitQuarantine = func(context.Context) { e.recordPartCrashes(quarantine.PartThreshold) }
	g.Expect(e.call().Body.String()).To(ContainSubstring(reasonCrashesServers))
}

// A call that is under way at a server when its part comes to be held is cancelled, so that the server may
// be spared.
func TestACallUnderWayCrashesItsServerAfterItsPartIsHeld(t *testing.T) {
	g := NewWithT(t)
	e := newPartGateway(g)
	reached, cancelled := make(chan struct{}), make(chan struct{})
	startRunner(t, e.fleet, "r", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(reached)
		<-r.Context().Done()
		close(cancelled)
	}))
	time.AfterFunc(50*time.Millisecond, func() {
		<-reached
		e.recordPartCrashes(quarantine.PartThreshold)
	})
	g.Expect(e.call().Code).To(Equal(http.StatusBadGateway), "it may have run")
	g.Eventually(cancelled).Should(BeClosed())
}

// The second try of a call carries its parts to another server. After a crash under a part under which
// another server has crashed, there is none; after a first crash there is.
func TestASecondTryCarriesASuspectedPartToAnotherServer(t *testing.T) {
	for _, crashes := range []int{0, 1} {
		g := NewWithT(t)
		e := newPartGateway(g)
		c := resumableCatalog(g, 2)
		e.cfg.Catalog = func() *catalog.Catalog { return c }
		e.recordPartCrashes(crashes)
		arrivals := make(chan struct{}, 10)
		for _, name := range []string{"a", "b"} {
			startRunner(t, e.fleet, name, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				arrivals <- struct{}{}
				panic(http.ErrAbortHandler)
			}))
		}
		e.cfg.ConfirmCrash = confirmPartCrash(e)
		g.Expect(e.call().Code).To(Equal(http.StatusBadGateway))
		g.Expect(arrivals).To(HaveLen(2 - crashes))
	}
}

// The last part of a prompt is specific to its request; the others are the same for all organisations that
// share KV cache.
func TestWhichPartsOfAPromptAreCounted(t *testing.T) {
	g := NewWithT(t)
	x := &exchange{service: &catalog.Service{Name: "r"}}
	g.Expect(x.partFingerprints()).To(BeEmpty(), "a call without a prompt")
	x.info.Prompt = &call.Prompt{Model: "m", Parts: []call.Part{{ID: "shared"}, {ID: "own"}}}
	g.Expect(x.partFingerprints()).To(Equal([]fingerprint.Fingerprint{sharedPart()}))
	x.organisation = &catalog.Organisation{Name: "north"}
	g.Expect(x.partFingerprints()).To(Equal([]fingerprint.Fingerprint{sharedPart()}))
	x.organisation.Isolated = true
	g.Expect(x.partFingerprints()).NotTo(Equal([]fingerprint.Fingerprint{sharedPart()}))
	x.info.Prompt.Parts = nil
	g.Expect(x.partFingerprints()).To(BeEmpty())
}

// confirmPartCrash counts each server that breaks off a call as crashed.
func confirmPartCrash(e *crashGateway) func(ctx context.Context, loss crash.BrokenCall) bool {
	return func(_ context.Context, loss crash.BrokenCall) bool {
		for _, part := range loss.Parts {
			e.cfg.PartQuarantine.NoteCrash(quarantine.Crash{Request: part, Incarnation: 100 + uint64(loss.Server.Incarnation[0]), Running: loss.Running})
		}
		return true
	}
}
