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
