// Streams and the software versions of the servers that wrote them.

package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Invariants of streams that their callers resume at any box. The first one is stricter than what the users'
// pages allow, which is the second one.
const (
	InvariantVersions      = "a stream holds events of one software version"
	InvariantMixedStreams  = "at most two streams hold events of two software versions"
	InvariantResumedStream = "streams that are resumed continue half as often as new ones begin"
)

const (
	// maxMixedStreams, minResumed and minContinued are the numbers of the users' pages: the share of at least
	// minResumed streams that continue must be minContinued of the share of new streams that begin.
	maxMixedStreams = 2
	minResumed      = 12
	minContinued    = 0.5
	// minServing is the number of runners of a stream's version that must serve.
	minServing = 2
	// resumeWindow is the length of the sliding windows in which streams are counted, apart from the whole run.
	resumeWindow = 5 * time.Second
)

// ResumableStream is a stream over all attempts of its caller.
type ResumableStream struct {
	ID string
	// Versions has the software versions in its events.
	Versions []string
	// Resumed reports that it broke off and its caller resumed it, Complete that it was received to its end.
	Resumed, Complete bool
	Tries             []StreamTry
}

// StreamTry is one request of a caller for a stream.
type StreamTry struct {
	ID               string
	Box, Incarnation int
	// Answered is when the header of the response arrived, or when the connection failed.
	Began, Answered time.Duration
	// After is the last event that the caller had before, and Last the one that it had afterwards.
	After, Last int
	// KeyDenied reports that the request was denied and had the key of a single version of the configuration.
	KeyDenied bool
	Outcome   Outcome
}

// AddVersions adds the versions of another attempt.
func (s *ResumableStream) AddVersions(versions []string) {
	for _, version := range versions {
		if !slices.Contains(s.Versions, version) {
			s.Versions = append(s.Versions, version)
		}
	}
}

// phases returns the tries up to each one that brought events: the first phase begins the stream, the others
// resume it.
func (s *ResumableStream) phases() [][]StreamTry {
	var phases [][]StreamTry
	from := 0
	for i, try := range s.Tries {
		if try.hasContinued() || i == len(s.Tries)-1 {
			phases = append(phases, s.Tries[from:i+1])
			from = i + 1
		}
	}
	return phases
}

// hasContinued reports whether a try brought events, or the end of a stream without further ones.
func (t *StreamTry) hasContinued() bool {
	return t.Last > t.After || t.Outcome == CompleteResponse
}

// isResumption reports whether a phase resumes a stream, and hasContinued whether its last try brought events.
func isResumption(phase []StreamTry) bool { return phase[0].After > 0 }

func hasContinued(phase []StreamTry) bool { return phase[len(phase)-1].hasContinued() }

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

// DescribeResumptions describes how often streams were resumed at any box, how often they continued, and for
// which reasons boxes refused that.
func (h *History) DescribeResumptions() string {
	resumed, continued := 0, 0
	reasons := map[string]int{}
	for i := range h.Streams {
		for _, phase := range h.Streams[i].phases() {
			if !isResumption(phase) {
				continue
			}
			resumed++
			if hasContinued(phase) {
				continued++
			}
			for _, try := range phase {
				if !try.hasContinued() {
					reasons[h.reason(try)]++
				}
			}
		}
	}
	counted, begun := h.countedStreams()
	lost := map[string]int{}
	for _, stream := range counted {
		if !stream.ok {
			lost[h.reason(stream.try)]++
		}
	}
	return fmt.Sprintf("%d of %d resumptions continued, refused as %v; of these %d of %d at boxes in touch with runners, lost as %v, beside %d of %d new streams",
		continued, resumed, reasons, countOK(counted), len(counted), lost, countOK(begun), len(begun))
}

// reason returns why a try brought no events: the reason of the box, or what the caller saw.
func (h *History) reason(try StreamTry) string {
	return cmp.Or(h.Reasons[try.ID], try.Outcome.String())
}

func (h *History) checkVersions(report reportFunc) {
	mixed := 0
	for _, stream := range h.Streams {
		if len(stream.Versions) > 1 {
			mixed++
			report(InvariantVersions, "%s: %s", stream.ID, strings.Join(stream.Versions, ", "))
		}
	}
	if mixed > maxMixedStreams {
		report(InvariantMixedStreams, "%d streams", mixed)
	}
}

// countedStream is a stream that was begun or resumed, with the try that counts, and whether it brought events.
type countedStream struct {
	try StreamTry
	ok  bool
}

func countOK(streams []countedStream) int {
	count := 0
	for _, stream := range streams {
		if stream.ok {
			count++
		}
	}
	return count
}

// countedStreams returns the streams with a try that a box in touch answered, ordered by time. Resumed ones
// count while two runners of their software version serve.
func (h *History) countedStreams() (resumed, begun []countedStream) {
	for i := range h.Streams {
		stream := &h.Streams[i]
		for _, phase := range stream.phases() {
			first := slices.IndexFunc(phase, func(try StreamTry) bool {
				return !try.KeyDenied && h.isInTouch(try.Box, try.Began, try.Answered) && (!isResumption(phase) || h.isServed(stream, try))
			})
			if first < 0 {
				continue
			}
			counted := countedStream{phase[first], hasContinued(phase)}
			if isResumption(phase) {
				resumed = append(resumed, counted)
			} else {
				begun = append(begun, counted)
			}
		}
	}
	byTime := func(a, b countedStream) int { return cmp.Compare(a.try.Began, b.try.Began) }
	slices.SortFunc(resumed, byTime)
	slices.SortFunc(begun, byTime)
	return resumed, begun
}

// isInTouch reports whether the process of a box ran, its paths and the log were undisturbed, from syncTime
// before a period to its end. A store box that comes back empty disturbs neither.
func (h *History) isInTouch(box int, from, to time.Duration) bool {
	return !h.isDisturbed(from-syncTime, to, func(f Fault) bool {
		if f.Kind.IsRoutine() && f.Kind != PauseBox && f.Kind != RestartBox || f.Kind == EmptyStore {
			return false
		}
		return f.Kind.scope() == wholeFleet || f.Kind.scope() == oneBox && f.Target == box
	})
}

// isServed reports whether enough runners of the stream's version serve and do not drain during a try.
func (h *History) isServed(stream *ResumableStream, try StreamTry) bool {
	serving := 0
	for server := range h.Software {
		if slices.Contains(stream.Versions, h.softwareAt(server, try.Began)) && h.isServing(server, try.Began, try.Answered) {
			serving++
		}
	}
	return serving >= minServing
}

// isServing reports whether a server ran, could be reached, did not drain and was not in an evacuated zone in a
// period.
func (h *History) isServing(server int, from, to time.Duration) bool {
	for _, evacuation := range h.Evacuations {
		if IsInSecondZone(server) && evacuation.At <= to && evacuation.Until >= from {
			return false
		}
	}
	for _, leaving := range h.LeavingPeriods {
		if leaving.Server == server && leaving.At <= to && leaving.Until >= from {
			return false
		}
	}
	for _, advisory := range h.Advisories {
		if advisory.Server == server && advisory.At <= to && advisory.Until >= from {
			return false
		}
	}
	if h.isDisturbed(from-maxListingDelay, to, func(f Fault) bool { return f.Kind == ReleaseRunner && f.Target == server }) {
		return false
	}
	return !h.isDisturbed(from, to, func(f Fault) bool {
		if f.Kind == StallServers {
			return true
		}
		return f.Kind.scope() == oneServer && f.Target == server && f.Kind != ColdServer && f.Kind != DelayServer
	})
}

// checkResumed compares the streams that were resumed with those that began, in the whole run and in sliding
// windows. It reports the first window in which too few were continued.
func (h *History) checkResumed(report reportFunc) {
	resumed, begun := h.countedStreams()
	windows := []period{{0, h.Ended}}
	for _, stream := range resumed {
		windows = append(windows, period{stream.try.Began, stream.try.Began + resumeWindow})
	}
	for _, window := range windows {
		again, fresh := window.filter(resumed), window.filter(begun)
		if len(again) < minResumed || len(fresh) == 0 {
			continue
		}
		if float64(countOK(again))/float64(len(again)) < minContinued*float64(countOK(fresh))/float64(len(fresh)) {
			report(InvariantResumedStream, "%d of %d streams continued, %d of %d new ones began, between %v and %v",
				countOK(again), len(again), countOK(fresh), len(fresh), window.from.Round(time.Millisecond), window.to.Round(time.Millisecond))
			return
		}
	}
}

type period struct{ from, to time.Duration }

// filter returns the streams of a period; they are ordered by time.
func (p period) filter(streams []countedStream) []countedStream {
	compare := func(s countedStream, at time.Duration) int { return cmp.Compare(s.try.Began, at) }
	first, _ := slices.BinarySearchFunc(streams, p.from, compare)
	end, _ := slices.BinarySearchFunc(streams, p.to, compare)
	return streams[first:end]
}
