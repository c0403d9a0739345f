package logposition_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/logposition"
)

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	g := NewWithT(t)
	ordered := []int64{-1, logposition.New(0, 0), logposition.New(0, 900), logposition.New(1, 0), logposition.New(1, 5), logposition.New(2, 1), logposition.New(logposition.MaxEra, 7)}
	for i, position := range ordered[1:] {
		g.Expect(position).To(BeNumerically(">", ordered[i]))
		g.Expect(logposition.New(logposition.Era(position), logposition.Offset(position))).To(Equal(position))
	}
	g.Expect(logposition.Offset(-2)).To(BeZero())
	g.Expect(logposition.New(0, 17)).To(BeEquivalentTo(17), "boxes without eras use offsets")
}

func TestLoggedPositionNamesTheEraUnlessItIsZero(t *testing.T) {
	g := NewWithT(t)
	for _, test := range []struct {
		position int64
		want     string
	}{
		{-1, `{"offset":-1}`},
		{17, `{"offset":17}`},
		{logposition.New(3, 17), `{"offset":17,"era":3}`},
	} {
		var out bytes.Buffer
		logger := zerolog.New(&out)
		logger.Log().EmbedObject(logposition.Logged(test.position)).Send()
		g.Expect(out.String()).To(MatchJSON(test.want))
	}
}
