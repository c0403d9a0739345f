// The settings of a box and their defaults.

package entrybox

import (
	"cmp"
	"time"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/mechanism"
)

// Settings are the startup settings of a box.
type Settings struct {
	Box  string
	Zone string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// IP addresses and ports for callers, for the balancer, for reports of other boxes, for boxes
	// that follow this one, and for boxes that request places from it. Port 0 selects a free port.
	CallerAddress string
	ReadyAddress  string
	PeerAddress   string
	ReaderAddress string
	PlacesAddress string
	// ForwardAddress is the IP address and port for calls that other boxes forward to this one. If it
	// is empty, the box takes none.
	ForwardAddress string
	// OriginsAddress is the IP address and port at which this box holds the origins of streams for other
	// boxes. If it is empty, it holds none.
	OriginsAddress string
	// MetricsAddress serves only collectors of metrics. Where it is empty they use the balancer's
	// address, which serves metrics in any case.
	MetricsAddress string
	// StopTimeout is how long the process may keep running after a stop was requested.
	StopTimeout time.Duration
	// UnreadyDelay is how long new calls may still arrive after the box has reported unready.
	UnreadyDelay time.Duration
	// OrderGap is the minimum time between the orders of two boxes to runners.
	OrderGap time.Duration
	// OutdatedAfter is how long older weights may still answer after new ones were declared.
	OutdatedAfter time.Duration
	// ServerHeartbeat is the interval at which backend servers write their registry entries.
	ServerHeartbeat time.Duration
	// RetryRatio and RetrySlack bound the retries of all boxes together at each service: RetryRatio for
	// each call for it, plus RetrySlack, in any time of RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdOverage and ColdSlack bound the calls that all boxes together send to a cold server in
	// any second: ColdOverage times its capacity, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// Mechanisms records which mechanisms are switched off.
	Mechanisms mechanism.Switches
	// FirstSystemStart is true when the whole system starts for the first time.
	FirstSystemStart bool
	// DrainDeadline is the time within which a leaving server must get no new calls, and
	// ConfigurationDeadline that within which a configuration must be in force; 0 if the platform
	// does not specify them.
	DrainDeadline         time.Duration
	ConfigurationDeadline time.Duration
	// LogAppendTime is the time that the platform's log takes for an append; 0 if the platform does
	// not specify it.
	LogAppendTime time.Duration
	// Cores is the number of processor cores that the process may use; 0 if the platform does not
	// specify it.
	Cores float64
	// MemoryBytes limits the memory of the process; 0 means no limit.
	MemoryBytes int64
	// Descriptors limits the open descriptors of the process; 0 means that of the operating system.
	Descriptors int
}

// Defaults of Settings.
const (
	DefaultStopTimeout = 8 * time.Second
	// DefaultUnreadyDelay covers two polls of the balancer, which polls each second and acts on the
	// second failure.
	DefaultUnreadyDelay  = 2500 * time.Millisecond
	DefaultOrderGap      = 3 * time.Second
	DefaultOutdatedAfter = 12 * time.Second
	DefaultRetryRatio    = 0.2
	DefaultRetrySlack    = 56
	DefaultRetryWindow   = 10 * time.Second
	DefaultColdOverage   = 1.0
)

// withDefaults returns the settings with defaults in place of zero values.
func (s Settings) withDefaults() Settings {
	s.StopTimeout = cmp.Or(s.StopTimeout, DefaultStopTimeout)
	s.UnreadyDelay = cmp.Or(s.UnreadyDelay, DefaultUnreadyDelay)
	s.OrderGap = cmp.Or(s.OrderGap, DefaultOrderGap)
	s.OutdatedAfter = cmp.Or(s.OutdatedAfter, DefaultOutdatedAfter)
	s.ServerHeartbeat = cmp.Or(s.ServerHeartbeat, fleet.DefaultHeartbeat)
	s.RetryRatio = cmp.Or(s.RetryRatio, DefaultRetryRatio)
	s.RetrySlack = cmp.Or(s.RetrySlack, DefaultRetrySlack)
	s.RetryWindow = cmp.Or(s.RetryWindow, DefaultRetryWindow)
	s.ColdOverage = cmp.Or(s.ColdOverage, DefaultColdOverage)
	return s
}
