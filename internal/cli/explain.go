package cli

import (
	"context"
	"os"

	"github.com/cometlock/cometlock/internal/explain"
)

// allFailures stands in the place of a request's id.
const allFailures = "failures"

// explain tells the story of one request, or counts the failed ones, from log lines
// on standard input.
func (t *tool) explain(_ context.Context, id string) error {
	if id == allFailures {
		return explain.Failures(os.Stdin, t.out)
	}
	return explain.Story(os.Stdin, id, t.out)
}
