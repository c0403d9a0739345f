package retrybudget_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/retrybudget"
)

// After the saved-up retries are gone, an outage can add at most a tenth to the
// load, however many requests fail.
func TestRetriesCannotOutgrowTheLoad(t *testing.T) {
	g := NewWithT(t)
	budget := retrybudget.New(retrybudget.Config{})
	retries := 0
	const requests = 10_000
	for range requests {
		budget.Deposit()
		for range 3 { // each failure would like several retries
			if budget.TryWithdraw() {
				retries++
			}
		}
	}
	g.Expect(retries).To(BeNumerically("<=", requests/10+retrybudget.DefaultBurst))
	g.Expect(retries).To(BeNumerically(">=", requests/10))
	g.Expect(budget.State().Denied).To(BeNumerically(">", 0))
}
