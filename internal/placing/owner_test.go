package placing_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/placing"
)

func TestWhichCallsAskTheOwner(t *testing.T) {
	tests := []struct {
		name   string
		tokens int
		best   *placing.Candidate
		unseen float64
		asks   bool
	}{
		{"a long prompt", placing.MinAffinityTokens, &placing.Candidate{Slots: 12}, 0, true},
		{"a short one before idle runners", 300, &placing.Candidate{Slots: 12, InFlight: 5}, 0, false},
		{"a short one before busy runners", 300, &placing.Candidate{Slots: 12, InFlight: 6}, 0, true},
		{"a short one that has nowhere to go", 300, nil, 0, true},
		{"a short one where work may have come unseen", 300, &placing.Candidate{Slots: 12}, 1.5, true},
		{"a short one where hardly any may have", 300, &placing.Candidate{Slots: 12}, 0.5, false},
		{"a short one at a runner that no other box calls", 300, &placing.Candidate{Slots: 12, Exclusive: true}, 1.5, false},
		{"runners that do not say how many calls they run", 300, &placing.Candidate{InFlight: 50}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(placing.ShouldAskOwner(test.tokens, test.best, test.unseen)).To(Equal(test.asks))
		})
	}
}
