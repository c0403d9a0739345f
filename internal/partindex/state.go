// State of the index for metrics.

package partindex

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// State is the state of one store box, for gauges.
type State struct {
	Name string
	// Parts is the number of parts that it holds, and Used the space in tokens that all its parts
	// take up.
	Parts int
	Used  int
	// Age is the age of this state.
	Age time.Duration
	// Slow reports whether its link counts as slow.
	Slow bool
}

// State returns the state of all store boxes.
func (x *Index) State() []State {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := boottime.Now()
	states := make([]State, len(x.stores))
	for i, s := range x.stores {
		x.reportChange(s, SpeedChange{}, now) // of a mark that has expired
		states[i] = State{s.name, len(s.held), s.used, now.Sub(s.asOf), s.isSlow(now)}
	}
	return states
}
