package e2e

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/testfleet"
)

var _ = Describe("Invalid input", func() {
	It("gets a specific error, and other requests are served", func() {
		fleet := start(testfleet.Config{EditConfig: func(file *config.File) { file.Limits.BodyBytes = 4096 }})
		box := fleet.Box(0)
		good := chat("Hello", 2, false)
		header := func(name, value string) map[string]string { return map[string]string{name: value} }
		cases := []struct {
			name   string
			call   testfleet.Call
			status int
			code   string
		}{
			{"invalid JSON", testfleet.Call{Path: completions, Body: "{"}, http.StatusBadRequest, "invalid_json"},
			{"not an object", testfleet.Call{Path: completions, Body: "[1]"}, http.StatusBadRequest, "invalid_json"},
			{"null", testfleet.Call{Path: completions, Body: "null"}, http.StatusBadRequest, "invalid_json"},
			{"no model", testfleet.Call{Path: completions, Body: `{"messages":[1]}`}, http.StatusBadRequest, "invalid_model"},
			{"a number as model", testfleet.Call{Path: completions, Body: `{"model":5,"messages":[1]}`}, http.StatusBadRequest, "invalid_model"},
			{"no messages", testfleet.Call{Path: completions, Body: `{"model":"scene-review"}`}, http.StatusBadRequest, "invalid_prompt"},
			{"no prompt", testfleet.Call{Path: "/v1/completions", Body: `{"model":"scene-review","prompt":""}`}, http.StatusBadRequest, "invalid_prompt"},
			{"a string as stream", testfleet.Call{Path: completions, Body: `{"model":"scene-review","messages":[1],"stream":"yes"}`}, http.StatusBadRequest, "invalid_stream"},
			{"an unknown tier", testfleet.Call{Path: completions, Body: `{"model":"scene-review","messages":[1],"service_tier":"gold"}`}, http.StatusBadRequest, "invalid_service_tier"},
			{"an unknown model", testfleet.Call{Path: completions, Body: `{"model":"other","messages":[1]}`}, http.StatusNotFound, "model_not_found"},
			{"an unknown key", testfleet.Call{Path: completions, Body: good, Key: "sk-wrong"}, http.StatusUnauthorized, "invalid_api_key"},
			{"a body that is too large", testfleet.Call{Path: completions, Body: chat(strings.Repeat("x", 5000), 2, false)}, http.StatusRequestEntityTooLarge, "body_too_large"},
			{"a text as deadline", testfleet.Call{Path: completions, Body: good, Header: header("Cometlock-Deadline", "soon")}, http.StatusBadRequest, "invalid_header"},
			{"NaN as deadline", testfleet.Call{Path: completions, Body: good, Header: header("Cometlock-Deadline", "NaN")}, http.StatusBadRequest, "invalid_header"},
			{"an invalid value of repeatable", testfleet.Call{Path: completions, Body: good, Header: header("Cometlock-Repeatable", "perhaps")}, http.StatusBadRequest, "invalid_header"},
			{"an idempotency key that is not a UUIDv7", testfleet.Call{Path: completions, Body: good, Header: map[string]string{"Cometlock-Repeatable": "false", "Idempotency-Key": "one"}}, http.StatusBadRequest, "invalid_idempotency_key"},
			{"an unknown path", testfleet.Call{Path: "/v1/other", Body: good}, http.StatusNotFound, "not_found"},
			{"a wrong method", testfleet.Call{Path: completions}, http.StatusMethodNotAllowed, "method_not_allowed"},
			{"an unknown service", testfleet.Call{Path: "/services/other/x"}, http.StatusNotFound, "service_not_found"},
		}
		for _, c := range cases {
			answer := do(box, c.call)
			Expect(errorCode(answer)).To(Equal(c.code), c.name)
			Expect(answer.Status).To(Equal(c.status), c.name)
			Expect(outcome(answer)).To(Equal(apierror.NotRun), c.name)
		}
		Expect(do(box, testfleet.Call{Path: completions, Body: good}).Status).To(Equal(http.StatusOK))
		total, _ := startCounts(fleet)
		Expect(total).To(Equal(1), "no rejected request has run")
	})

	It("cannot access the cached context of another organisation", func() {
		fleet := start(testfleet.Config{})
		body := chat(strings.Repeat("a shared rulebook ", 400), 2, false)
		Expect(do(fleet.Box(0), testfleet.Call{Path: completions, Body: body}).Status).To(Equal(http.StatusOK))
		again := do(fleet.Box(0), testfleet.Call{Path: completions, Body: body})
		Expect(again.Body).NotTo(ContainSubstring(`"cached_tokens":0`), "the same organisation reuses its context")
		forged := strings.Replace(body, `{"model"`, `{"cache_salt":"00000000000000000000000000000000","model"`, 1)
		for _, text := range []string{body, forged} {
			other := do(fleet.Box(0), testfleet.Call{Path: completions, Body: text, Key: testfleet.KeyLot})
			Expect(other.Body).To(ContainSubstring(`"cached_tokens":0`))
			setOther := do(fleet.Box(0), testfleet.Call{Path: completions, Body: text, Key: testfleet.KeyLot})
			Expect(setOther.Status).To(Equal(http.StatusOK))
			break
		}
	})
})
