package baseversion

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cometlock/cometlock/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Config{Checks: 300, Steps: 30}) }

// historyEvent is what happens after a pause.
type historyEvent struct {
	kind    string
	pause   time.Duration
	box     int
	version string
}

var historyKinds = []string{
	"list", "list", "delist", "delist", "list more", "crash", "crash", "start", "start all", "freeze", "thaw", "freeze", "without log", "with log",
	"isolate", "connect", "elect", "second writer", "late", "unknown", "refused", "slow", "copy", "restore",
}

func drawEvent(rt *rapid.T) historyEvent {
	return historyEvent{
		kind:    rapid.SampledFrom(historyKinds).Draw(rt, "kind"),
		pause:   rapid.SampledFrom([]time.Duration{0, modelStep, time.Second, 3 * time.Second, 9 * time.Second, 16 * time.Second, 44 * time.Second, 61 * time.Second, 80 * time.Second}).Draw(rt, "pause"),
		box:     rapid.IntRange(0, 2).Draw(rt, "box"),
		version: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(rt, "version"),
	}
}

// apply applies an event.
func (e historyEvent) apply(m *model) {
	b := m.boxes[e.box]
	m.notef("%s %s %s", e.kind, e.version, b.name)
	switch e.kind {
	case "list":
		m.list(e.version, 2)
	case "list more":
		m.list(e.version, 5)
	case "delist":
		m.list(e.version, 0)
	case "crash":
		b.running = false
	case "start":
		m.start(b)
	case "start all":
		for _, each := range m.boxes {
			m.start(each)
		}
	case "freeze":
		if !b.frozen {
			b.frozen, b.frozenAt = true, m.now
		}
	case "thaw":
		b.frozen = false
	case "without log", "with log":
		b.withoutLog = e.kind == "without log"
	case "isolate", "connect":
		b.isolated = e.kind == "isolate"
	case "elect":
		for _, each := range m.boxes {
			each.writes = each == b
		}
	case "second writer":
		b.writes = true
	case "late", "unknown", "refused":
		b.nextAppend = e.kind
	case "slow":
		b.transit, b.lag = 500*time.Millisecond, 2*time.Second
	case "copy":
		m.log.copied = modelReading{base: m.log.base, end: m.log.end}
	case "restore":
		m.restore()
	}
}

// maxFrozen bounds the time for which a box's list of servers is out of date. Delisted servers serve no longer than that.
const maxFrozen = LeaseTime

// For as long as callers resume a stream that began without a record, the log must have that stream's version as the
// base version, or none, whatever happens to boxes and the log.
func TestAStreamWithoutARecordIsOfAnotherVersionThanTheBaseVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(3)
		for _, event := range rapid.SliceOfN(rapid.Custom(drawEvent), 5, 60).Draw(rt, "events") {
			for until := m.now + event.pause; m.now < until; {
				for _, b := range m.boxes {
					b.frozen = b.frozen && m.now-b.frozenAt < maxFrozen
				}
				if wrong := m.step(); wrong != "" {
					m.notef("%s", wrong)
					rt.Fatalf("\n%s", m.history())
				}
			}
			event.apply(m)
		}
	})
}
