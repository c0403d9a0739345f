// Reads of a log that is in another era than the position that they begin at (package logposition).

package sharedlog

import (
	"fmt"

	"github.com/cometlock/cometlock/internal/logposition"
)

// FromStart makes Read begin at the beginning of a stream, in whichever era.
const FromStart = -2

// HistoryChangedError means that the position of a read is from an earlier era than the log.
type HistoryChangedError struct {
	// Start is the position of the first record in the log's era.
	Start int64
}

// Error implements error.
func (e *HistoryChangedError) Error() string {
	return fmt.Sprintf("the log came back from a copy and is in era %d", logposition.Era(e.Start))
}

// CheckEra returns an error if a read from a position was answered in a later era than the position's.
func CheckEra(from, era int64) error {
	if from == FromStart || logposition.Era(from) == era {
		return nil
	}
	return &HistoryChangedError{Start: logposition.New(era, 0)}
}
