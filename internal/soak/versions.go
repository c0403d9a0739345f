// Streams and the software versions of the servers that wrote them.

package soak

import (
	"slices"
	"strings"
)

// InvariantVersions is the invariant of streams that their callers resume at any box.
const InvariantVersions = "a stream holds events of one software version"

// ResumableStream is a stream over all attempts of its caller.
type ResumableStream struct {
	ID string
	// Versions has the software versions in its events.
	Versions []string
	// Resumed reports that it broke off and its caller resumed it, Complete that it was received to its end.
	Resumed, Complete bool
}

// AddVersions adds the versions of another attempt.
func (s *ResumableStream) AddVersions(versions []string) {
	for _, version := range versions {
		if !slices.Contains(s.Versions, version) {
			s.Versions = append(s.Versions, version)
		}
	}
}

// CountResumed returns the number of streams that were resumed, or of those that were then completed.
func (h *History) CountResumed(complete bool) int {
	count := 0
	for _, stream := range h.Streams {
		if stream.Resumed && (stream.Complete || !complete) {
			count++
		}
	}
	return count
}

func (h *History) checkVersions(report reportFunc) {
	for _, stream := range h.Streams {
		if len(stream.Versions) > 1 {
			report(InvariantVersions, "%s: %s", stream.ID, strings.Join(stream.Versions, ", "))
		}
	}
}
