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

// charge returns a call that may not be repeated.
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

// chargeCount returns how often the calls with a key ran, according to the services' ledgers.
func chargeCount(fleet *testfleet.Fleet, key string) int {
	runs := 0
	for _, service := range services(fleet) {
		runs += service.Ledger().Runs[key]
	}
	return runs
}

// isBookingServerUsed reports whether the box sends calls to the server of its zone.
func isBookingServerUsed(fleet *testfleet.Fleet) bool {
	for _, server := range fleet.Box(0).State().ZoneView.Servers {
		if server.Name == "booking-zone-a-1" {
			return !server.Failed
		}
	}
	return false
}

var _ = Describe("A call that may not be repeated", func() {
	It("runs once, and all calls with its key get its response", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-b"}})
		key := newKey()
		first := do(fleet.Box(0), charge(key, "5 euro"))
		Expect(first.Status).To(Equal(http.StatusOK))
		Eventually(func() string {
			again := do(fleet.Box(1), charge(key, "5 euro"))
			return again.Header.Get("Cometlock-Replayed") + again.Body
		}, "20s").Should(Equal("true" + first.Body))
		Expect(chargeCount(fleet, key)).To(Equal(1))

		other := do(fleet.Box(1), charge(key, "500 euro"))
		Expect(errorCode(other)).To(Equal("idempotency_key_reused"))
		Expect(outcome(other)).To(Equal(apierror.NotRun))
		Expect(chargeCount(fleet, key)).To(Equal(1))
	})

	It("runs once when many boxes receive it at the same time", func() {
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
			Expect(chargeCount(fleet, key)).To(Equal(1))
		}
	})

	It("whose response is lost has the outcome unknown and never runs again", func() {
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
		Expect(chargeCount(fleet, key)).To(Equal(1))
	})

	It("without a body is not retried by the HTTP library either", func() {
		fleet := start(testfleet.Config{})
		booking := services(fleet)[0]
		for range 5 {
			// A successful call leaves an idle connection if connections are reused. The HTTP library
			// retries only calls on such connections.
			Expect(do(fleet.Box(0), charge(newKey(), "")).Status).To(Equal(http.StatusOK))
			booking.SetFaults(fakeservice.Faults{LoseResponses: 1})
			key := newKey()
			answer := do(fleet.Box(0), charge(key, ""))
			Expect(outcome(answer)).To(Equal(apierror.Unknown))
			Expect(chargeCount(fleet, key)).To(Equal(1))
			booking.SetFaults(fakeservice.Faults{})
			Eventually(func() bool { return isBookingServerUsed(fleet) }, "20s").Should(BeTrue())
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
		Expect(chargeCount(fleet, key)).To(BeZero())

		withoutKey := do(fleet.Box(0), charge("", "5 euro"))
		Expect(withoutKey.Status).To(Equal(http.StatusOK), "without a key no log is needed")

		fleet.StandIns().Log().SetFaults(fakelog.Faults{})
		Eventually(func() int { return do(fleet.Box(0), charge(key, "5 euro")).Status }, "20s").Should(Equal(http.StatusOK))
		Expect(chargeCount(fleet, key)).To(Equal(1))
	})

	It("survives a log whose responses are lost", func() {
		fleet := start(testfleet.Config{})
		for i := range 10 {
			fleet.StandIns().Log().SetFaults(fakelog.Faults{LoseResponses: 2})
			key := newKey()
			answer := do(fleet.Box(0), charge(key, fmt.Sprint(i)))
			Expect(answer.Status).To(Equal(http.StatusOK))
			Expect(chargeCount(fleet, key)).To(Equal(1))
		}
	})

	It("that no server accepts releases its key", func() {
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
		// The key counts as in use until the log has the record that releases it.
		Eventually(func() string { return errorCode(do(fleet.Box(0), charge(key, "5 euro"))) }, "20s").Should(Equal("no_server"))
	})

	It("is rejected as not run with a key that is too old", func() {
		fleet := start(testfleet.Config{})
		old, err := uuid.NewV7()
		Expect(err).NotTo(HaveOccurred())
		createdAt := time.Now().Add(-2 * time.Hour).UnixMilli()
		for i := range 6 {
			old[i] = byte(createdAt >> (40 - 8*i))
		}
		answer := do(fleet.Box(0), charge(old.String(), "5 euro"))
		Expect(errorCode(answer)).To(Equal("idempotency_key_age"))
		Expect(outcome(answer)).To(Equal(apierror.NotRun))
		Expect(chargeCount(fleet, old.String())).To(BeZero())
	})

	It("runs at most once under all spellings of its path", func() {
		fleet := start(testfleet.Config{})
		key := newKey()
		for _, path := range []string{"/charges", "/charges/", "//charges", "/x/../charges", "/%63harges", "/Charges"} {
			call := charge(key, "5 euro")
			call.Path = "/services/booking" + path
			do(fleet.Box(0), call)
		}
		Expect(chargeCount(fleet, key)).To(Equal(1))
	})
})

var _ = Describe("A plain service", func() {
	It("receives calls without the caller's API key, and its responses are streamed", func() {
		fleet := start(testfleet.Config{})
		answer := do(fleet.Box(0), testfleet.Call{Method: http.MethodPut, Path: "/services/booking/receipts/7?x=1", Body: "hello", Key: testfleet.KeyLot})
		Expect(answer.Status).To(Equal(http.StatusOK))
		Expect(answer.Body).To(Equal("booking-zone-a-1 PUT /receipts/7 organisation=lot-central run=1\nhello"))
	})

	It("always receives the organisation, whatever headers the caller declares as hop-by-hop", func() {
		fleet := start(testfleet.Config{})
		answer := do(fleet.Box(0), testfleet.Call{
			Path: "/services/booking/receipts", Key: testfleet.KeyLot,
			Header: map[string]string{"Connection": "X-Organisation, Cometlock-Request-Id", "X-Organisation": "nordlys-arkitekter"},
		})
		Expect(answer.Body).To(ContainSubstring("organisation=lot-central "))
	})

	It("is served from another zone while the box's zone is evacuated, and from its own zone afterwards", func() {
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

	It("is served from another zone when the server of the box's zone is down", func() {
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
