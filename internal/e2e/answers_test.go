package e2e

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/testfleet"
)

const completions = "/v1/chat/completions"

var _ = Describe("A response", func() {
	It("reaches the caller complete and without duplicates, whatever happens to the stream", func() {
		fleet := start(testfleet.Config{})
		for _, faults := range []fakeengine.Faults{
			{},
			{BreakAfter: 1},
			{BreakAfter: 3},
			{RepeatEvery: 2},
			{SwapEvery: 3},
			{BreakAfter: 4, RepeatEvery: 3, SwapEvery: 5},
		} {
			setFaults(fleet, faults)
			answer := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Tell me", 40, true)})
			Expect(answer.Status).To(Equal(http.StatusOK))
			Expect(testfleet.IsComplete(answer.Body)).To(BeTrue(), "%+v", faults)
			Expect(streamText(answer.Body)).To(Equal(wantText("Tell me", 40)), "%+v", faults)
			Expect(testfleet.EventData(answer.Body)).To(HaveLen(40))
		}
		_, maxStarts := startCounts(fleet)
		Expect(maxStarts).To(Equal(1), "a stream is resumed, not run again")
	})

	It("without streaming survives a connection that breaks in the middle", func() {
		fleet := start(testfleet.Config{})
		setFaults(fleet, fakeengine.Faults{BreakAfter: 1, BreakTimes: 2})
		answer := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Tell me", 40, false)})
		Expect(responseText(answer.Body)).To(Equal(wantText("Tell me", 40)))
		total, _ := startCounts(fleet)
		Expect(total).To(Equal(1))
	})

	It("can be resumed by its ID, at any box, from any chunk", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-b"}})
		first := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Tell me", 20, true)})
		id := first.Header.Get("Cometlock-Answer-Id")
		rest := do(fleet.Box(1), testfleet.Call{Path: "/v1/answers/" + id + "?starting_after=7"})
		Expect(rest.Status).To(Equal(http.StatusOK))
		Expect(testfleet.EventData(rest.Body)).To(Equal(testfleet.EventData(first.Body)[8:]))
		Expect(testfleet.IsComplete(rest.Body)).To(BeTrue())
	})

	It("is not accessible to other organisations, or by guessed IDs", func() {
		fleet := start(testfleet.Config{})
		first := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Tell me", 5, true)})
		id := first.Header.Get("Cometlock-Answer-Id")
		flipped := []byte(id)
		flipped[len(flipped)-1] ^= 1
		for _, call := range []testfleet.Call{
			{Path: "/v1/answers/" + id, Key: testfleet.KeyLot},
			{Path: "/v1/answers/" + id, Key: testfleet.KeyLot, Method: http.MethodDelete},
			{Path: "/v1/answers/" + string(flipped)},
			{Path: "/v1/answers/ans_AAAA"},
			{Path: "/v1/answers/" + strings.Repeat("a", 5000)},
		} {
			Expect(do(fleet.Box(0), call).Status).To(Equal(http.StatusNotFound))
		}
		Expect(do(fleet.Box(0), testfleet.Call{Path: "/v1/answers/" + id, Key: "wrong"}).Status).To(Equal(http.StatusUnauthorized))
	})

	It("comes from another runner when the first loses the run before its first chunk", func() {
		fleet := start(testfleet.Config{})
		setFaults(fleet, fakeengine.Faults{DropRun: true, ForgetRuns: true})
		fleet.StandIns().Engine("runner-zone-a-2").SetFaults(fakeengine.Faults{})
		for range 4 {
			answer := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Tell me", 5, true)})
			Expect(streamText(answer.Body)).To(Equal(wantText("Tell me", 5)))
		}
	})

	It("to a request that may not be repeated is not computed again", func() {
		fleet := start(testfleet.Config{})
		setFaults(fleet, fakeengine.Faults{DropRun: true, ForgetRuns: true})
		answer := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Tell me", 5, true), Header: map[string]string{"Cometlock-Repeatable": "false"}})
		Expect(answer.Status).To(Equal(http.StatusBadGateway))
		Expect(outcome(answer)).To(Equal(apierror.Unknown))
		total, _ := startCounts(fleet)
		Expect(total).To(Equal(1))
	})

	It("that was lost in the middle ends with an error and without a [DONE] event", func() {
		fleet := start(testfleet.Config{})
		setFaults(fleet, fakeengine.Faults{BreakAfter: 2, ForgetRuns: true})
		answer := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Tell me", 5, true)})
		Expect(answer.Status).To(Equal(http.StatusOK))
		Expect(testfleet.IsComplete(answer.Body)).To(BeFalse())
		Expect(answer.Body).To(ContainSubstring(`"outcome":"ran"`))
	})

	It("that is malformed or from other weights is rejected, and later requests are served", func() {
		fleet := start(testfleet.Config{})
		for _, faults := range []fakeengine.Faults{{MalformedResponse: true, ForgetRuns: true}, {WrongWeights: true}} {
			setFaults(fleet, faults)
			answer := do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Tell me", 5, true)})
			Expect(answer.Status).To(Equal(http.StatusBadGateway))
			Expect(errorCode(answer)).To(Equal("engine_failed"))
		}
		setFaults(fleet, fakeengine.Faults{})
		Eventually(func() int {
			return do(fleet.Box(0), testfleet.Call{Path: completions, Body: chat("Tell me", 5, true)}).Status
		}, "20s").Should(Equal(http.StatusOK))
	})

	It("is cancelled at the engine when the caller disconnects", func() {
		fleet := start(testfleet.Config{Engine: fakeengine.Config{DecodeInterval: 5 * time.Millisecond}})
		ctx, cancel := context.WithCancel(context.Background())
		response, err := fleet.Box(0).Send(ctx, testfleet.Call{Path: completions, Body: chat("Tell me", 100_000, true)})
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(response.Body, make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
		cancel()
		_ = response.Body.Close()
		Eventually(func() int {
			cancelled := 0
			for _, engine := range engines(fleet) {
				cancelled += engine.Ledger().Cancelled
			}
			return cancelled
		}, "20s").Should(Equal(1))
		Eventually(func() int { return fleet.Box(0).State().Admit.InFlight }, "20s").Should(BeZero())
	})
})

var _ = Describe("The OpenAI client library", func() {
	It("works against an entry box", func(ctx SpecContext) {
		fleet := start(testfleet.Config{})
		client := openai.NewClient(option.WithBaseURL("http://"+fleet.Box(0).CallerAddress()+"/v1"), option.WithAPIKey(testfleet.KeyNordlys), option.WithMaxRetries(0))
		params := openai.ChatCompletionNewParams{
			Model:     "scene-review",
			MaxTokens: openai.Int(6),
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Hello")},
		}
		whole, err := client.Chat.Completions.New(ctx, params)
		Expect(err).NotTo(HaveOccurred())

		stream := client.Chat.Completions.NewStreaming(ctx, params)
		var text strings.Builder
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Delta.Content)
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(text.String()).To(Equal(whole.Choices[0].Message.Content))
		Expect(text.String()).NotTo(BeEmpty())

		models, err := client.Models.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(models.Data).To(HaveLen(2))

		params.Model = "no-such-model"
		_, err = client.Chat.Completions.New(ctx, params)
		var failure *openai.Error
		Expect(err).To(BeAssignableToTypeOf(failure))
		Expect(err.(*openai.Error).StatusCode).To(Equal(http.StatusNotFound))
		Expect(err.(*openai.Error).Code).To(Equal("model_not_found"))
	})
})
