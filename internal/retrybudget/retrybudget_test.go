package retrybudget_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/retrybudget"
)

// Once the saved retries are used up, an outage can add at most a tenth to the load, no matter how
// many requests fail.
func TestRetriesAreBoundedByLoad(t *testing.T) {
	g := NewWithT(t)
	budget := retrybudget.New(retrybudget.Config{})
	retries := 0
	const requests = 10_000
	for range requests {
		budget.Deposit()
		for range 3 { // each failed request attempts several retries
			if budget.TryWithdraw() {
				retries++
			}
		}
	}
	g.Expect(retries).To(BeNumerically("<=", requests/10+retrybudget.DefaultBurst))
	g.Expect(retries).To(BeNumerically(">=", requests/10))
	g.Expect(budget.State().Denied).To(BeNumerically(">", 0))
}

// A budget that starts again and again must not grant its burst each time.
func TestANewBudgetHasItsInitialRetriesOnly(t *testing.T) {
	tests := []struct {
		name           string
		initial, burst float64
		expected       int
	}{
		{"the default is the burst", 0, 4, 4},
		{"fewer than the burst", 1, 4, 1},
		{"more than the burst", 6, 4, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			budget := retrybudget.New(retrybudget.Config{Burst: test.burst, Initial: test.initial})
			retries := 0
			for budget.TryWithdraw() {
				retries++
			}
			g.Expect(retries).To(Equal(test.expected))
		})
	}
}
