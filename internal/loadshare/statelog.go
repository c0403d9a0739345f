// Log lines on which boxes report. A line is written at once if the last one is some time ago.
// Otherwise the changes are collected, and a box that has timed out and reports again in the meantime
// is not in any line: a large fleet that starts would write hundreds of lines a second.
//
// This file has no I/O and no clock; callers pass the time.

package loadshare

import (
	"slices"
	"time"
)

// stateLogInterval is the time between two lines.
const stateLogInterval = 5 * time.Second

// stateLog collects the changes that have not been logged yet.
type stateLog struct {
	// changed holds the boxes whose last line is outdated, with whether they report now.
	changed  map[string]bool
	loggedAt time.Time
}

// add records boxes that report from now on, or no longer.
func (l *stateLog) add(boxes []string, heard bool) {
	if l.changed == nil {
		l.changed = map[string]bool{}
	}
	for _, box := range boxes {
		if before, found := l.changed[box]; found && before != heard {
			delete(l.changed, box)
			continue
		}
		l.changed[box] = heard
	}
}

// take returns the changes that are to be logged now, in the order of the names.
func (l *stateLog) take(now time.Time) (heard, timedOut []string) {
	if len(l.changed) == 0 || now.Sub(l.loggedAt) < stateLogInterval {
		return nil, nil
	}
	for box, isHeard := range l.changed {
		if isHeard {
			heard = append(heard, box)
		} else {
			timedOut = append(timedOut, box)
		}
	}
	l.changed, l.loggedAt = nil, now
	slices.Sort(heard)
	slices.Sort(timedOut)
	return heard, timedOut
}
