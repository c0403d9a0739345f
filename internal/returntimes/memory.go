package returntimes

import "time"

const (
	// maxRemembered bounds the refused calls that are remembered.
	maxRemembered = 4096
	// lateReturn is how long after its return time a call is still expected.
	lateReturn = time.Second
)

// Memory has the fingerprints of refused calls, for as long as their return is expected. The zero value
// is empty.
type Memory struct {
	until map[uint64]time.Time
	// oldest has the calls in the order in which they were added, as a ring.
	oldest []refused
	next   int
}

// refused is a call that was refused.
type refused struct {
	fingerprint uint64
	until       time.Time
}

// Add records that a call was refused and should come back after some time. The oldest one is
// forgotten if there are too many.
func (m *Memory) Add(fingerprint uint64, after time.Duration, now time.Time) {
	if fingerprint == 0 {
		return
	}
	if m.until == nil {
		m.until = map[uint64]time.Time{}
	}
	added := refused{fingerprint, now.Add(after + lateReturn)}
	if len(m.oldest) < maxRemembered {
		m.oldest = append(m.oldest, added)
	} else {
		m.forget(m.oldest[m.next])
		m.oldest[m.next] = added
		m.next = (m.next + 1) % maxRemembered
	}
	m.until[fingerprint] = added.until
}

// forget removes a call, unless it has been refused again since.
func (m *Memory) forget(call refused) {
	if m.until[call.fingerprint].Equal(call.until) {
		delete(m.until, call.fingerprint)
	}
}

// Take reports whether a call was refused before and is expected back. It counts as returning once.
func (m *Memory) Take(fingerprint uint64, now time.Time) bool {
	until, known := m.until[fingerprint]
	delete(m.until, fingerprint)
	return known && !now.After(until)
}
