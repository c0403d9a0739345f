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

// observeSoftware returns the software versions of each service; none while the list of servers is out of date.
func (b *Box) observeSoftware() map[string]baseversion.Observation {
	seen := map[string]baseversion.Observation{}
	if b.registry.ServersAge() > maxObservedAge {
		return seen
	}
	for service, listed := range b.fleet.ListedSoftware() {
		seen[service] = baseversion.Observation{Listed: listed, Remembered: b.fleet.SoftwareVersions(service), ObservedFor: boottime.Since(b.startedAt)}
	}
	return seen
}
