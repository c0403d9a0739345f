// Package e2e holds the tests of a whole fleet: entry boxes and stand-ins that
// talk over loopback. Verdicts count things; none depends on how fast the
// machine is.
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

// start starts a fleet that ends with the spec.
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

// chat makes the body of a chat completion.
func chat(text string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"scene-review","stream":%t,"max_tokens":%d,"messages":%s}`, stream, tokens, messages(text))
}

func messages(text string) string {
	return fmt.Sprintf(`[{"role":"user","content":%q}]`, text)
}

// wantText is the answer that every engine gives to a prompt.
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

// streamText joins the text of a stream's chunks.
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

func wholeText(body string) string {
	GinkgoHelper()
	var answer chunkBody
	Expect(json.Unmarshal([]byte(body), &answer)).To(Succeed())
	return answer.Choices[0].Message.Content
}

// engines lists the engines of a fleet.
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

// starts counts the runs that all engines started, and the most starts that one
// run had.
func starts(fleet *testfleet.Fleet) (total, most int) {
	for _, engine := range engines(fleet) {
		for _, count := range engine.Ledger().Starts {
			total += count
			most = max(most, count)
		}
	}
	return total, most
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
