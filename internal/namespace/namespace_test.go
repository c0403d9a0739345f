package namespace_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/namespace"
)

func TestNamesRoundTrip(t *testing.T) {
	g := NewWithT(t)
	names := []namespace.Name{
		{Model: "m", Weights: 1},
		{Model: "m", Weights: 12, Isolated: "north"},
		{Model: "m", Weights: 2, Isolated: "a/b"},
	}
	seen := map[string]bool{}
	for _, name := range names {
		back, err := namespace.Parse(name.String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(back).To(Equal(name))
		g.Expect(seen[name.String()]).To(BeFalse())
		seen[name.String()] = true
	}
}

func TestParseRejectsInvalidNames(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "m", "m/", "m/x", "m/x/north", "s1"} {
		_, err := namespace.Parse(text)
		g.Expect(err).To(HaveOccurred(), text)
	}
}
