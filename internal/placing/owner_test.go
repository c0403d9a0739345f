package placing_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/placing"
)

func TestShouldAskOwner(t *testing.T) {
	tests := []struct {
		name       string
		tokens     int
		best       *placing.Candidate
		unreported float64
		want       bool
	}{
		{"a long prompt", placing.MinAffinityTokens, &placing.Candidate{Slots: 12}, 0, true},
		{"a short prompt, idle runners", 300, &placing.Candidate{Slots: 12, InFlight: 5}, 0, false},
		{"a short prompt, busy runners", 300, &placing.Candidate{Slots: 12, InFlight: 6}, 0, true},
		{"a short prompt, no runner", 300, nil, 0, true},
		{"a short prompt, much unreported work", 300, &placing.Candidate{Slots: 12}, 1.5, true},
		{"a short prompt, little unreported work", 300, &placing.Candidate{Slots: 12}, 0.5, false},
		{"a short prompt, a runner that no other box calls", 300, &placing.Candidate{Slots: 12, Exclusive: true}, 1.5, false},
		{"runners without a number of slots", 300, &placing.Candidate{InFlight: 50}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(placing.ShouldAskOwner(test.tokens, test.best, test.unreported)).To(Equal(test.want))
		})
	}
}
