package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/testfleet"
)

// runnersWithVersion returns the number of runners that have loaded a weight version.
func runnersWithVersion(fleet *testfleet.Fleet, version string) int {
	count := 0
	for _, e := range engines(fleet) {
		if e.LoadedVersion("scene-review") == version {
			count++
		}
	}
	return count
}

var _ = Describe("New weights", func() {
	It("are loaded by all runners under load, few at a time, and no request is rejected or cut off", func() {
		fleet := start(testfleet.Config{
			Zones:  []string{"zone-a", "zone-b", "zone-a"},
			Engine: fakeengine.Config{LoadTime: 100 * time.Millisecond, DecodeInterval: 2 * time.Millisecond},
		})
		file := fleet.StandIns().File()
		for i := range file.Models {
			file.Models[i].AcceptWeights = []string{file.Models[i].Weights}
			file.Models[i].Weights = "v2"
		}
		_, err := fleet.Apply(file)
		Expect(err).NotTo(HaveOccurred())
		stop := make(chan struct{})
		var ended sync.WaitGroup
		served := make([]int, 4)
		for caller := range served {
			ended.Go(func() {
				defer GinkgoRecover()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					text := fmt.Sprint(caller, " asks ", i)
					answer := do(fleet.Box(caller%3), testfleet.Call{Path: completions, Body: chat(text, 5, true)})
					Expect(answer.Status).To(Equal(http.StatusOK), answer.Body)
					Expect(streamText(answer.Body)).To(Equal(wantText(text, 5)))
					served[caller]++
				}
			})
		}
		Eventually(func() int { return runnersWithVersion(fleet, "v2") }, "60s", "20ms").Should(Equal(6))
		close(stop)
		ended.Wait()
		Expect(fleet.StandIns().WeightStore().PeakLoads()).To(BeNumerically("<=", file.WeightStore.ParallelLoads))
		for _, count := range served {
			Expect(count).To(BeNumerically(">", 0))
		}
	})

	It("that no runner has loaded make requests fail at once as not run", func() {
		fleet := start(testfleet.Config{Engine: fakeengine.Config{LoadTime: time.Hour}})
		file := fleet.StandIns().File()
		for i := range file.Models {
			file.Models[i].Weights = "v2"
		}
		version, err := fleet.Apply(file)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int64 { return fleet.Box(0).State().Config.Version }, "20s").Should(Equal(version))
		Eventually(func() int {
			return do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Hello", 2, true)}).Status
		}, "20s").Should(Equal(http.StatusServiceUnavailable))
	})

	It("ordered with an old fence are rejected by the runner", func(ctx SpecContext) {
		fleet := start(testfleet.Config{})
		client := engine.NewClient(engine.ClientConfig{})
		address := ""
		for _, server := range fleet.StandIns().File().BackendServers {
			if server.Role == config.RoleRunner {
				address = server.Address
			}
		}
		order := func(fence int64, version string) error {
			return client.Order(ctx, address, engine.Order{Fence: fence, Weights: []engine.LoadedWeights{{Model: "scene-review", Version: version}}})
		}
		Expect(order(7, "v7")).To(Succeed())
		Expect(order(6, "v6")).To(MatchError(ContainSubstring("409")))
	})
})
