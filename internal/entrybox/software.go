// The software versions of servers that this box observes, for package baseversion.

package entrybox

import (
	"time"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
)

// baseVersionWriter is the rendezvous hashing key that elects the box which writes the base versions.
const baseVersionWriter = "base versions"

// maxObservedAge is the maximum age of the list of servers at which it counts as up to date.
const maxObservedAge = 3 * time.Second

// listFreshness is the time since which the list of servers has been up to date; zero if it is not.
type listFreshness struct{ since time.Time }

// update records the present age of the list and returns how long it has been up to date; isCurrent is false if it is
// not.
func (l *listFreshness) update(age time.Duration) (length time.Duration, isCurrent bool) {
	if age > maxObservedAge {
		l.since = time.Time{}
		return 0, false
	}
	if l.since.IsZero() {
		l.since = boottime.Now()
	}
	return boottime.Since(l.since), true
}

// writesBaseVersions reports whether this box is the one that writes the base versions.
func (b *Box) writesBaseVersions() bool { return !b.leaving.Load() && b.isElected(baseVersionWriter) }

// observeSoftware returns the observed software versions by service, for the box that writes the base versions; none
// while the list of servers is out of date. The other boxes only record how long it has been up to date.
func (b *Box) observeSoftware() map[string]baseversion.Observation {
	return b.listFreshness.software(b.registry.ServersAge(), b.writesBaseVersions(), b.fleet)
}

// software is observeSoftware for a list of servers of a certain age.
func (l *listFreshness) software(age time.Duration, isWriter bool, servers *fleet.Fleet) map[string]baseversion.Observation {
	seen := map[string]baseversion.Observation{}
	observedFor, isCurrent := l.update(age)
	if !isCurrent || !isWriter {
		return seen
	}
	for service, listed := range servers.ListedSoftware() {
		seen[service] = baseversion.Observation{Listed: listed, Remembered: servers.SoftwareVersions(service), ObservedFor: observedFor}
	}
	return seen
}
