package selfheaders_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/selfheaders"
)

// Guards against a brittle server of the product's own routes whose statement is not read.
func TestReadBrittle(t *testing.T) {
	g := NewWithT(t)
	header := http.Header{}
	header.Set("Cometlock-Brittle", "4")
	g.Expect(selfheaders.Read(http.StatusOK, header)).To(Equal(advisory.Advisory{Brittle: advisory.LimitNamed, MaxRefusals: 4}))
}
