// Settings of a box, and what holds where the platform names nothing.

package entrybox

import (
	"cmp"
	"time"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/mechanism"
)

// Settings are what a box needs to know when it starts.
type Settings struct {
	Box  string
	Zone string
	// Regions gives the region of each availability zone.
	Regions map[string]string
	// IP addresses and ports for callers, for the balancer, for other boxes' work, for boxes
	// that follow this one, and for boxes that ask it for places; port 0 takes a free one.
	CallerAddress string
	ReadyAddress  string
	PeerAddress   string
	ReaderAddress string
	PlacesAddress string
	// MetricsAddress is for collectors alone; empty leaves them the balancer's.
	MetricsAddress string
	// StopTimeout is how long the process may go on after it was asked to stop.
	StopTimeout time.Duration
	// UnreadyDelay is how long callers may still come after the box turned unready.
	UnreadyDelay time.Duration
	// OrderGap is how far the orders of two boxes to runners must lie apart.
	OrderGap time.Duration
	// OutdatedAfter is how long after new weights were named older ones may answer.
	OutdatedAfter time.Duration
	// ServerHeartbeat is how often backend servers write their entries.
	ServerHeartbeat time.Duration
	// RetryRatio and RetrySlack bound the retries of all boxes together: so many for
	// each call, and so many more.
	RetryRatio float64
	RetrySlack float64
	// ColdOverage and ColdSlack bound what all boxes together send a cold server in any second:
	// so many times what it bears, and so many calls more.
	ColdOverage float64
	ColdSlack   float64
	// Mechanisms holds mechanisms that are switched off.
	Mechanisms mechanism.Switches
	// FirstSystemStart says that the whole system starts for the first time.
	FirstSystemStart bool
	// Cores is the processor that the process may use; 0 where the platform does not say.
	Cores float64
	// MemoryBytes bounds the process; 0 is no bound.
	MemoryBytes int64
}

// Defaults of Settings.
const (
	DefaultStopTimeout = 8 * time.Second
	// DefaultUnreadyDelay spans two questions of the balancer, which asks each second
	// and believes the second answer.
	DefaultUnreadyDelay  = 2500 * time.Millisecond
	DefaultOrderGap      = 3 * time.Second
	DefaultOutdatedAfter = 12 * time.Second
	DefaultRetryRatio    = 0.2
	DefaultRetrySlack    = 56
	DefaultColdOverage   = 1.0
)

// withDefaults fills in what the settings leave open.
func (s Settings) withDefaults() Settings {
	s.StopTimeout = cmp.Or(s.StopTimeout, DefaultStopTimeout)
	s.UnreadyDelay = cmp.Or(s.UnreadyDelay, DefaultUnreadyDelay)
	s.OrderGap = cmp.Or(s.OrderGap, DefaultOrderGap)
	s.OutdatedAfter = cmp.Or(s.OutdatedAfter, DefaultOutdatedAfter)
	s.ServerHeartbeat = cmp.Or(s.ServerHeartbeat, fleet.DefaultHeartbeat)
	s.RetryRatio = cmp.Or(s.RetryRatio, DefaultRetryRatio)
	s.RetrySlack = cmp.Or(s.RetrySlack, DefaultRetrySlack)
	s.ColdOverage = cmp.Or(s.ColdOverage, DefaultColdOverage)
	return s
}
