package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakeservice"
	"github.com/cometlock/cometlock/internal/testfleet"
)

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// charge makes a call that may not be repeated.
func charge(key, body string) testfleet.Call {
	call := testfleet.Call{Method: http.MethodPost, Path: "/services/booking/charges", Body: body, Key: testfleet.KeyLot}
	if key != "" {
		call.Header = map[string]string{"Idempotency-Key": key}
	}
	return call
}

func services(fleet *testfleet.Fleet) []*fakeservice.Service {
	return []*fakeservice.Service{fleet.StandIns().Service("booking-zone-a-1"), fleet.StandIns().Service("booking-zone-b-1")}
}

// charged counts how often the calls with a key ran, by the services' ledgers.
func charged(fleet *testfleet.Fleet, key string) int {
	runs := 0
	for _, service := range services(fleet) {
		runs += service.Ledger().Runs[key]
	}
	return runs
}

// booked reports whether the own zone's server is given calls again.
func booked(fleet *testfleet.Fleet) bool {
	for _, server := range fleet.Box(0).State().ServersOf.Servers {
		if server.Name == "booking-zone-a-1" {
			return !server.Failed
		}
	}
	return false
}

var _ = Describe("A call that may not be repeated", func() {
	It("runs once, and all who ask with its key get its answer", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-b"}})
		key := newKey()
		first := do(fleet.Box(0), charge(key, "5 euro"))
		Expect(first.Status).To(Equal(http.StatusOK))
		Eventually(func() string {
			again := do(fleet.Box(1), charge(key, "5 euro"))
			return again.Header.Get("Cometlock-Replayed") + again.Body
		}, "20s").Should(Equal("true" + first.Body))
		Expect(charged(fleet, key)).To(Equal(1))

		other := do(fleet.Box(1), charge(key, "500 euro"))
		Expect(errorCode(other)).To(Equal("idempotency_key_reused"))
		Expect(outcome(other)).To(Equal(apierror.NotRun))
		Expect(charged(fleet, key)).To(Equal(1))
	})

	It("runs once when many boxes get it at the same moment", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-b", "zone-a"}})
		const keys, callers = 20, 6
		var ended sync.WaitGroup
		for range keys {
			key := newKey()
			for caller := range callers {
				ended.Go(func() {
					defer GinkgoRecover()
					answer := do(fleet.Box(caller%3), charge(key, "5 euro"))
					if answer.Status != http.StatusOK {
						Expect(outcome(answer)).To(Equal(apierror.Unknown), answer.Body)
					}
				})
			}
			ended.Wait()
			Expect(charged(fleet, key)).To(Equal(1))
		}
	})

	It("whose answer is lost ends unknown and never runs again", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-b"}})
		for _, service := range services(fleet) {
			service.SetFaults(fakeservice.Faults{LoseResponses: 1})
		}
		key := newKey()
		answer := do(fleet.Box(0), charge(key, ""))
		Expect(outcome(answer)).To(Equal(apierror.Unknown))
		for range 3 {
			again := do(fleet.Box(1), charge(key, ""))
			Expect(outcome(again)).To(Equal(apierror.Unknown))
		}
		Expect(charged(fleet, key)).To(Equal(1))
	})

	It("without a body is not sent again by the HTTP library either", func() {
		fleet := start(testfleet.Config{})
		booking := services(fleet)[0]
		for range 5 {
			// A good call leaves a connection behind where connections are kept.
			Expect(do(fleet.Box(0), charge(newKey(), "")).Status).To(Equal(http.StatusOK))
			booking.SetFaults(fakeservice.Faults{LoseResponses: 1})
			key := newKey()
			answer := do(fleet.Box(0), charge(key, ""))
			Expect(outcome(answer)).To(Equal(apierror.Unknown))
			Expect(charged(fleet, key)).To(Equal(1))
			booking.SetFaults(fakeservice.Faults{})
			Eventually(func() bool { return booked(fleet) }, "20s").Should(BeTrue())
		}
	})

	It("is not run while the log is down, and runs later under the same key", func() {
		fleet := start(testfleet.Config{})
		fleet.StandIns().Log().SetFaults(fakelog.Faults{Down: true})
		key := newKey()
		answer := do(fleet.Box(0), charge(key, "5 euro"))
		Expect(answer.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(outcome(answer)).To(Equal(apierror.NotRun))
		Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(charged(fleet, key)).To(BeZero())

		withoutKey := do(fleet.Box(0), charge("", "5 euro"))
		Expect(withoutKey.Status).To(Equal(http.StatusOK), "without a key no log is needed")

		fleet.StandIns().Log().SetFaults(fakelog.Faults{})
		Eventually(func() int { return do(fleet.Box(0), charge(key, "5 euro")).Status }, "20s").Should(Equal(http.StatusOK))
		Expect(charged(fleet, key)).To(Equal(1))
	})

	It("survives a log whose answers are lost", func() {
		fleet := start(testfleet.Config{})
		for i := range 10 {
			fleet.StandIns().Log().SetFaults(fakelog.Faults{LoseResponses: 2})
			key := newKey()
			answer := do(fleet.Box(0), charge(key, fmt.Sprint(i)))
			Expect(answer.Status).To(Equal(http.StatusOK))
			Expect(charged(fleet, key)).To(Equal(1))
		}
	})

	It("that cannot be handed over frees its key", func() {
		fleet := start(testfleet.Config{})
		file := fleet.StandIns().File()
		for i := range file.BackendServers {
			if file.BackendServers[i].Role == "plain-service" {
				file.BackendServers[i].Address = fmt.Sprintf("127.0.0.1:%d", i+1) // nothing listens there
			}
		}
		version, err := fleet.Apply(file)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int64 { return fleet.Box(0).State().Config.Version }, "20s").Should(Equal(version))
		key := newKey()
		answer := do(fleet.Box(0), charge(key, "5 euro"))
		Expect(outcome(answer)).To(Equal(apierror.NotRun), answer.Body)
		// The key is free again once the log says so; until then it is in use.
		Eventually(func() string { return errorCode(do(fleet.Box(0), charge(key, "5 euro"))) }, "20s").Should(Equal("no_server"))
	})

	It("is refused as not run with a key that is too old", func() {
		fleet := start(testfleet.Config{})
		old, err := uuid.NewV7()
		Expect(err).NotTo(HaveOccurred())
		made := time.Now().Add(-2 * time.Hour).UnixMilli()
		for i := range 6 {
			old[i] = byte(made >> (40 - 8*i))
		}
		answer := do(fleet.Box(0), charge(old.String(), "5 euro"))
		Expect(errorCode(answer)).To(Equal("idempotency_key_age"))
		Expect(outcome(answer)).To(Equal(apierror.NotRun))
		Expect(charged(fleet, old.String())).To(BeZero())
	})

	It("stays one whatever way its path is written", func() {
		fleet := start(testfleet.Config{})
		key := newKey()
		for _, path := range []string{"/charges", "/charges/", "//charges", "/x/../charges", "/%63harges", "/Charges"} {
			call := charge(key, "5 euro")
			call.Path = "/services/booking" + path
			do(fleet.Box(0), call)
		}
		Expect(charged(fleet, key)).To(Equal(1))
	})
})

var _ = Describe("A plain service", func() {
	It("gets calls without the caller's key, and its answers stream back", func() {
		fleet := start(testfleet.Config{})
		answer := do(fleet.Box(0), testfleet.Call{Method: http.MethodPut, Path: "/services/booking/receipts/7?x=1", Body: "hello", Key: testfleet.KeyLot})
		Expect(answer.Status).To(Equal(http.StatusOK))
		Expect(answer.Body).To(Equal("booking-zone-a-1 PUT /receipts/7 organisation=lot-central run=1\nhello"))
	})

	It("always learns the organisation, whatever headers the caller calls hop-by-hop", func() {
		fleet := start(testfleet.Config{})
		answer := do(fleet.Box(0), testfleet.Call{
			Path: "/services/booking/receipts", Key: testfleet.KeyLot,
			Header: map[string]string{"Connection": "X-Organisation, Cometlock-Request-Id", "X-Organisation": "nordlys-arkitekter"},
		})
		Expect(answer.Body).To(ContainSubstring("organisation=lot-central "))
	})

	It("is served from another zone while the own one is evacuated, and from its own afterwards", func() {
		fleet := start(testfleet.Config{})
		servedBy := func(evacuated bool) string {
			file := fleet.StandIns().File()
			for i := range file.Zones {
				file.Zones[i].Evacuated = evacuated && file.Zones[i].Name == "zone-a"
			}
			version, err := fleet.Apply(file)
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() int64 { return fleet.Box(0).State().Config.Version }, "20s").Should(Equal(version))
			return do(fleet.Box(0), testfleet.Call{Path: "/services/booking/receipts", Key: testfleet.KeyLot}).Body
		}
		Expect(servedBy(true)).To(HavePrefix("booking-zone-b-1 "))
		answer := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Tell me", 2, true)})
		Expect(answer.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(outcome(answer)).To(Equal(apierror.NotRun), answer.Body)
		Expect(servedBy(false)).To(HavePrefix("booking-zone-a-1 "))
	})

	It("is served from another zone when the own zone's server is gone", func() {
		fleet := start(testfleet.Config{})
		file := fleet.StandIns().File()
		for i := range file.BackendServers {
			if file.BackendServers[i].Name == "booking-zone-a-1" {
				file.BackendServers[i].Address = "127.0.0.1:1"
			}
		}
		version, err := fleet.Apply(file)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int64 { return fleet.Box(0).State().Config.Version }, "20s").Should(Equal(version))
		answer := do(fleet.Box(0), testfleet.Call{Path: "/services/booking/receipts", Key: testfleet.KeyLot})
		Expect(answer.Body).To(HavePrefix("booking-zone-b-1 "))
	})
})
