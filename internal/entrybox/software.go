// The software versions of servers that this box observes, for package baseversion.

package entrybox

import (
	"time"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/boottime"
)

// baseVersionWriter is the rendezvous hashing key that elects the box which writes the base versions.
const baseVersionWriter = "base versions"

// maxObservedAge is the maximum age of the list of servers at which it counts as up to date.
const maxObservedAge = 3 * time.Second

// listFreshness is the time since which the list of servers has been up to date; zero if it is not.
type listFreshness struct{ since time.Time }

// update records the present age of the list and returns how long it has been up to date; isCurrent is false if it is
// not.
func (o *listFreshness) update(age time.Duration) (length time.Duration, isCurrent bool) {
	if age > maxObservedAge {
		o.since = time.Time{}
		return 0, false
	}
	if o.since.IsZero() {
		o.since = boottime.Now()
	}
	return boottime.Since(o.since), true
}

// observeSoftware returns the observed software versions by service; none while the list of servers is out of date.
func (b *Box) observeSoftware() map[string]baseversion.Observation {
	seen := map[string]baseversion.Observation{}
	observedFor, isCurrent := b.listFreshness.update(b.registry.ServersAge())
	if !isCurrent {
		return seen
	}
	for service, listed := range b.fleet.ListedSoftware() {
		seen[service] = baseversion.Observation{Listed: listed, Remembered: b.fleet.SoftwareVersions(service), ObservedFor: observedFor}
	}
	return seen
}
