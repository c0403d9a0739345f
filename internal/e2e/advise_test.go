package e2e

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakeservice"
	"github.com/cometlock/cometlock/internal/testfleet"
)

// callsReceived sets the faults of a server of the plain service "booking", sends 40 calls through one box,
// and returns how many of them the server receives.
func callsReceived(fleet *testfleet.Fleet, server *fakeservice.Service, faults fakeservice.Faults) int {
	call := testfleet.Call{Method: http.MethodGet, Path: "/services/booking/receipts", Key: testfleet.KeyLot}
	server.SetFaults(faults)
	before := server.Ledger().Total
	for range 40 {
		do(fleet.Box(0), call)
	}
	return server.Ledger().Total - before
}

var _ = Describe("An advisory in a plain service's responses", func() {
	It("limits the rate of calls", func() {
		fleet := start(testfleet.Config{})
		limited := services(fleet)[0]
		Expect(callsReceived(fleet, limited, fakeservice.Faults{Headers: map[string]string{"Cometlock-Rate-Limit": "1"}})).To(BeNumerically("<=", 2))
		time.Sleep(1100 * time.Millisecond)
		Expect(callsReceived(fleet, limited, fakeservice.Faults{})).To(BeNumerically(">", 10), "a response without a limit ends the limit")
	})

	It("stops calls for the time in Retry-After", func() {
		fleet := start(testfleet.Config{})
		faults := fakeservice.Faults{Status: http.StatusServiceUnavailable, Headers: map[string]string{"Retry-After": "30"}}
		Expect(callsReceived(fleet, services(fleet)[0], faults)).To(Equal(1))
	})

	It("stops calls to a draining server", func() {
		fleet := start(testfleet.Config{})
		Expect(callsReceived(fleet, services(fleet)[0], fakeservice.Faults{Headers: map[string]string{"Cometlock-Draining": "1"}})).To(Equal(1))
	})
})
