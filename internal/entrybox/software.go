// What this box observes of the software versions of servers, for package baseversion.

package entrybox

import (
	"time"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
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

// writesBaseVersions reports whether this box is the one that writes the base versions.
func (b *Box) writesBaseVersions() bool { return !b.leaving.Load() && b.isElected(baseVersionWriter) }

// observeSoftware returns the software versions of each service, for the box that writes the base versions; none while
// the list of servers is out of date. The other boxes notice only how long it has been up to date.
func (b *Box) observeSoftware() map[string]baseversion.Observation {
	return b.observation.software(b.registry.ServersAge(), b.writesBaseVersions(), b.fleet)
}

// software returns the software versions of each service if the list of servers is of an age now.
func (o *observation) software(age time.Duration, isWriter bool, servers *fleet.Fleet) map[string]baseversion.Observation {
	seen := map[string]baseversion.Observation{}
	observedFor, isCurrent := o.lasted(age)
	if !isCurrent || !isWriter {
		return seen
	}
	for service, listed := range servers.ListedSoftware() {
		seen[service] = baseversion.Observation{Listed: listed, Remembered: servers.SoftwareVersions(service), ObservedFor: observedFor}
	}
	return seen
}
