package simulated

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cometlock/cometlock/internal/fairshare"
	"github.com/cometlock/cometlock/internal/loadshare"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/registry"
)

// Model is the model whose versions boxes know.
const Model = "m"

// span is a period in which an incarnation of a box knew a version.
type span struct {
	incarnation int
	from, to    time.Time // to is zero until the period ends
	version     int
}

// Box is one box of a fleet.
type Box struct {
	Name, Zone string
	Cores      float64
	Share      *loadshare.Share
	Suspects   *quarantine.Set
	// SuspectParts is the same for parts of prompts.
	SuspectParts *quarantine.Set
	// QuarantineLoaded means that the box has what the log has, and HeldAtLoad is what it held when another box
	// reported that.
	QuarantineLoaded atomic.Bool
	HeldAtLoad       atomic.Int64
	Parts            *partindex.Index
	// Stop stops the present incarnation, and Stopped waits until its loops have ended.
	Stop        context.CancelFunc
	Stopped     sync.WaitGroup
	incarnation int

	mu    sync.Mutex
	spans []span
	// merged has the times at which reports of organisations' use arrived, by box.
	merged map[string][]time.Time
}

// begin begins the next incarnation, which knows a version.
func (b *Box) begin(version int) {
	b.incarnation++
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.spans) > 0 {
		b.spans[len(b.spans)-1].to = now
	}
	b.spans = append(b.spans, span{incarnation: b.incarnation, from: now, version: version})
}

// Learn records that the box knows a version from now on, if that is a newer one.
func (b *Box) Learn(version int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := &b.spans[len(b.spans)-1]
	if version <= last.version {
		return
	}
	now := time.Now()
	last.to = now
	b.spans = append(b.spans, span{incarnation: last.incarnation, from: now, version: version})
}

// Version returns the version that the box knows now.
func (b *Box) Version() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spans[len(b.spans)-1].version
}

func (b *Box) namedVersions() map[string][]registry.PeerWeights {
	return map[string][]registry.PeerWeights{Model: {{Version: b.Version(), Undated: true}}}
}

// mergeVersions merges the versions that another box knows, as package registry does.
func (b *Box) mergeVersions(versions map[string][]registry.PeerWeights) {
	for _, known := range versions[Model] {
		b.Learn(known.Version)
	}
}

// ReportedAfter reports whether exactly this version was the newest one that the box knew at some
// point after a given time.
func (b *Box) ReportedAfter(version int, after time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.spans, func(s span) bool { return s.version == version && (s.to.IsZero() || !s.to.Before(after)) })
}

// KnewThroughout reports whether some incarnation of the box knew a version at since, and was still
// running at until.
func (b *Box) KnewThroughout(version int, since, until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, s := range b.spans {
		if s.version < version || i > 0 && b.spans[i-1].incarnation == s.incarnation && b.spans[i-1].version >= version {
			continue // only the first span of an incarnation in which it knew the version
		}
		end := b.spans[i]
		for _, later := range b.spans[i:] {
			if later.incarnation == s.incarnation {
				end = later
			}
		}
		if !s.from.After(since) && (end.to.IsZero() || !end.to.Before(until)) {
			return true
		}
	}
	return false
}

// NoteQuarantineLoaded records that the box has what the log has, and passes that on if it is a hub.
func (b *Box) NoteQuarantineLoaded() {
	if b.QuarantineLoaded.Load() {
		return
	}
	held, _ := b.Suspects.Counts()
	b.HeldAtLoad.Store(int64(held))
	b.QuarantineLoaded.Store(true)
	if b.Share.Hub() == "" {
		b.Share.SendNow()
	}
}

// usesIfHub returns a report of a box that grants places.
func (b *Box) usesIfHub() []fairshare.ServiceReport {
	if b.Share.Hub() != "" {
		return nil
	}
	return []fairshare.ServiceReport{{Service: "s", Uses: []fairshare.ReportedUse{{Key: 1, Use: 2}}}}
}

func (b *Box) mergeUses(box string, _ []fairshare.ServiceReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.merged == nil {
		b.merged = map[string][]time.Time{}
	}
	b.merged[box] = append(b.merged[box], time.Now())
}

// TakeMerged returns the times at which reports arrived since the last call, by box.
func (b *Box) TakeMerged() map[string][]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.merged
	b.merged = nil
	return taken
}
