package e2e

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakeservice"
	"github.com/cometlock/cometlock/internal/testfleet"
)

var _ = Describe("Routes of the configuration file", func() {
	desk := testfleet.Call{Host: "booking.example", Path: "/desk/7?a=1", Body: "hello"}

	It("serve calls by host and path in addition to the standard paths", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-b"}})
		for i := range 2 {
			answer := do(fleet.Box(i), desk)
			Expect(answer.Status).To(Equal(200))
			Expect(answer.Body).To(HavePrefix("booking-zone-"))
			Expect(answer.Body).To(ContainSubstring("POST /desk/7 organisation=nordlys-arkitekter"))
			Expect(do(fleet.Box(i), testfleet.Call{Path: "/services/booking/desk/7"}).Status).To(Equal(200))
			Expect(do(fleet.Box(i), testfleet.Call{Path: "/desk/7"}).Status).To(Equal(404))
		}
	})

	It("can change under load, and reach boxes that are cut off from the log", func() {
		fleet := start(testfleet.Config{})
		cutOff, err := fleet.AddBoxWithoutLog("zone-b")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return do(cutOff, desk).Status }, "20s", "10ms").Should(Equal(200))
		file := fleet.StandIns().File()
		file.Routes = file.Routes[:1] // the charges
		file.Routes[0].Host = "charges.example"
		_, err = fleet.Apply(file)
		Expect(err).NotTo(HaveOccurred())
		for _, box := range []*testfleet.Box{fleet.Box(0), cutOff} {
			Eventually(func() int { return do(box, desk).Status }, "20s", "10ms").Should(Equal(404))
			Expect(do(box, testfleet.Call{Host: "charges.example", Path: "/charges/1", Body: "1"}).Status).To(Equal(200))
		}
	})

	It("complete their calls when a box stops gracefully", func() {
		fleet := start(testfleet.Config{})
		for _, name := range []string{"booking-zone-a-1", "booking-zone-b-1"} {
			fleet.StandIns().Service(name).SetFaults(fakeservice.Faults{Delay: 300 * time.Millisecond})
		}
		answers := make(chan testfleet.Response)
		go func() {
			defer GinkgoRecover()
			answers <- do(fleet.Box(0), desk)
		}()
		Eventually(func() int64 { return fleet.Box(0).State().RoutedInFlight }, "20s", "5ms").Should(BeEquivalentTo(1))
		fleet.Box(0).Stop()
		Expect((<-answers).Status).To(Equal(200))
		Expect(fleet.Box(0).Wait()).To(Succeed())
	})
})
