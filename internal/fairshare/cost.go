// The cost of calls.

package fairshare

import "time"

// Call is a call whose cost is recorded.
type Call struct {
	Service, Organisation string
	// Tokens is the memory that the call uses, and Memory that of a runner, in tokens; zero if it is
	// unknown.
	Tokens, Memory int
}

const (
	// callTime is the expected duration of a call. The mean is near two seconds for most kinds.
	callTime = 2 * time.Second
	// defaultSlots is assumed where servers state no number of slots.
	defaultSlots = 16
)

// Cost returns the cost of a call, in seconds of a whole runner with a number of slots: the larger of
// the shares of slots and of memory that it takes, times its expected duration.
func (c Call) Cost(slots int) float64 {
	if slots <= 0 {
		slots = defaultSlots
	}
	share := 1 / float64(slots)
	if c.Tokens > 0 && c.Memory > 0 {
		share = max(share, min(float64(c.Tokens)/float64(c.Memory), 1))
	}
	return share * callTime.Seconds()
}
