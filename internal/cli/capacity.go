package cli

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/cometlock/cometlock/internal/capacity"
)

// addSizeFlags adds the flags for the size of a deployment. The defaults are the size that the system
// is designed for.
func (t *tool) addSizeFlags(sub *flaggy.Subcommand) {
	size := &t.options.size
	sub.Int(&size.Nodes, "", "nodes", "entry boxes (number)")
	sub.Int(&size.Zones, "", "zones", "availability zones (number)")
	sub.Int(&size.Runners, "", "runners", "model runners (number)")
	sub.Int(&size.Organisations, "", "organisations", "organisations (number)")
	sub.Int(&size.Contexts, "", "contexts", "contexts that return (number)")
	sub.Int(&size.ChangesPerDay, "", "changes", "configuration changes (a day)")
	sub.Float64(&size.RequestsPerSec, "", "requests", "requests (a second)")
	sub.Float64(&size.ClaimShare, "", "claim-part", "part of the requests that carry an idempotency key (0 to 1)")
	sub.Int(&size.ReviewsWaiting, "", "reviews", "waiting reviews (number)")
}

// capacity prints the resources that one entry box uses at the given size.
func (t *tool) capacity(context.Context, string) error {
	slopes, err := capacity.MeasuredSlopes()
	if err != nil {
		return err
	}
	rows := capacity.MechanismCosts(t.options.size, slopes)
	if t.json() {
		return t.printJSON(rows)
	}
	capacity.Print(t.out, t.options.size, rows, capacity.DefaultLimits())
	capacity.PrintEventCosts(t.out, capacity.EventCosts(t.options.size, slopes))
	return nil
}
