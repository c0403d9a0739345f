// Effects of the platform's box list, which may be outdated.

package routed_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/routed"
)

func TestALeavingServerGetsNoNewCalls(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	for _, list := range [][]routed.ListEntry{{{Name: "shop-1", Leaving: true}}, nil} { // a server that a list leaves out keeps its state
		s.router.ApplyBoxList(list)
		for range 20 {
			g.Expect(s.send("GET", "shop.example", "/page", "").body).To(HavePrefix("shop-2 "))
		}
	}
	s.router.ApplyBoxList([]routed.ListEntry{{Name: "shop-1"}})
	for range 40 {
		s.send("GET", "shop.example", "/page", "")
	}
	g.Expect(s.calls("shop-1")).To(BeNumerically(">", 0))
}

// Guards against an outdated or incomplete list that puts a leaving server back into use: shop-1 is
// leaving in all cases.
func TestAnOlderListDoesNotRevertALeavingServer(t *testing.T) {
	cases := []struct {
		name    string
		entries []routed.ListEntry
	}{
		{"a previous incarnation that is not leaving", []routed.ListEntry{
			{Name: "shop-1", Incarnation: "one-a"}, {Name: "shop-1", Incarnation: "one-b", Leaving: true}, {Name: "shop-1", Incarnation: "one-a"},
		}},
		{"an entry without an incarnation in between", []routed.ListEntry{
			{Name: "shop-1", Incarnation: "one-a"}, {Name: "shop-1"}, {Name: "shop-1", Incarnation: "one-a", Leaving: true},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := startDeployment(t, g)
			for _, entry := range c.entries {
				s.router.ApplyBoxList([]routed.ListEntry{entry})
			}
			for range 20 {
				g.Expect(s.send("GET", "shop.example", "/page", "").body).To(HavePrefix("shop-2 "))
			}
		})
	}
}

func TestAnEntryWithoutAnIncarnationKeepsTheCurrentOne(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	s.answerWith(answerAs("one-a"), "shop-new")
	address := s.servers["shop-new"].http.Listener.Addr().String()
	leaving := routed.ListEntry{Name: "shop-2", Leaving: true}
	s.router.ApplyBoxList([]routed.ListEntry{{Name: "shop-1", Incarnation: "one-a", Address: address}, leaving})
	s.router.ApplyBoxList([]routed.ListEntry{{Name: "shop-1"}, leaving})
	g.Expect(s.send("GET", "shop.example", "/page", "").body).To(Equal("one-a ran it"))
	headers := s.servers["shop-new"].receivedHeaders()
	g.Expect(headers).To(HaveLen(1))
	g.Expect(headers[0].Get("Cometlock-Incarnation")).To(Equal("one-a"))
}

// answerAs answers as an incarnation of a server does, which rejects calls for any other.
func answerAs(incarnation string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cometlock-Incarnation", incarnation)
		if expected := r.Header.Get("Cometlock-Incarnation"); expected != "" && expected != incarnation {
			w.Header().Set("Cometlock-Outcome", "not-run")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = fmt.Fprintf(w, "%s ran it", incarnation)
	}
}

func TestACallReachesOnlyTheIntendedIncarnation(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	s.answerWith(answerAs("one-b"), "shop-1") // the list does not include it yet
	s.answerWith(answerAs("two-a"), "shop-2")
	s.router.ApplyBoxList([]routed.ListEntry{{Name: "shop-1", Incarnation: "one-a"}, {Name: "shop-2", Incarnation: "two-a"}})
	for range 10 {
		got := s.send("POST", "shop.example", "/charges/1", "", "Cometlock-Incarnation", "mine")
		g.Expect(got.body).To(Equal("two-a ran it"))
	}
	s.router.ApplyBoxList([]routed.ListEntry{{Name: "shop-1", Incarnation: "one-b"}, {Name: "shop-2", Incarnation: "two-a", Leaving: true}})
	g.Expect(s.send("POST", "shop.example", "/charges/1", "").body).To(Equal("one-b ran it"))
}

func TestTheListTakesPrecedenceOverTheFileAndNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	s.answerWith(answerAs("two-a"), "shop-2")
	s.answerWith(answerAs("one-b"), "shop-new")
	address := s.servers["shop-new"].http.Listener.Addr().String()
	moved := []routed.ListEntry{{Name: "shop-1", Incarnation: "one-b", Address: address}, {Name: "shop-2", Incarnation: "two-a", Leaving: true}}
	s.router.ApplyBoxList([]routed.ListEntry{{Name: "shop-1", Incarnation: "one-a"}, {Name: "shop-2", Incarnation: "two-a", Leaving: true}})
	s.router.ApplyBoxList(moved)
	g.Expect(s.send("GET", "shop.example", "/page", "").body).To(Equal("one-b ran it"))
	// An outdated list, and one that leaves the server out.
	for _, list := range [][]routed.ListEntry{
		{{Name: "shop-1", Incarnation: "one-a"}, {Name: "shop-2", Incarnation: "two-a", Leaving: true}},
		{{Name: "shop-2", Incarnation: "two-a", Leaving: true}},
	} {
		s.router.ApplyBoxList(list)
		g.Expect(s.send("GET", "shop.example", "/page", "").body).To(Equal("one-b ran it"))
		g.Expect(s.calls("shop-1")).To(BeZero())
	}
	s.configure(g, func(*config.File) {})
	g.Expect(s.send("GET", "shop.example", "/page", "").body).To(Equal("one-b ran it"), "a new configuration keeps the address from the list")
}
