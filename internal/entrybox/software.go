// What this box observes of the software versions of servers, for package baseversion.

package entrybox

import (
	"time"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/boottime"
)

// baseVersionWriter is the name whose first box by rendezvous hashing writes the base versions.
const baseVersionWriter = "base versions"

// maxObservedAge is the age of the list of servers up to which the box observes what there is.
const maxObservedAge = 3 * time.Second

// observation is the time for which the list of servers has been up to date. The zero value has begun at no time.
type observation struct{ since time.Time }

// lasted returns how long the list has been up to date if it is of an age now; isCurrent is false if it is not.
func (o *observation) lasted(age time.Duration) (length time.Duration, isCurrent bool) {
	if age > maxObservedAge {
		o.since = time.Time{}
		return 0, false
	}
	if o.since.IsZero() {
		o.since = boottime.Now()
	}
	return boottime.Since(o.since), true
}

// observeSoftware returns the software versions of each service; none while the list of servers is out of date.
func (b *Box) observeSoftware() map[string]baseversion.Observation {
	seen := map[string]baseversion.Observation{}
	observedFor, isCurrent := b.observation.lasted(b.registry.ServersAge())
	if !isCurrent {
		return seen
	}
	for service, listed := range b.fleet.ListedSoftware() {
		seen[service] = baseversion.Observation{Listed: listed, Remembered: b.fleet.SoftwareVersions(service), ObservedFor: observedFor}
	}
	return seen
}
