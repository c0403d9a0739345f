// Which calls reach which servers, and which headers servers receive.

package routed_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestCallsAreRoutedByHostAndLongestPrefix(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	for _, c := range []struct {
		host, target string
		status       int
		body         string
	}{
		{"shop.example", "/page?a=%2F", 200, "POST /page?a=%2F text"},
		{"SHOP.example:80", "/page", 200, "POST /page text"},
		{"engines.example", "/m", 200, "engine-"},
		{"other.example", "/page", 404, ""},
	} {
		got := s.send("POST", c.host, c.target, "text")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.status).To(Equal(c.status), c.host)
		g.Expect(got.body).To(ContainSubstring(c.body))
	}
	before := s.calls("shop-new")
	for range 40 {
		s.send("GET", "shop.example", "/new/page", "")
	}
	g.Expect(s.calls("shop-new")-before).To(Equal(10), "a quarter of the calls")
}

func TestServersGetTheCallersOrganisationAndNoForgedHeaders(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	organisations := map[string]int{}
	for _, c := range []struct {
		target, key string
		status      int
	}{
		{"/charges/1", "key", 200},
		{"/charges/1", "wrong", 401},
		{"/charges/1", "", 401},
		{"/open/1", "wrong", 200},
	} {
		before := s.calls("shop-1", "shop-2")
		got := s.send("POST", "shop.example", c.target, "", "Authorization", "Bearer "+c.key, "X-Organisation", "south", "Cometlock-Namespace", "n",
			"Cometlock-Remaining", "99", "Cometlock-Request-Id", "mine", "Cometlock-Incarnation", "mine")
		g.Expect(got.status).To(Equal(c.status), c.key)
		g.Expect(got.header.Get("Cometlock-Request-Id")).To(HavePrefix("req_"))
		if c.status != 200 {
			g.Expect(s.calls("shop-1", "shop-2")).To(Equal(before))
			g.Expect(got.header.Get("Cometlock-Outcome")).To(Equal("not-run"))
		}
	}
	for _, name := range []string{"shop-1", "shop-2"} {
		for _, head := range s.servers[name].receivedHeaders() {
			g.Expect(head).NotTo(HaveKey("Authorization"))
			g.Expect(head).NotTo(HaveKey("Cometlock-Namespace"))
			g.Expect(head).NotTo(HaveKey("Cometlock-Incarnation"))
			organisations[head.Get("X-Organisation")]++
			g.Expect(head.Get("Cometlock-Request-Id")).To(HavePrefix("req_"))
			g.Expect(head.Get("Cometlock-Remaining")).NotTo(Equal("99"))
		}
	}
	g.Expect(organisations).To(Equal(map[string]int{"north": 1, "": 1}), "the key's organisation, and none on a public route")
}

func TestBodiesOverTheLimitReachNoServer(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	got := s.send("POST", "shop.example", "/page", strings.Repeat("x", 1001))
	g.Expect(got.status).To(Equal(413))
	g.Expect(got.header.Get("Cometlock-Outcome")).To(Equal("not-run"))
	g.Expect(s.calls(serverNames...)).To(BeZero())
}
