package api

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/prefix"
)

func TestEngineBodyContainsHashedPrompt(t *testing.T) {
	g := NewWithT(t)
	request := flow.NewRequest(context.Background())
	body := `{"model":"m","messages":[ {"role":"user", "content":"a < b & c > d \u00e9"} ],"cache_salt":"mine","priority":0,"service_tier":"flex","temperature":0.5}`
	parsed, refusal := parseModelRequest([]byte(body), fieldMessages, request)
	g.Expect(refusal).To(BeNil())
	request.Salt = prefix.NewSalt("o", "m", "v")
	request.SetEncoder(func() []byte { return engineBody(parsed, request) })
	sent := request.EngineBody()
	var got map[string]json.RawMessage
	g.Expect(json.Unmarshal(sent, &got)).To(Succeed())
	g.Expect(string(got["messages"])).To(Equal(string(request.Prompt)))
	g.Expect(string(got["cache_salt"])).To(Equal(`"`+request.Salt.String()+`"`), "a salt sent by the caller is ignored")
	g.Expect(string(got["priority"])).To(Equal("20"))
	g.Expect(string(got["temperature"])).To(Equal("0.5"))
	g.Expect(got).NotTo(HaveKey("service_tier"))
	g.Expect(strings.Count(string(sent), "cache_salt")).To(Equal(1))

	// When a request is moved to another weight version, its body must not contain the salt of the
	// previous version.
	request.Salt = prefix.NewSalt("o", "m", "v2")
	g.Expect(string(request.EngineBody())).To(ContainSubstring(request.Salt.String()))
}

func FuzzParseModelRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[1],"stream":true}`))
	f.Add([]byte(`{"model":"m","prompt":{"a":[null]}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, field := range []string{fieldMessages, fieldPrompt} {
			request := flow.NewRequest(context.Background())
			parsed, refusal := parseModelRequest(body, field, request)
			if refusal != nil {
				continue
			}
			sent := engineBody(parsed, request)
			if !json.Valid(sent) {
				t.Fatalf("the body for the engine is not valid JSON: %q", sent)
			}
		}
	})
}

func FuzzAcceptReview(f *testing.F) {
	f.Add([]byte(`{"model":"m","background":true,"input":[{"role":"user","content":[{"type":"input_text","text":"x"}]}]}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		var parsed responseRequest
		if json.Unmarshal(body, &parsed) == nil {
			_, _ = parsed.chat()
		}
	})
}
