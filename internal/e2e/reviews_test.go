package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/openai/openai-go/v3/responses"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/testfleet"
)

const reviewsPath = "/v1/responses"

func newReview(text string, header map[string]string) testfleet.Call {
	body := fmt.Sprintf(`{"model":"scene-review","background":true,"max_output_tokens":30,"input":%q}`, text)
	return testfleet.Call{Path: reviewsPath, Body: body, Header: header}
}

// reviewBody is the part of a response that the specs check.
type reviewBody struct {
	ID     string
	Status string
	Output []struct {
		Content []struct{ Text string }
	}
	Cometlock struct {
		AtRisk bool `json:"deadline_at_risk"`
	}
}

func readReview(answer testfleet.Response) reviewBody {
	GinkgoHelper()
	Expect(answer.Status).To(Equal(http.StatusOK), answer.Body)
	var body reviewBody
	Expect(json.Unmarshal([]byte(answer.Body), &body)).To(Succeed())
	return body
}

func eventuallyCompleted(box *testfleet.Box, id string) reviewBody {
	GinkgoHelper()
	var last reviewBody
	Eventually(func() string {
		last = readReview(do(box, testfleet.Call{Path: reviewsPath + "/" + id}))
		return last.Status
	}, "30s", "10ms").Should(Equal("completed"))
	return last
}

var _ = Describe("A review", func() {
	It("is accepted once it is durable, and its result is available at any box", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-b"}})
		appends := fleet.StandIns().Log().Appends()
		accepted := readReview(do(fleet.Box(0), newReview("A long brief", nil)))
		Expect(accepted.Status).To(Or(Equal("queued"), Equal("in_progress"), Equal("completed")))
		Expect(fleet.StandIns().Log().Appends()).To(BeNumerically(">", appends))
		for i := range 2 {
			got := eventuallyCompleted(fleet.Box(i), accepted.ID)
			Expect(got.Output[0].Content[0].Text).To(Equal(wantText("A long brief", 30)))
		}
	})

	It("sent again with the same key is the same review", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-b"}})
		header := map[string]string{"Idempotency-Key": "competition-7"}
		first := readReview(do(fleet.Box(0), newReview("A long brief", header)))
		second := readReview(do(fleet.Box(1), newReview("A long brief", header)))
		Expect(second.ID).To(Equal(first.ID))
		other := do(fleet.Box(1), newReview("Another brief", header))
		Expect(errorCode(other)).To(Equal("idempotency_key_reused"))
	})

	It("survives a crash of the box that runs it", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-a"}, Engine: fakeengine.Config{DecodeInterval: 30 * time.Millisecond}})
		var ids []string
		for i := range 6 {
			ids = append(ids, readReview(do(fleet.Box(0), newReview(fmt.Sprint("brief ", i), nil))).ID)
		}
		fleet.Box(0).Kill()
		for i, id := range ids {
			got := eventuallyCompleted(fleet.Box(1), id)
			Expect(got.Output[0].Content[0].Text).To(Equal(wantText(fmt.Sprint("brief ", i), 30)))
		}
	})

	It("is not accepted while the log is down", func() {
		fleet := start(testfleet.Config{})
		fleet.StandIns().Log().SetFaults(fakelog.Faults{Down: true})
		answer := do(fleet.Box(0), newReview("A long brief", nil))
		Expect(answer.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(outcome(answer)).To(Equal(apierror.NotRun))
		fleet.StandIns().Log().SetFaults(fakelog.Faults{})
		Expect(fleet.Box(0).State().Reviews.Known).To(BeZero())
	})

	It("is accepted although the log's response is lost, and completes although the log is down for a while", func() {
		fleet := start(testfleet.Config{Engine: fakeengine.Config{DecodeInterval: 5 * time.Millisecond}})
		fleet.StandIns().Log().SetFaults(fakelog.Faults{LoseResponses: 1})
		accepted := readReview(do(fleet.Box(0), newReview("A long brief", nil)))
		Eventually(func() int { return fleet.Box(0).State().Reviews.Running }, "20s", "5ms").Should(Equal(1))
		fleet.StandIns().Log().SetFaults(fakelog.Faults{Down: true})
		Consistently(func() string {
			return readReview(do(fleet.Box(0), testfleet.Call{Path: reviewsPath + "/" + accepted.ID})).Status
		}, "500ms", "50ms").ShouldNot(Equal("completed"), "a review is not completed before the log has its end")
		fleet.StandIns().Log().SetFaults(fakelog.Faults{})
		eventuallyCompleted(fleet.Box(0), accepted.ID)
	})

	It("cannot be read, cancelled or deleted by other organisations", func() {
		fleet := start(testfleet.Config{})
		id := readReview(do(fleet.Box(0), newReview("A long brief", nil))).ID
		for _, call := range []testfleet.Call{
			{Path: reviewsPath + "/" + id},
			{Path: reviewsPath + "/" + id + "?stream=true"},
			{Path: reviewsPath + "/" + id + "/cancel", Method: http.MethodPost},
			{Path: reviewsPath + "/" + id, Method: http.MethodDelete},
		} {
			call.Key = testfleet.KeyLot
			Expect(do(fleet.Box(0), call).Status).To(Equal(http.StatusNotFound))
		}
		eventuallyCompleted(fleet.Box(0), id)
	})

	It("can be cancelled while it runs, and deleted", func() {
		fleet := start(testfleet.Config{Engine: fakeengine.Config{DecodeInterval: time.Second}})
		id := readReview(do(fleet.Box(0), newReview("A long brief", nil))).ID
		Eventually(func() int { total, _ := startCounts(fleet); return total }, "20s", "5ms").Should(Equal(1))
		cancelled := readReview(do(fleet.Box(0), testfleet.Call{Path: reviewsPath + "/" + id + "/cancel", Method: http.MethodPost}))
		Expect(cancelled.Status).To(Equal("cancelled"))
		Eventually(func() int { return fleet.Box(0).State().Reviews.Running }, "20s").Should(BeZero())
		deleted := do(fleet.Box(0), testfleet.Call{Path: reviewsPath + "/" + id, Method: http.MethodDelete})
		Expect(deleted.Body).To(ContainSubstring(`"deleted":true`))
		Expect(do(fleet.Box(0), testfleet.Call{Path: reviewsPath + "/" + id}).Status).To(Equal(http.StatusNotFound))
	})

	// The stream did not end: the box sent keep-alive comments to its caller, without a pause between them.
	It("ends its streams with an error when it is deleted", func() {
		fleet := start(testfleet.Config{Engine: fakeengine.Config{DecodeInterval: time.Second}})
		id := readReview(do(fleet.Box(0), newReview("A long brief", nil))).ID
		streamed := make(chan testfleet.Response, 1)
		go func() {
			defer GinkgoRecover()
			streamed <- do(fleet.Box(0), testfleet.Call{Path: reviewsPath + "/" + id + "?stream=true"})
		}()
		Eventually(func() int { total, _ := startCounts(fleet); return total }, "20s", "5ms").Should(Equal(1))
		Consistently(streamed, "200ms").ShouldNot(Receive())
		Expect(do(fleet.Box(0), testfleet.Call{Path: reviewsPath + "/" + id, Method: http.MethodDelete}).Status).To(Equal(http.StatusOK))
		var got testfleet.Response
		Eventually(streamed, "10s").Should(Receive(&got))
		events := testfleet.EventData(got.Body)
		Expect(events[len(events)-1]).To(ContainSubstring("response_not_found"), got.Body)
	})

	It("that will miss its deadline is reported as at risk before", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a"}, Engine: fakeengine.Config{Faults: fakeengine.Faults{RejectStatus: http.StatusServiceUnavailable}}})
		deadline := 3 * time.Second
		sent := time.Now()
		id := readReview(do(fleet.Box(0), newReview("A long brief", map[string]string{"Cometlock-Deadline": "3"}))).ID
		Eventually(func() int { return fleet.Box(0).State().Reviews.AtRisk }, "20s", "5ms").Should(Equal(1))
		Expect(time.Since(sent)).To(BeNumerically("<", deadline))
		Expect(readReview(do(fleet.Box(0), testfleet.Call{Path: reviewsPath + "/" + id})).Cometlock.AtRisk).To(BeTrue())
		state := fleet.Box(0).State().Reviews.Waiting[0]
		Expect(state.ID).To(Equal(id))
		Expect(*state.Deadline).To(BeTemporally("~", sent.Add(deadline), 2*time.Second))
		setFaults(fleet, fakeengine.Faults{})
		eventuallyCompleted(fleet.Box(0), id)
	})

	It("streams its events, and can be resumed after any of them at any box", func() {
		fleet := start(testfleet.Config{Zones: []string{"zone-a", "zone-b"}})
		id := readReview(do(fleet.Box(0), newReview("A long brief", nil))).ID
		whole := do(fleet.Box(0), testfleet.Call{Path: reviewsPath + "/" + id + "?stream=true"})
		events := testfleet.EventData(whole.Body)
		Expect(events[len(events)-1]).To(ContainSubstring(`"type":"response.completed"`))
		var text strings.Builder
		for number, event := range events {
			var parsed struct {
				Sequence int `json:"sequence_number"`
				Delta    string
			}
			Expect(json.Unmarshal([]byte(event), &parsed)).To(Succeed())
			Expect(parsed.Sequence).To(Equal(number))
			text.WriteString(parsed.Delta)
		}
		Expect(text.String()).To(Equal(wantText("A long brief", 30)))
		for after := range events {
			rest := do(fleet.Box(1), testfleet.Call{Path: fmt.Sprintf("%s/%s?stream=true&starting_after=%d", reviewsPath, id, after)})
			Expect(strings.Join(testfleet.EventData(rest.Body), "\n")).To(Equal(strings.Join(events[after+1:], "\n")))
		}
	})

	It("rejects invalid bodies with a specific error", func() {
		fleet := start(testfleet.Config{})
		for body, code := range map[string]string{
			`{`:                                    "invalid_json",
			`{"model":"scene-review","input":"x"}`: "background_needed",
			`{"model":"other","background":true,"input":"x"}`:                             "model_not_found",
			`{"model":"scene-review","background":true}`:                                  "invalid_input",
			`{"model":"scene-review","background":true,"input":[]}`:                       "invalid_input",
			`{"model":"scene-review","background":true,"input":[{"role":""}]}`:            "invalid_input",
			`{"model":"scene-review","background":true,"store":false,"input":"x"}`:        "background_needed",
			`{"model":"scene-review","background":true,"max_output_tokens":"many"}`:       "invalid_json",
			`{"model":"scene-review","background":true,"input":{"role":"user"}}`:          "invalid_input",
			`{"model":"scene-review","background":true,"input":[{"role":"u","content":}]`: "invalid_json",
		} {
			answer := do(fleet.Box(0), testfleet.Call{Path: reviewsPath, Body: body})
			Expect(errorCode(answer)).To(Equal(code), body)
			Expect(outcome(answer)).To(Equal(apierror.NotRun))
		}
	})

	It("works with the OpenAI client library", func(ctx SpecContext) {
		fleet := start(testfleet.Config{})
		client := openai.NewClient(option.WithBaseURL("http://"+fleet.Box(0).CallerAddress()+"/v1"), option.WithAPIKey(testfleet.KeyNordlys))
		created, err := client.Responses.New(ctx, responses.ResponseNewParams{
			Model: "scene-review", Background: openai.Bool(true), MaxOutputTokens: openai.Int(5),
			Input: responses.ResponseNewParamsInputUnion{OfString: openai.String("A long brief")},
		})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string {
			got, err := client.Responses.Get(ctx, created.ID, responses.ResponseGetParams{})
			Expect(err).NotTo(HaveOccurred())
			return got.OutputText()
		}, "20s").Should(Equal(wantText("A long brief", 5)))
		Expect(client.Responses.Delete(ctx, created.ID)).To(Succeed())
	})
})
