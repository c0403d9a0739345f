package mechanism_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/mechanism"
)

func TestParse(t *testing.T) {
	g := NewWithT(t)
	none, err := mechanism.Parse("")
	g.Expect(err).NotTo(HaveOccurred())
	for _, m := range mechanism.All() {
		g.Expect(none.Enabled(m)).To(BeTrue())
	}
	two, err := mechanism.Parse("homes, headroom")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(two.Enabled(mechanism.Homes)).To(BeFalse())
	g.Expect(two.Enabled(mechanism.WaitingLine)).To(BeTrue())
	g.Expect(two.String()).To(Equal("homes,headroom"))
	_, err = mechanism.Parse("homes,wings")
	g.Expect(err).To(MatchError(ContainSubstring(`"wings"`)))
}
