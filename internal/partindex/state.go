// What the index knows, for metrics.

package partindex

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// State is what gauges show of one store box.
type State struct {
	Name string
	// Parts counts the parts that it keeps, Used their tokens.
	Parts int
	Used  int
	// Age is how old its last word is.
	Age time.Duration
}

// State describes the store boxes.
func (x *Index) State() []State {
	x.mu.Lock()
	defer x.mu.Unlock()
	states := make([]State, len(x.stores))
	for i, s := range x.stores {
		states[i] = State{s.name, len(s.held), s.used, boottime.Since(s.heardAt)}
	}
	return states
}
