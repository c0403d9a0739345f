package catalog_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/catalog"
)

func route(name, host, prefix string) catalog.Route {
	return catalog.Route{Name: name, Host: host, PathPrefix: prefix, Kind: catalog.AtMostOnce, Splits: []catalog.Split{{Service: "s", Weight: 1}}}
}

func TestRouteMatchesLongestPrefix(t *testing.T) {
	g := NewWithT(t)
	c, err := catalog.New(catalog.Config{
		Routes:   []catalog.Route{route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/")},
		Services: []catalog.Service{{Name: "s"}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example:8080", "/x/y/", "long"},
		{"A.EXAMPLE", "/x/", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
	}
	for _, test := range tests {
		found := c.Route(test.host, test.path)
		if test.want == "" {
			g.Expect(found).To(BeNil(), test.host+test.path)
			continue
		}
		g.Expect(found).NotTo(BeNil(), test.host+test.path)
		g.Expect(found.Name).To(Equal(test.want))
	}
}

func TestOrganisationByKey(t *testing.T) {
	g := NewWithT(t)
	c, err := catalog.New(catalog.Config{Organisations: []catalog.Organisation{
		{Name: "north", Keys: []string{"n1", "n2"}}, {Name: "south", Keys: []string{"s1"}},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Organisation("n2").Name).To(Equal("north"))
	g.Expect(c.Organisation("s1").Name).To(Equal("south"))
	g.Expect(c.Organisation("")).To(BeNil())
	g.Expect(c.Organisation("n")).To(BeNil())
}

func TestPickServiceFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	r := route("r", "a", "/")
	r.Splits = []catalog.Split{{Service: "one", Weight: 90}, {Service: "none", Weight: 0}, {Service: "two", Weight: 10}}
	counts := map[string]int{}
	for number := range uint64(1000) {
		counts[r.PickService(number)]++
	}
	g.Expect(counts).To(Equal(map[string]int{"one": 900, "two": 100}))
}

// Boxes must choose the same service for a stream, and few streams may change theirs when weights do.
func TestServiceOfAStreamFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	before, after := route("r", "a", "/"), route("r", "a", "/")
	before.Splits = []catalog.Split{{Service: "one", Weight: 90}, {Service: "none", Weight: 0}, {Service: "two", Weight: 10}}
	after.Splits = []catalog.Split{{Service: "one", Weight: 4}, {Service: "two", Weight: 1}}
	const streams = 1000
	counts, changed := map[string]int{}, 0
	for number := range uint64(streams) {
		hash := number * (math.MaxUint64 / streams)
		service := before.ServiceOf(hash)
		counts[service]++
		if after.ServiceOf(hash) != service {
			changed++
		}
	}
	g.Expect(counts).To(HaveKeyWithValue("one", BeNumerically("~", 900, 2)))
	g.Expect(counts).To(HaveKeyWithValue("two", BeNumerically("~", 100, 2)))
	g.Expect(changed).To(BeNumerically("~", 100, 2))
	none := route("r", "a", "/")
	none.Splits = []catalog.Split{{Service: "one", Weight: 0}, {Service: "two", Weight: 0}}
	g.Expect(none.ServiceOf(math.MaxUint64)).To(Equal("one"))
}

func TestNewRejectsInvalidRoutes(t *testing.T) {
	g := NewWithT(t)
	tests := []struct {
		name   string
		change func(*catalog.Route)
	}{
		{"no kind", func(r *catalog.Route) { r.Kind = 0 }},
		{"no service", func(r *catalog.Route) { r.Splits = nil }},
		{"unknown service", func(r *catalog.Route) { r.Splits[0].Service = "gone" }},
	}
	for _, test := range tests {
		r := route("r", "a", "/")
		test.change(&r)
		_, err := catalog.New(catalog.Config{Routes: []catalog.Route{r}, Services: []catalog.Service{{Name: "s"}}})
		g.Expect(err).To(HaveOccurred(), test.name)
	}
}
