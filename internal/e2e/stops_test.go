package e2e

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/testfleet"
)

var _ = Describe("A graceful stop", func() {
	It("cuts off no request in flight", func() {
		fleet := start(testfleet.Config{Engine: fakeengine.Config{DecodeInterval: 20 * time.Millisecond}, Zones: []string{"zone-a", "zone-a"}})
		box := fleet.Box(0)
		const streams = 20
		var sent, ended sync.WaitGroup
		sent.Add(streams)
		bodies := make([]string, streams)
		for i := range streams {
			ended.Go(func() {
				defer GinkgoRecover()
				response, err := box.Send(context.Background(), testfleet.Call{Path: completions, Body: chat("Tell me", 30, true)})
				sent.Done()
				Expect(err).NotTo(HaveOccurred())
				body, err := io.ReadAll(response.Body)
				Expect(err).NotTo(HaveOccurred())
				bodies[i] = string(body)
			})
		}
		sent.Wait()
		box.Stop()
		ended.Wait()
		Expect(box.Wait()).To(Succeed())
		for _, body := range bodies {
			Expect(testfleet.IsComplete(body)).To(BeTrue())
			Expect(streamText(body)).To(Equal(wantText("Tell me", 30)))
		}
		Expect(do(fleet.Box(1), testfleet.Call{Path: completions, Body: chat("Tell me", 2, true)}).Status).To(Equal(http.StatusOK))
	})

	It("of a backend server keeps new calls away from it after three seconds", func() {
		fleet := start(testfleet.Config{})
		leaving := fleet.StandIns().Engine("runner-zone-a-2")
		leaving.SetFaults(fakeengine.Faults{Leaving: true})
		Eventually(func() bool {
			for _, server := range fleet.Box(0).State().ZoneView.Servers {
				if server.Name == "runner-zone-a-2" {
					return server.Leaving
				}
			}
			return false
		}, "3s", "5ms").Should(BeTrue())
		before := leaving.Ledger().AfterLeaving
		for i := range 60 {
			answer := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat(string(rune('a'+i%26)), 2, true)})
			Expect(answer.Status).To(Equal(http.StatusOK))
		}
		Expect(leaving.Ledger().AfterLeaving).To(Equal(before))
	})
})

var _ = Describe("The configuration", func() {
	It("reaches a zone that is cut off from the log through its peers", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-b"}})
		// The new box gets no response from the log.
		file := fleet.StandIns().File()
		file.Limits.QueueLength = 777
		cutOff, err := fleet.AddBoxWithoutLog("zone-b")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return cutOff.State().Ready }, "20s", "10ms").Should(BeTrue())
		Expect(string(cutOff.State().Config.Source)).To(Equal("peer"))

		version, err := fleet.Apply(file)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int64 { return cutOff.State().Config.Version }, "20s", "10ms").Should(Equal(version))
		Expect(do(cutOff, testfleet.Call{Path: completions, Body: chat("Tell me", 2, true)}).Status).To(Equal(http.StatusOK))
		Expect(cutOff.State().Config.LogReachable).To(BeFalse())
	})

	It("comes from peers when the log is down and a box is new", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-a"}})
		version := fleet.Box(0).State().Config.Version
		fleet.StandIns().Log().SetFaults(fakelog.Faults{Down: true})
		fleet.Box(1).Stop()
		Expect(fleet.Box(1).Wait()).To(Succeed())
		newBox, err := fleet.AddBox("zone-a")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return newBox.State().Ready }, "20s", "10ms").Should(BeTrue())
		Expect(newBox.State().Config.Version).To(Equal(version))
		Expect(do(newBox, testfleet.Call{Path: completions, Body: chat("Tell me", 2, true)}).Status).To(Equal(http.StatusOK))
	})

	It("is required: a box without one rejects requests as not run", func() {
		fleet, err := testfleet.Start(testfleet.Config{Zones: []string{"zone-a"}, NoConfig: true})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(fleet.Close)
		answer := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Tell me", 2, true)})
		Expect(answer.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(errorCode(answer)).To(Equal("no_configuration"))
		Expect(outcome(answer)).To(Equal(apierror.NotRun))
		Expect(fleet.Box(0).State().Ready).To(BeFalse())
	})

	It("takes effect in every box: keys are revoked", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-b"}})
		file := fleet.StandIns().File()
		file.Organisations = file.Organisations[:1]
		version, err := fleet.Apply(file)
		Expect(err).NotTo(HaveOccurred())
		for i := range 2 {
			Eventually(func() int64 { return fleet.Box(i).State().Config.Version }, "20s").Should(Equal(version))
			revoked := testfleet.KeyLot
			if file.Organisations[0].Name == "lot-central" {
				revoked = testfleet.KeyNordlys
			}
			Expect(do(fleet.Box(i), testfleet.Call{Path: "/v1/models", Key: revoked}).Status).To(Equal(http.StatusUnauthorized))
		}
	})
})

var _ = Describe("Overload", func() {
	It("is rejected as not run, with a Retry-After", func() {
		fleet := start(testfleet.Config{
			Engine:     fakeengine.Config{DecodeInterval: 50 * time.Millisecond},
			EditConfig: func(file *config.File) { file.Limits.QueueLength = 3; setSlots(file, 1) },
		})
		const callers = 30
		var mu sync.Mutex
		var ended sync.WaitGroup
		served, rejected := 0, 0
		for range callers {
			ended.Go(func() {
				defer GinkgoRecover()
				answer := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Tell me", 10, true)})
				mu.Lock()
				defer mu.Unlock()
				if answer.Status == http.StatusOK {
					served++
					return
				}
				rejected++
				Expect(answer.Status).To(Equal(http.StatusTooManyRequests))
				Expect(outcome(answer)).To(Equal(apierror.NotRun))
				Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
			})
		}
		ended.Wait()
		Expect(served).To(BeNumerically(">=", 3))
		Expect(rejected).To(BeNumerically(">=", 1))
		total, _ := startCounts(fleet)
		Expect(total).To(Equal(served), "rejected requests have not run")
	})

	It("rejects requests at once that cannot start before their deadline", func() {
		fleet := start(testfleet.Config{EditConfig: func(file *config.File) {
			for i := range file.Models {
				file.Models[i].PrefillTokensPerSecond = 1
			}
		}})
		call := testfleet.Call{Path: completions, Body: chat("Tell me", 2, true), Header: map[string]string{"Cometlock-Deadline": "2"}}
		answer := do(fleet.Box(0), call)
		Expect(errorCode(answer)).To(Equal("deadline"))
		Expect(outcome(answer)).To(Equal(apierror.NotRun))
		total, _ := startCounts(fleet)
		Expect(total).To(BeZero())
	})
})

func setSlots(file *config.File, slots int) {
	for i := range file.BackendServers {
		if file.BackendServers[i].Role == config.RoleRunner {
			file.BackendServers[i].Slots = slots
		}
	}
}
