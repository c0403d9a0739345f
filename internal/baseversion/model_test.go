// A model of boxes that read and write the base version of one service, with delayed lists of servers and faults.
// needsRecord, needsBases and keepBases repeat the rules of package streamorigin. A record that a stream needs is in the
// log until the log is restored from a copy.

package baseversion

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// modelStep is the time between two steps of all boxes.
	modelStep = 250 * time.Millisecond
	// modelLife is how long a caller may resume a stream.
	modelResumeTime = time.Minute
	// modelMaxAge is the maximum age of a table that a box sends to others, and modelInterval the time between two
	// requests for it, as in package streamorigin.
	modelMaxAge   = 2 * time.Second
	modelInterval = LeaseTime / 4
	// modelListAge is the maximum age of a box's list of servers at which it writes.
	modelListAge = 3 * time.Second
)

// modelHashes is the number of hashes that streams have.
const modelHashes = 6

// modelStream is a stream by its hash and the version that began it.
type modelStream struct {
	hash    uint64
	version string
}

// modelReading is a table of one service as of a read of the log.
type modelReading struct {
	base *Base
	at   time.Duration
	end  int
	done bool
}

// modelAppend is an append with its expected end that takes effect at a time.
type modelAppend struct {
	base Base
	end  int
	at   time.Duration
}

// modelList is the list of servers from a time on, and the era of the log then.
type modelList struct {
	at     time.Duration
	listed map[string]int
	era    int64
}

type modelBox struct {
	name      string
	running   bool
	startedAt time.Duration
	// lag is how long the list of servers takes to arrive. A frozen box has received none since frozenAt.
	lag      time.Duration
	frozenAt time.Duration
	frozen   bool
	// isolated boxes reach no other box, and withoutLog ones cannot reach the log.
	isolated, withoutLog bool
	// writes is set for the elected box, and for others that consider themselves elected.
	writes bool
	// nextAppend is the outcome of the next append.
	nextAppend string

	listed     map[string]int
	remembered map[string]time.Duration
	era        int64
	eraSeenAt  time.Duration
	keeper     modelReading
	knownSince time.Duration
	isKnown    bool
	planned    *modelAppend
	// known is the table that package streamorigin uses at the box.
	known modelReading
	// arriving is a table on its way to the box, which was age old when it was sent.
	arriving *modelReading
	age      time.Duration
	transit  time.Duration
}

// model is the simulated system.
type model struct {
	now   time.Duration
	log   modelLog
	boxes []*modelBox
	// unrecorded is the start of the last stream of each version without a record, and begun that of the last stream.
	unrecorded map[modelStream]time.Duration
	begun      map[modelStream]time.Duration
	trace      []string
}

func newModel(boxes int) *model {
	m := &model{unrecorded: map[modelStream]time.Duration{}, begun: map[modelStream]time.Duration{}}
	m.log.lists = []modelList{{listed: map[string]int{}}}
	for i := range boxes {
		m.boxes = append(m.boxes, &modelBox{name: fmt.Sprint("box-", i), writes: i == 0, transit: modelStep})
		m.start(m.boxes[i])
	}
	return m
}

func (m *model) notef(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%8v  ", m.now)+fmt.Sprintf(format, args...))
}

func (m *model) history() string { return strings.Join(m.trace, "\n") }

// start starts an incarnation of a box, which has read the list of servers and nothing else.
func (m *model) start(b *modelBox) {
	b.running, b.startedAt, b.frozen = true, m.now, false
	b.listed, b.remembered, b.era, b.eraSeenAt = nil, map[string]time.Duration{}, 0, m.now
	b.keeper, b.known, b.arriving, b.planned, b.isKnown = modelReading{}, modelReading{}, nil, nil, false
	b.applyList(m.log.lists[len(m.log.lists)-1], m.now)
}

// list changes the listed servers of a version.
func (m *model) list(version string, servers int) {
	listed := maps.Clone(m.log.lists[len(m.log.lists)-1].listed)
	listed[version] = servers
	if servers == 0 {
		delete(listed, version)
	}
	m.log.lists = append(m.log.lists, modelList{at: m.now, listed: listed, era: m.log.era})
}

// applyList replaces the box's list of servers.
func (b *modelBox) applyList(list modelList, now time.Duration) {
	for version := range b.listed {
		b.remembered[version] = now // it is remembered from the time when the box reads that it left
	}
	b.listed = list.listed
	for version := range b.listed {
		b.remembered[version] = now
	}
	b.noteEra(list.era, now)
}

// versions returns the versions that the box remembers.
func (b *modelBox) versions(now time.Duration) (versions []string) {
	for version, at := range b.remembered {
		if _, listed := b.listed[version]; listed || now-at <= minAbsence {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// step advances all boxes by modelStep. It returns a description of the first stream that is resumed at another version
// than its own; empty if there is none.
func (m *model) step() string {
	m.now += modelStep
	m.applyLate()
	m.elect()
	for _, b := range m.boxes {
		if !b.running {
			continue
		}
		m.updateView(b)
		m.begin(b)
		m.receive(b)
		m.refresh(b)
		m.write(b)
	}
	for _, b := range m.boxes {
		if b.running && m.now%time.Second == 0 {
			if wrong := m.resume(b); wrong != "" {
				return wrong
			}
		}
	}
	return ""
}

// elect makes a running box the writer if none is. Without this the model would find a known limit: if there is no
// writer for a minute and one starts as the version changes, the first base version may be wrong.
func (m *model) elect() {
	isElected := func(b *modelBox) bool { return b.running && b.writes }
	isRunning := func(b *modelBox) bool { return b.running }
	if i := slices.IndexFunc(m.boxes, isRunning); i >= 0 && !slices.ContainsFunc(m.boxes, isElected) {
		m.boxes[i].writes = true
	}
}

func (m *model) updateView(b *modelBox) {
	if b.frozen {
		return
	}
	for _, list := range slices.Backward(m.log.lists) {
		if list.at <= m.now-b.lag || list.at <= b.startedAt {
			b.applyList(list, m.now)
			return
		}
	}
}

// begin begins a stream of each listed version and hash. Those that need a record have one; a box that cannot write one
// begins streams at their base versions alone.
func (m *model) begin(b *modelBox) {
	canRecord := m.recorderWithLog(b) != nil
	for version := range b.listed {
		for hash := range uint64(modelHashes) {
			needsRecord := m.needsRecord(b, version, hash)
			if needsRecord && !canRecord && !m.prefers(b, version, hash) {
				continue
			}
			m.begun[modelStream{hash, version}] = m.now
			if !needsRecord || !canRecord {
				m.unrecorded[modelStream{hash, version}] = m.now
			}
		}
	}
}

// needsRecord repeats the rule of package streamorigin.
func (m *model) needsRecord(b *modelBox, version string, hash uint64) bool {
	versions, base := b.versions(m.now), b.known.base
	isRecent := b.known.done && m.now-b.known.at < LeaseTime
	return base == nil || !base.Present || base.For(hash) != version || len(versions) > 1 && !(isRecent && base.Era == b.era)
}

// prefers repeats the rule of package streamorigin for streams that begin while origins cannot be recorded.
func (m *model) prefers(b *modelBox, version string, hash uint64) bool {
	base := b.known.base
	return base != nil && base.Present && base.Era == b.era && m.now-b.known.at < UseTime && base.For(hash) == version
}

// needsBases repeats the rule of package streamorigin.
func (m *model) needsBases(b *modelBox) bool {
	if !b.known.done {
		return true
	}
	if m.now-b.known.at < modelInterval {
		return false
	}
	versions, base := b.versions(m.now), b.known.base
	return len(versions) > 1 || len(versions) == 1 && (base == nil || !base.IsOnly(versions[0]) || base.Era != b.era)
}

// refresh requests the table if the box needs it.
func (m *model) refresh(b *modelBox) {
	if b.arriving != nil || !m.needsBases(b) {
		return
	}
	if reading, read := m.read(b); read {
		b.arriving, b.age = &reading, m.now-reading.at
	}
}

// receive stores the requested table when it arrives.
func (m *model) receive(b *modelBox) {
	if b.arriving == nil {
		return
	}
	if sentAt := b.arriving.at + b.age; m.now-sentAt >= b.transit {
		arrived := *b.arriving
		arrived.at = m.now - b.age
		b.arriving = nil
		b.keepBases(arrived)
	}
}

func (b *modelBox) keepBases(reading modelReading) {
	if !b.known.done || reading.at > b.known.at {
		b.known = reading
	}
}

func (b *modelBox) noteEra(era int64, now time.Duration) {
	if era > b.era {
		b.era, b.eraSeenAt = era, now
	}
}

func (b *modelBox) store(reading modelReading) {
	if reading.base != nil && (b.keeper.base == nil || !b.keeper.base.isSameBase(*reading.base)) {
		b.knownSince, b.isKnown = reading.at, true
	}
	b.keeper = reading
}

// resume resumes the last stream without a record of each version at a box, and describes the first one that would
// continue at another version.
func (m *model) resume(b *modelBox) string {
	recorder := m.recorderWithLog(b)
	if recorder == nil {
		return ""
	}
	versions, last := recorder.versions(m.now), recorder.keeper
	isSingle := len(versions) == 1 && last.base != nil && last.base.IsOnly(versions[0])
	if !last.done || !isSingle || m.now-last.at > modelMaxAge {
		m.readLog(recorder)
	}
	recorder.noteEra(m.log.era, m.now) // from its read of the origins
	b.keepBases(recorder.keeper)
	base := b.known.base
	// Without a base version of the current era a box does not use the record: it resumes a stream only if the boxes
	// know of a single version.
	if base == nil || !base.Present || base.Era != max(b.era, recorder.era) {
		return ""
	}
	for stream, began := range m.unrecorded {
		version, certain := base.ForBegun(stream.hash, time.UnixMilli(m.now.Milliseconds()), modelResumeTime)
		if certain && stream.version != version && m.now-began <= modelResumeTime {
			return fmt.Sprintf("%s resumes a stream of %s (hash %d) that began without a record at %v at %s: %s", b.name, stream.version, stream.hash, began, version, describe(base))
		}
	}
	return ""
}

func describe(base *Base) string {
	if base == nil {
		return "no record"
	}
	if !base.Present {
		return fmt.Sprintf("none (era %d)", base.Era)
	}
	return fmt.Sprintf("%v after %v (era %d)", base.shares(), base.Earlier, base.Era)
}
