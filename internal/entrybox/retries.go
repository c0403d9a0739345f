// Retry budgets. The platform bounds the retries at each service, of all boxes together and in any window
// of time, by a ratio of the calls for it plus a fixed number, the slack. A box uses half of the ratio,
// because the calls of the last window count too, and an equal part of most of the slack.

package entrybox

import "github.com/cometlock/cometlock/internal/retrybudget"

const (
	retryRatioFraction = 0.5
	// retrySlackFraction leaves a part of the slack for the initial retries of boxes that start.
	retrySlackFraction = 0.7
	// initialRetries is the number of retries at a service that a box may make before it has had calls. It
	// is not its part of the slack: the incarnation before a crash may just have used that up.
	initialRetries = 1
)

// newRetryBudgets returns the retry budgets of a box that does not know how many boxes there are.
func newRetryBudgets(settings Settings) *retrybudget.Set {
	return retrybudget.NewSet(retrybudget.Config{
		PerRequest: retryRatioFraction * settings.RetryRatio, Burst: initialRetries, Initial: initialRetries, Window: settings.RetryWindow,
	})
}

// retryBurst returns the part of the slack of one of several boxes: the retries at a service that need no
// calls.
func retryBurst(settings Settings, boxes int) float64 {
	return max(initialRetries, retrySlackFraction*settings.RetrySlack/float64(boxes))
}

// updateRetryBudgets adapts the retry budgets to the number of boxes, and drops those of removed services.
// A box that knows no list of boxes would take the parts of all.
func (b *Box) updateRetryBudgets() {
	if boxes := b.share.ListedCount(); boxes > 0 {
		b.retries.SetBurst(retryBurst(b.settings, boxes))
	}
	if catalog := b.registry.Catalog(); catalog != nil {
		b.retries.DropUnused(func(service string) bool { return catalog.Service(service) != nil })
	}
}

// updateRetryGauges updates the gauges of the retry budgets.
func (b *Box) updateRetryGauges() {
	for service, budget := range b.retries.States() {
		tagged := b.metrics.Scope().Tagged(map[string]string{"service": service})
		tagged.Gauge("retries_saved").Update(budget.Balance)
		tagged.Gauge("retries_denied").Update(float64(budget.Denied))
	}
}
