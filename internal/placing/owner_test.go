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
		asks   bool
	}{
		{"a long prompt", placing.HomePart, &placing.Candidate{Slots: 12}, true},
		{"a short one before idle runners", 300, &placing.Candidate{Slots: 12, InFlight: 5}, false},
		{"a short one before busy runners", 300, &placing.Candidate{Slots: 12, InFlight: 6}, true},
		{"a short one that has nowhere to go", 300, nil, true},
		{"runners that do not say how many calls they run", 300, &placing.Candidate{InFlight: 50}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(placing.AsksOwner(test.tokens, test.best)).To(Equal(test.asks))
		})
	}
}
