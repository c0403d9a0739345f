// What the platform's list of boxes changes, since what it says may be late.

package routed_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/routed"
)

func TestALeavingServerGetsNothingNew(t *testing.T) {
	g := NewWithT(t)
	s := start(t, g)
	for _, list := range [][]routed.ListEntry{{{Name: "shop-1", Leaving: true}}, nil} { // what a list leaves out stays as it was
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

// Lists that are behind, or say less, in the midst of others: shop-1 leaves in all cases.
func TestAServerThatLeavesStaysSoWhateverAnOlderListSays(t *testing.T) {
	cases := []struct {
		name  string
		words []routed.ListEntry
	}{
		{"an earlier life that does not leave", []routed.ListEntry{
			{Name: "shop-1", Incarnation: "one-a"}, {Name: "shop-1", Incarnation: "one-b", Leaving: true}, {Name: "shop-1", Incarnation: "one-a"},
		}},
		{"a word without a life in between", []routed.ListEntry{
			{Name: "shop-1", Incarnation: "one-a"}, {Name: "shop-1"}, {Name: "shop-1", Incarnation: "one-a", Leaving: true},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := start(t, g)
			for _, word := range c.words {
				s.router.ApplyBoxList([]routed.ListEntry{word})
			}
			for range 20 {
				g.Expect(s.send("GET", "shop.example", "/page", "").body).To(HavePrefix("shop-2 "))
			}
		})
	}
}

func TestAWordWithoutALifeLeavesTheKnownOne(t *testing.T) {
	g := NewWithT(t)
	s := start(t, g)
	s.answerWith(living("one-a"), "shop-new")
	there := s.servers["shop-new"].http.Listener.Addr().String()
	leaving := routed.ListEntry{Name: "shop-2", Leaving: true}
	s.router.ApplyBoxList([]routed.ListEntry{{Name: "shop-1", Incarnation: "one-a", Address: there}, leaving})
	s.router.ApplyBoxList([]routed.ListEntry{{Name: "shop-1"}, leaving})
	g.Expect(s.send("GET", "shop.example", "/page", "").body).To(Equal("one-a ran it"))
	heads := s.servers["shop-new"].seen()
	g.Expect(heads).To(HaveLen(1))
	g.Expect(heads[0].Get("Cometlock-Incarnation")).To(Equal("one-a"))
}

// living answers as a server in one of its lives does.
func living(incarnation string) http.HandlerFunc {
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

func TestACallReachesOnlyTheLifeOfAServerThatItIsMeantFor(t *testing.T) {
	g := NewWithT(t)
	s := start(t, g)
	s.answerWith(living("one-b"), "shop-1") // the list does not know of it yet
	s.answerWith(living("two-a"), "shop-2")
	s.router.ApplyBoxList([]routed.ListEntry{{Name: "shop-1", Incarnation: "one-a"}, {Name: "shop-2", Incarnation: "two-a"}})
	for range 10 {
		got := s.send("POST", "shop.example", "/charges/1", "", "Cometlock-Incarnation", "mine")
		g.Expect(got.body).To(Equal("two-a ran it"))
	}
	s.router.ApplyBoxList([]routed.ListEntry{{Name: "shop-1", Incarnation: "one-b"}, {Name: "shop-2", Incarnation: "two-a", Leaving: true}})
	g.Expect(s.send("POST", "shop.example", "/charges/1", "").body).To(Equal("one-b ran it"))
}

func TestTheListGoesBeforeTheFileAndNeverBack(t *testing.T) {
	g := NewWithT(t)
	s := start(t, g)
	s.answerWith(living("two-a"), "shop-2")
	s.answerWith(living("one-b"), "shop-new")
	there := s.servers["shop-new"].http.Listener.Addr().String()
	moved := []routed.ListEntry{{Name: "shop-1", Incarnation: "one-b", Address: there}, {Name: "shop-2", Incarnation: "two-a", Leaving: true}}
	s.router.ApplyBoxList([]routed.ListEntry{{Name: "shop-1", Incarnation: "one-a"}, {Name: "shop-2", Incarnation: "two-a", Leaving: true}})
	s.router.ApplyBoxList(moved)
	g.Expect(s.send("GET", "shop.example", "/page", "").body).To(Equal("one-b ran it"))
	// A list that is behind, and one that leaves the server out.
	for _, list := range [][]routed.ListEntry{
		{{Name: "shop-1", Incarnation: "one-a"}, {Name: "shop-2", Incarnation: "two-a", Leaving: true}},
		{{Name: "shop-2", Incarnation: "two-a", Leaving: true}},
	} {
		s.router.ApplyBoxList(list)
		g.Expect(s.send("GET", "shop.example", "/page", "").body).To(Equal("one-b ran it"))
		g.Expect(s.calls("shop-1")).To(BeZero())
	}
	s.configure(g, func(*config.File) {})
	g.Expect(s.send("GET", "shop.example", "/page", "").body).To(Equal("one-b ran it"), "nor does a new configuration forget it")
}
