package engine

import (
	"io"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

func TestABodyIsReadOnceAndLetGo(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "x", "a longer body"} {
		body := &onceReader{rest: []byte(text)}
		got, err := io.ReadAll(iotest.OneByteReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got)).To(Equal(text))
		g.Expect(body.rest).To(BeNil())
	}
}
