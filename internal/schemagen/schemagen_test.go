package schemagen_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/schemagen"
)

func TestCommittedSchemaMatchesGenerated(t *testing.T) {
	g := NewWithT(t)
	want, err := schemagen.Generate()
	g.Expect(err).NotTo(HaveOccurred())
	got, err := os.ReadFile("../../" + schemagen.Path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal(string(want)), "run `make generate`")
}
