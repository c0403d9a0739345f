// The model's log and its writers of base versions.

package baseversion

import (
	"maps"
	"slices"
	"time"
)

// modelLog is the log and the list of servers in it.
type modelLog struct {
	base *Base
	end  int
	era  int64
	// copied is the copy from which the log is restored.
	copied modelReading
	late   []modelAppend
	lists  []modelList
}

// restore restores the log from the last copy. All streams that may be resumed count as unrecorded then.
func (m *model) restore() {
	m.log.base, m.log.end, m.log.era = m.log.copied.base, m.log.copied.end, m.log.era+1
	m.list("", 0)
	maps.Copy(m.unrecorded, m.begun)
}

// read returns the table from the box itself or another one that reaches the log or has read it recently.
func (m *model) read(b *modelBox) (reading modelReading, read bool) {
	for _, other := range m.boxes {
		if other != b && (!other.running || other.isolated || b.isolated) {
			continue
		}
		if other.keeper.done && m.now-other.keeper.at <= modelMaxAge {
			return other.keeper, true
		}
		if !other.withoutLog {
			m.readLog(other)
			return other.keeper, true
		}
	}
	return modelReading{}, false
}

// readLog is a read of the log by a keeper.
func (m *model) readLog(b *modelBox) {
	b.store(modelReading{base: m.log.base, at: m.now, end: m.log.end, done: true})
	b.noteEra(m.log.era, m.now)
}

// recorderWithLog returns a box that can read the origins for b; nil if none can.
func (m *model) recorderWithLog(b *modelBox) *modelBox {
	for _, other := range m.boxes {
		if other == b && !b.withoutLog || other != b && other.running && !other.isolated && !b.isolated && !other.withoutLog {
			return other
		}
	}
	return nil
}

// observe returns the observation of a box; false while its list of servers is out of date.
func (m *model) observe(b *modelBox) (Observation, bool) {
	if b.frozen && m.now-b.frozenAt > modelListAge || len(b.versions(m.now)) == 0 {
		return Observation{}, false
	}
	seen := Observation{Listed: b.listed, Remembered: b.versions(m.now), ObservedFor: m.now - b.startedAt, Era: b.era}
	seen.EraSeenFor = seen.ObservedFor
	if b.era > 0 {
		seen.EraSeenFor = m.now - b.eraSeenAt
	}
	if b.isKnown {
		seen.KnownFor = m.now - b.knownSince
	}
	return seen, true
}

// write is a step of the keeper's loop. An append arrives one step after the read.
func (m *model) write(b *modelBox) {
	if b.planned != nil {
		m.append(b)
		return
	}
	seen, sees := m.observe(b)
	if !b.writes || !sees || m.now%checkInterval != 0 {
		return
	}
	if b.keeper.done {
		if _, changed := Next(b.keeper.base, seen); !changed {
			return
		}
	}
	if b.withoutLog {
		return
	}
	m.readLog(b)
	if seen, sees = m.observe(b); !sees {
		return
	}
	if next, changed := NextAt(b.keeper.base, seen, time.UnixMilli(m.now.Milliseconds())); changed {
		b.planned = &modelAppend{base: next, end: b.keeper.end}
	}
}

// append handles the arrival of a box's append, with the outcome that was set for it.
func (m *model) append(b *modelBox) {
	planned, outcome := *b.planned, b.nextAppend
	b.planned, b.nextAppend = nil, ""
	switch {
	case b.withoutLog || outcome == "refused":
		b.keeper.done = false
	case outcome == "late":
		planned.at = m.now + 12*time.Second
		m.log.late = append(m.log.late, planned)
		b.keeper.done = false
		m.notef("%s: append of %v has no response", b.name, describe(&planned.base))
	case !m.apply(planned, b.name) || outcome == "unknown":
		b.keeper.done = false
	default:
		b.store(modelReading{base: m.log.base, at: m.now, end: m.log.end, done: true})
	}
}

// apply appends if the log ends at the expected position.
func (m *model) apply(planned modelAppend, by string) bool {
	if m.log.end != planned.end {
		return false
	}
	m.log.base, m.log.end = &planned.base, m.log.end+1
	m.notef("%s: the log has %s", by, describe(m.log.base))
	return true
}

func (m *model) applyLate() {
	m.log.late = slices.DeleteFunc(m.log.late, func(late modelAppend) bool {
		if m.now >= late.at {
			m.apply(late, "late")
		}
		return m.now >= late.at
	})
}
