// The software versions of servers. What servers of two versions write for one stream does not fit
// together, and versions have no order: several may serve side by side, and one may be withdrawn.

package fleet

import "slices"

// SoftwareVersions returns the software versions of the servers of a service, including those that were
// delisted in the last forgetAfter, so that the version of any stream that is still running is among
// them. It must not be modified.
func (f *Fleet) SoftwareVersions(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions, known := f.softwareVersions[service]
	if known {
		return versions
	}
	for state := range f.groups[service].all() {
		if !slices.Contains(versions, state.Software) {
			versions = append(versions, state.Software)
		}
	}
	f.softwareVersions[service] = versions
	return versions
}
