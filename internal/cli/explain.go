package cli

import (
	"context"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/explain"
)

// explain reads log lines from standard input, and prints the timeline of one request or the number of
// failed requests by cause.
func (t *tool) explain(_ context.Context, id string) error {
	switch {
	case t.options.failures && id == "":
		return explain.PrintFailures(os.Stdin, t.out)
	case id != "" && !t.options.failures:
		return explain.PrintTimeline(os.Stdin, id, t.out)
	default:
		return merry.Wrap(errUsage, merry.AppendMessage("explain takes the id of a request, or --failures"))
	}
}
