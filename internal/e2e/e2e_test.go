// Package e2e tests a whole fleet: entry boxes and stand-ins that communicate over
// loopback. The assertions are about counts and contents; none depends on the speed
// of the machine.
package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/testfleet"
)

func TestEndToEnd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "End to end")
}

// start starts a fleet that is closed at the end of the spec.
func start(cfg testfleet.Config) *testfleet.Fleet {
	GinkgoHelper()
	cfg.LogOutput = GinkgoWriter
	if cfg.Zones == nil {
		cfg.Zones = []string{"zone-a"}
	}
	fleet, err := testfleet.Start(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(fleet.Close)
	for i := range cfg.Zones {
		eventuallyReady(fleet.Box(i))
	}
	return fleet
}

func eventuallyReady(box *testfleet.Box) {
	GinkgoHelper()
	Eventually(func() bool { return box.State().Ready }, "20s", "5ms").Should(BeTrue())
	Eventually(func() int {
		ready := 0
		for _, stream := range box.State().Claims {
			if stream.Ready {
				ready++
			}
		}
		return ready
	}, "20s", "5ms").Should(Equal(16))
}

func do(box *testfleet.Box, call testfleet.Call) testfleet.Response {
	GinkgoHelper()
	answer, err := box.Do(call)
	Expect(err).NotTo(HaveOccurred())
	return answer
}

// chat returns the request body of a chat completion.
func chat(text string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"scene-review","stream":%t,"max_tokens":%d,"messages":%s}`, stream, tokens, messages(text))
}

func messages(text string) string {
	return fmt.Sprintf(`[{"role":"user","content":%q}]`, text)
}

// wantText returns the text that every engine generates for a prompt.
func wantText(text string, tokens int) string {
	var want strings.Builder
	for i := range tokens {
		want.WriteString(fakeengine.Word([]byte(messages(text)), i))
	}
	return want.String()
}

type chunkBody struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
}

// streamText concatenates the text of a stream's chunks.
func streamText(body string) string {
	GinkgoHelper()
	var text strings.Builder
	for _, data := range testfleet.EventData(body) {
		var chunk chunkBody
		Expect(json.Unmarshal([]byte(data), &chunk)).To(Succeed())
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String()
}

func responseText(body string) string {
	GinkgoHelper()
	var answer chunkBody
	Expect(json.Unmarshal([]byte(body), &answer)).To(Succeed())
	return answer.Choices[0].Message.Content
}

func engines(fleet *testfleet.Fleet) []*fakeengine.Engine {
	var all []*fakeengine.Engine
	for _, server := range fleet.StandIns().File().BackendServers {
		if server.Role == config.RoleRunner {
			all = append(all, fleet.StandIns().Engine(server.Name))
		}
	}
	return all
}

func setFaults(fleet *testfleet.Fleet, faults fakeengine.Faults) {
	for _, engine := range engines(fleet) {
		engine.SetFaults(faults)
	}
}

// startCounts returns how many runs all engines started, and the largest number of
// starts of one run ID at one engine.
func startCounts(fleet *testfleet.Fleet) (total, maxStarts int) {
	for _, engine := range engines(fleet) {
		for _, count := range engine.Ledger().Starts {
			total += count
			maxStarts = max(maxStarts, count)
		}
	}
	return total, maxStarts
}

func outcome(answer testfleet.Response) apierror.Outcome {
	return apierror.Outcome(answer.Header.Get("Cometlock-Outcome"))
}

func errorCode(answer testfleet.Response) string {
	var body apierror.Body
	if json.Unmarshal([]byte(answer.Body), &body) != nil {
		return "not an error: " + answer.Body
	}
	return body.Error.Code
}
