package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/testfleet"
)

// syncBuffer collects the logs of several boxes.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

var _ = Describe("Logs, dumps and metrics", func() {
	It("contain no key, prompt or response text", func() {
		logs := &syncBuffer{}
		fleet, err := testfleet.Start(testfleet.Config{Zones: []string{"zone-a"}, LogOutput: logs})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(fleet.Close)
		eventuallyReady(fleet.Box(0))
		const prompt = "the-secret-brief"
		do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat(prompt, 3, true)})
		do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat(prompt, 3, true), Key: "sk-wrong-key"})
		do(fleet.Box(0), testfleet.Call{Path: completions, Body: `{"model":"the-secret-brief`})
		id := readReview(do(fleet.Box(0), newReview(prompt, nil))).ID
		eventuallyCompleted(fleet.Box(0), id)
		do(fleet.Box(0), charge(newKey(), prompt))
		Eventually(logs.String, "20s").Should(ContainSubstring("review_ended"))
		dump, err := json.Marshal(fleet.Box(0).State())
		Expect(err).NotTo(HaveOccurred())
		response, err := http.Get("http://" + fleet.Box(0).AdminAddress() + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		metrics, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(metrics)).To(ContainSubstring("cometlock_requests"))
		answerWord := wantText(prompt, 1)
		for _, secret := range []string{testfleet.KeyNordlys, testfleet.KeyLot, "sk-wrong-key", prompt, answerWord} {
			Expect(logs.String()).NotTo(ContainSubstring(secret))
			Expect(string(dump)).NotTo(ContainSubstring(secret))
			Expect(string(metrics)).NotTo(ContainSubstring(secret))
		}
	})
})
