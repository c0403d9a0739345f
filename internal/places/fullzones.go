// Which owners need not be asked for a call, because they recently refused one that is no harder to
// place. In a burst, each refused call would otherwise ask the owners of several zones, at the moment
// when these have the most to do.

package places

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/waitqueue"
)

const (
	// maxFullFor bounds the time for which an owner isn't asked, whatever it says.
	maxFullFor = 200 * time.Millisecond
	// maxFullMarks bounds the refusals that are remembered for a zone; the oldest is forgotten.
	maxFullMarks = 32
)

// fullMark is a refusal by an owner.
type fullMark struct {
	priority int
	demand   waitqueue.Demand
	// organisation restricts the mark to the calls of one organisation if aboveShare is set.
	organisation string
	aboveShare   bool
	until        time.Time
}

// applies reports whether a call would be refused as well.
func (m fullMark) applies(request Request, demand waitqueue.Demand) bool {
	return request.Urgency >= m.priority && (!m.aboveShare || request.Organisation == m.organisation) && demand.AtLeast(m.demand)
}

// fullZones has the recent refusals by zone.
type fullZones map[string][]fullMark

// note records a refusal by a zone's owner.
func (f fullZones) note(zone string, mark fullMark, now time.Time) {
	marks := slices.DeleteFunc(f[zone], func(m fullMark) bool { return !now.Before(m.until) })
	if len(marks) >= maxFullMarks {
		marks = slices.Delete(marks, 0, 1)
	}
	f[zone] = append(marks, mark)
}

// isFull reports whether a zone's owner need not be asked for a call.
func (f fullZones) isFull(zone string, request Request, now time.Time) bool {
	marks := slices.DeleteFunc(f[zone], func(m fullMark) bool { return !now.Before(m.until) })
	if len(marks) == 0 {
		delete(f, zone)
		return false
	}
	f[zone] = marks
	demand := request.Demand("")
	return slices.ContainsFunc(marks, func(m fullMark) bool { return m.applies(request, demand) })
}

// IsFull reports whether the owner of a zone recently refused a call of the same or higher rank that
// required no more of a server.
func (p *Placer) IsFull(zone string, request Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.full.isFull(zone, request, boottime.Now())
}

// noteFull records what an owner's response says about further requests.
func (p *Placer) noteFull(zone string, request Request, response Response) {
	if response.Server != "" || response.FullFor <= 0 || !p.cfg.Mechanisms.Enabled(mechanism.FullZones) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boottime.Now()
	p.full.note(zone, fullMark{
		priority: request.Urgency, demand: request.Demand(""), organisation: request.Organisation, aboveShare: response.AboveShare,
		until: now.Add(min(response.FullFor, maxFullFor)),
	}, now)
}
