package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/boxlist"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/fakeservice"
	"github.com/cometlock/cometlock/internal/faultproxy"
	"github.com/cometlock/cometlock/internal/settings"
	"github.com/cometlock/cometlock/internal/testcerts"
	"github.com/cometlock/cometlock/internal/testfleet"
)

var _ = Describe("Boxes that do not reach the servers of a service", func() {
	DescribeTable("serve their callers like the other boxes",
		func(zones []string, partitioned int, kind faultproxy.Partition, secured bool) {
			f := startPartitionedFleet(zones, partitioned, secured)
			before := f.collect(f.sendFirstTries("before"))
			Expect(before.partitioned.served).To(Equal(before.partitioned.sent), "before the partition")
			f.slowDown()
			f.partition(kind)
			unsettled := f.sendFirstTries("unsettled") // its outcome is unspecified
			time.Sleep(partitionSettleTime)
			during := f.collect(f.sendFirstTries("during"))
			f.collect(unsettled)
			f.heal()
			time.Sleep(partitionSettleTime)
			after := f.collect(f.sendFirstTries("after"))
			GinkgoWriter.Printf("before %+v, during %+v, after %+v\n", before, during, after)
			Expect(during.others.served).To(Equal(during.others.sent))
			Expect(during.partitioned.share()).To(BeNumerically(">=", minPartitionedShare*during.others.share()))
			Expect(after.partitioned.served).To(Equal(after.partitioned.sent), "after the partition")
			Expect(f.repeatedRuns()).To(BeEmpty(), "calls that must not run more than once")
		},
		Entry("while their connections hang", []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b"}, 2, faultproxy.PartitionSilent, false),
		Entry("while their connections are reset", []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b"}, 2, faultproxy.PartitionReset, false),
		Entry("while new connections are refused", []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b"}, 2, faultproxy.PartitionNew, false),
		Entry("as a whole zone", []string{"zone-a", "zone-a", "zone-b", "zone-b"}, 2, faultproxy.PartitionSilent, false),
		Entry("with TLS between boxes", []string{"zone-a", "zone-a", "zone-b"}, 1, faultproxy.PartitionReset, true),
	)
})

const (
	// partitionSettleTime is how long boxes may take to detect that they are partitioned, or no longer.
	partitionSettleTime = 1500 * time.Millisecond
	// minPartitionedShare is the share of first tries that the partitioned boxes must serve, relative to
	// the others.
	minPartitionedShare = 0.95
	// serversPerZone is the number of servers of the service in each zone.
	serversPerZone = 3
	// triesPerBox is the number of calls of each kind that a box gets in a round, one in each tryGap.
	triesPerBox = 25
	tryGap      = 20 * time.Millisecond
	// slowResponse is the time to a response from the start of the partition on, so that calls need more
	// connections than boxes have kept.
	slowResponse = 150 * time.Millisecond
)

// partitionedFleet is a fleet whose first boxes reach the servers of the plain service through proxies
// only: their list of boxes contains the proxies' addresses.
type partitionedFleet struct {
	fleet       *testfleet.Fleet
	boxes       []*testfleet.Box
	partitioned int
	servers     []string
	proxies     []*faultproxy.Proxy
	// proxied has the entries of the servers in the list of the partitioned boxes.
	proxied []boxlist.Box
	// once has the keys of the calls that must not run more than once.
	once []string
}

func startPartitionedFleet(zones []string, partitioned int, secured bool) *partitionedFleet {
	GinkgoHelper()
	f := &partitionedFleet{partitioned: partitioned}
	list := httptest.NewServer(http.HandlerFunc(f.serveList))
	DeferCleanup(list.Close)
	var files settings.TLSFiles
	if secured {
		files = settings.TLSFiles(testcerts.New(Default).Write(Default, GinkgoT().TempDir(), 1))
	}
	started := 0
	f.fleet = start(testfleet.Config{
		Zones:      []string{},
		EditConfig: f.addServers,
		EditSettings: func(s *settings.Settings) {
			s.PeerTLS, s.Forward = files, "127.0.0.1:0"
			if started < partitioned {
				s.BoxList = list.Listener.Addr().String()
			}
			started++
		},
	})
	f.startProxies()
	for _, zone := range zones {
		box, err := f.fleet.AddBox(zone)
		Expect(err).NotTo(HaveOccurred())
		f.boxes = append(f.boxes, box)
	}
	for i, box := range f.boxes {
		listed := len(f.boxes)
		if i < partitioned {
			listed += len(f.proxied)
		}
		Eventually(func() bool { return box.State().Ready }, "20s", "5ms").Should(BeTrue())
		Eventually(func() int { return box.State().Peers.Listed }, "20s", "10ms").Should(Equal(listed))
		Eventually(func() int { return len(box.State().Peers.Peers) }, "20s", "10ms").Should(Equal(len(f.boxes) - 1))
	}
	return f
}

// addServers adds servers to the plain service of the configuration.
func (f *partitionedFleet) addServers(file *config.File) {
	service := &file.PlainServices[0]
	for _, zone := range file.Zones {
		for number := 2; number <= serversPerZone; number++ {
			name := fmt.Sprintf("booking-%s-%d", zone.Name, number)
			file.BackendServers = append(file.BackendServers, config.BackendServer{Name: name, Zone: zone.Name, Role: config.RolePlainService, Address: "127.0.0.1:1"})
			service.Servers = append(service.Servers, name)
		}
	}
	f.servers = service.Servers
}

func (f *partitionedFleet) startProxies() {
	GinkgoHelper()
	for _, server := range f.fleet.StandIns().File().BackendServers {
		if server.Role != config.RolePlainService {
			continue
		}
		proxy, err := faultproxy.Start(server.Address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		f.proxies = append(f.proxies, proxy)
		f.proxied = append(f.proxied, boxlist.Box{Name: server.Name, Zone: server.Zone, State: boxlist.Live, Address: proxy.Address()})
	}
	Expect(f.proxies).To(HaveLen(len(f.servers)))
}

// serveList serves the list of boxes with the proxies' addresses.
func (f *partitionedFleet) serveList(w http.ResponseWriter, r *http.Request) {
	boxes, err := f.fleet.StandIns().Boxes().Boxes(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(append(boxes, f.proxied...)) // an error means that the client has disconnected
}

func (f *partitionedFleet) slowDown() {
	for _, server := range f.servers {
		f.fleet.StandIns().Service(server).SetFaults(fakeservice.Faults{Delay: slowResponse})
	}
}

func (f *partitionedFleet) partition(kind faultproxy.Partition) {
	GinkgoHelper()
	for _, proxy := range f.proxies {
		Expect(proxy.Partition(kind)).To(Succeed())
	}
}

func (f *partitionedFleet) heal() {
	GinkgoHelper()
	for _, proxy := range f.proxies {
		Expect(proxy.Heal()).To(Succeed())
	}
}

// firstTries counts the calls of some boxes, and those that a server has served.
type firstTries struct{ sent, served int }

func (c firstTries) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

type roundCounts struct{ partitioned, others firstTries }

// firstTry is the result of one call.
type firstTry struct {
	partitioned bool
	served      bool
	violation   string
}

// sendFirstTries sends calls of each kind to all boxes, and returns their results as they come.
func (f *partitionedFleet) sendFirstTries(round string) <-chan firstTry {
	results := make(chan firstTry)
	var sent sync.WaitGroup
	for number := range triesPerBox {
		for i, box := range f.boxes {
			desk := testfleet.Call{Host: "booking.example", Path: "/desk/1", Body: "hello"}
			once := testfleet.Call{Host: "booking.example", Path: "/charges/1", Body: "1", Header: map[string]string{"Idempotency-Key": fmt.Sprintf("%s-%d-%d", round, i, number)}}
			f.once = append(f.once, once.Header["Idempotency-Key"])
			for _, call := range []testfleet.Call{desk, once} {
				sent.Go(func() {
					time.Sleep(time.Duration(number) * tryGap)
					result := try(box, call)
					result.partitioned = i < f.partitioned
					results <- result
				})
			}
		}
	}
	go func() {
		sent.Wait()
		close(results)
	}()
	return results
}

// try sends one call, and checks the headers of the answer.
func try(box *testfleet.Box, call testfleet.Call) firstTry {
	answer, err := box.Do(call)
	if err != nil {
		return firstTry{}
	}
	for name := range answer.Header {
		if strings.HasPrefix(name, "Cometlock-Forward-") {
			return firstTry{violation: "a header between boxes: " + name}
		}
	}
	if !strings.HasPrefix(answer.Header.Get("Cometlock-Request-Id"), "req_") {
		return firstTry{violation: "no request id"}
	}
	if answer.Status != http.StatusOK && outcome(answer) == "" {
		return firstTry{violation: fmt.Sprintf("status %d without an outcome", answer.Status)}
	}
	if answer.Status != http.StatusOK {
		GinkgoWriter.Printf("%s %s at %s: status %d %s\n", call.Path, call.Header["Idempotency-Key"], box.CallerAddress(), answer.Status, errorCode(answer))
	}
	return firstTry{served: answer.Status == http.StatusOK && answer.Header.Get("X-Run") != "" && !answer.Broken}
}

// collect counts the results of a round.
func (f *partitionedFleet) collect(results <-chan firstTry) roundCounts {
	GinkgoHelper()
	var counts roundCounts
	for result := range results {
		Expect(result.violation).To(BeEmpty())
		group := &counts.others
		if result.partitioned {
			group = &counts.partitioned
		}
		group.sent++
		if result.served {
			group.served++
		}
	}
	return counts
}

// repeatedRuns returns the calls that must not run more than once and did.
func (f *partitionedFleet) repeatedRuns() []string {
	runs := map[string]int{}
	for _, server := range f.servers {
		for key, count := range f.fleet.StandIns().Service(server).Ledger().Runs {
			runs[key] += count
		}
	}
	var repeated []string
	for _, key := range f.once {
		if runs[key] > 1 {
			repeated = append(repeated, key)
		}
	}
	return repeated
}
