// Prompts: the headers that describe them, and which prompts may share kept context.

package routed_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/config"
)

func TestPromptHeadersAreValidatedAndNamespacesSeparateWeights(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	for _, c := range []struct {
		target, model, tokens, parts string
		status                       int
	}{
		{"/a", "m", "300", "x:100,y:200", 200},
		{"/a", "m", "300", "", 200},
		{"/review/a", "m", "300", "x:100", 200},
		{"/a", "m", "many", "", 400},
		{"/a", "m", "-3", "", 400},
		{"/a", "m", "99999999999999999999", "", 400},
		{"/a", "m", "300", "x:100,:200", 400},
		{"/a", "unknown", "300", "x:100", 503},
	} {
		before := s.calls("engine-1", "engine-2")
		got := s.send("POST", "engines.example", c.target, "prompt", "Cometlock-Model", c.model, "Cometlock-Prompt-Tokens", c.tokens, "Cometlock-Prompt-Parts", c.parts)
		g.Expect(got.status).To(Equal(c.status), "%+v", c)
		if c.status != 200 {
			g.Expect(got.header.Get("Cometlock-Outcome")).To(Equal("not-run"))
			g.Expect(s.calls("engine-1", "engine-2")).To(Equal(before))
		}
	}
	namespaces := map[string]bool{}
	priorities := map[string]int{}
	for _, name := range []string{"engine-1", "engine-2"} {
		for _, head := range s.servers[name].receivedHeaders() {
			namespaces[head.Get("Cometlock-Namespace")] = true
			priorities[head.Get("Cometlock-Priority")]++
			g.Expect(head.Get("Cometlock-Model")).To(Equal("m"))
		}
	}
	g.Expect(namespaces).To(HaveLen(1))
	g.Expect(priorities).To(Equal(map[string]int{"normal": 2, "review": 1}))

	s.configure(g, func(file *config.File) { file.Models[0].Weights = "v2" })
	s.send("POST", "engines.example", "/a", "prompt", "Cometlock-Model", "m", "Cometlock-Prompt-Tokens", "300")
	for _, name := range []string{"engine-1", "engine-2"} {
		for _, head := range s.servers[name].receivedHeaders() {
			namespaces[head.Get("Cometlock-Namespace")] = true
		}
	}
	g.Expect(namespaces).To(HaveLen(2), "other weights get another namespace")
}

func TestKeysOfAnOrganisationShareANamespaceAndOthersDoNot(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	s.answerWith(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, r.Header.Get("X-Organisation"), " ", r.Header.Get("Cometlock-Namespace"), " ", r.Header.Get("Cometlock-Priority"))
	}, "engine-1", "engine-2")
	bodyFor := func(key, target string) string {
		return s.send("POST", "engines.example", target, "prompt", "Authorization", "Bearer "+key, "Cometlock-Model", "m", "Cometlock-Prompt-Tokens", "300").body
	}
	north := bodyFor("key", "/a")
	g.Expect(north).To(MatchRegexp("^north m/[0-9]+/north normal$"))
	g.Expect(bodyFor("key-2", "/a")).To(Equal(north))
	g.Expect(bodyFor("key-south", "/review/a")).To(MatchRegexp("^south m/[0-9]+/south instant$"), "an organisation's priority takes precedence over a route's")
}
