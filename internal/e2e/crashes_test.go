package e2e

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/fakeservice"
	"github.com/cometlock/cometlock/internal/testfleet"
)

// replaceAll kills all boxes of a fleet, and returns one that starts after them with empty memory.
func replaceAll(fleet *testfleet.Fleet, boxes int) *testfleet.Box {
	for i := range boxes {
		fleet.Box(i).Kill()
	}
	next, err := fleet.AddBox("zone-a")
	Expect(err).NotTo(HaveOccurred())
	eventuallyReady(next)
	return next
}

// These specs show what is left of what cometlockd promises when all boxes crash at once.
var _ = Describe("A crash of all boxes", func() {
	It("leaves answers that can be resumed by their ID", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-a"}})
		first := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Tell me", 20, true)})
		next := replaceAll(fleet, 2)
		rest := do(next, testfleet.Call{Path: "/v1/answers/" + first.Header.Get("Cometlock-Answer-Id") + "?starting_after=7"})
		Expect(rest.Status).To(Equal(http.StatusOK), rest.Body)
		Expect(testfleet.EventData(rest.Body)).To(Equal(testfleet.EventData(first.Body)[8:]))
		Expect(testfleet.IsComplete(rest.Body)).To(BeTrue())
		_, maxStarts := startCounts(fleet)
		Expect(maxStarts).To(Equal(1), "it is resumed, not run again")
	})

	It("loses no accepted review", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-a"}, Engine: fakeengine.Config{DecodeInterval: 30 * time.Millisecond}})
		var ids []string
		for i := range 6 {
			ids = append(ids, readReview(do(fleet.Box(i%2), newReview(fmt.Sprint("brief ", i), nil))).ID)
		}
		next := replaceAll(fleet, 2)
		for i, id := range ids {
			got := eventuallyCompleted(next, id)
			Expect(got.Output[0].Content[0].Text).To(Equal(wantText(fmt.Sprint("brief ", i), 30)))
		}
	})

	It("makes no call run again that may not be repeated", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-a"}})
		completed, underWay := newKey(), newKey()
		Expect(do(fleet.Box(0), charge(completed, "5 euro")).Status).To(Equal(http.StatusOK))
		for _, service := range services(fleet) {
			service.SetFaults(fakeservice.Faults{Delay: time.Second})
		}
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = fleet.Box(1).Do(charge(underWay, "5 euro")) // its box crashes
		}()
		Eventually(func() int { return chargeCount(fleet, underWay) }, "20s", "5ms").Should(Equal(1))
		next := replaceAll(fleet, 2)
		<-sent
		for _, service := range services(fleet) {
			service.SetFaults(fakeservice.Faults{})
		}
		for range 3 {
			Expect(outcome(do(next, charge(underWay, "5 euro")))).To(Equal(apierror.Unknown))
			Expect(do(next, charge(completed, "5 euro")).Status).To(Equal(http.StatusOK))
		}
		Expect(chargeCount(fleet, underWay)).To(Equal(1))
		Expect(chargeCount(fleet, completed)).To(Equal(1))
	})
})
