// Package retire decides which cached parts of older weights may still be fetched, and when they
// may be freed to make room for parts of newer ones.
//
// A part that is freed while it is being fetched causes a wrong answer, so all boxes must have
// stopped fetching it before any box frees it. Each part of older weights has a retirement time,
// which is derived from its ID alone. The times are spread over some seconds after newer weights
// were declared. A box may learn of them only long afterwards, and must have stopped fetching by
// then as well. So there are two rules:
//   - A box is in touch if it has recently read everything that operators declared, or has recent
//     messages from more than half of the boxes and none of them knows newer weights. It fetches
//     a part only if it was in touch within that part's retirement delay: if newer weights were
//     declared since, the part has not retired yet. A zone that is cut off therefore keeps using
//     most of the parts that it can reach for a while.
//   - A box frees a part only if more than half of the boxes have confirmed that they know the
//     newer weights, from before the part's retirement and for longer than any fetch takes.
//
// Any two majorities have a box in common. That box confirmed the newer weights to the box that
// frees. To the box that fetches it reported, earlier, that it did not know them, and by now that
// report is too old to count.
//
// A box that has merely not learned of the newer weights yet fetches a part for up to
// registry.MaxReadAge after its retirement, and freeing waits for that. A box that knows of them
// may do the same.
package retire

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
)

const (
	// peerFresh is the maximum age of another box's message. Boxes send messages several times a
	// second, and less often when there are many boxes.
	peerFresh = 1500 * time.Millisecond
	// confirmFor is how long a majority must have known newer weights before a part is freed. By
	// then any report from before that is out of date, and the last fetch based on it has ended.
	confirmFor = peerFresh + partindex.FetchTimeout + confirmMargin
	// freeMargin is the time between a part's retirement and its being freed. A box may learn of
	// the newer weights up to MaxReadAge later, and then start one more fetch.
	freeMargin = registry.MaxReadAge + partindex.FetchTimeout + lateMargin
	// majorityCacheFor is how long the result of computeMajority is cached. It is needed for each
	// part that might be freed, of which there are some thousands, and going through 300 boxes each
	// time would take most of a box's CPU time.
	majorityCacheFor = 50 * time.Millisecond
	// confirmMargin and lateMargin allow for boxes that run late.
	confirmMargin = 300 * time.Millisecond
	lateMargin    = 200 * time.Millisecond
	// Parts retire evenly over retirementSpread, from firstRetirement on. Until the first runners
	// have changed weights, older parts serve all calls. Once the last runners have changed, they
	// serve none, and parts of the newer weights have been waiting for their space.
	firstRetirement  = 500 * time.Millisecond
	retirementSpread = 8 * time.Second
)

// Peer is the latest report of another box.
type Peer struct {
	// Box is its name. Each box counts once, however many paths its messages take.
	Box string
	// SentAfter is a time before which the report was not sent. It is not the time of arrival,
	// since a message may be in transit for a long time.
	SentAfter time.Time
	// Weights are the newest versions that it knows, by model, and KnownSince is when this box
	// first received a report that it knows each of them.
	Weights    map[string]int
	KnownSince map[string]time.Time
}

// Config configures a Policy.
type Config struct {
	Registry *registry.Registry
	// Peers returns the latest report of each other box, and Boxes the number of boxes including
	// this one; zero while that is not known.
	Peers func() []Peer
	Boxes func() int
}

// Policy decides which parts may be fetched and freed.
type Policy struct {
	cfg Config

	mu sync.Mutex
	// inTouchAt is when this box was last in touch, by model.
	inTouchAt map[string]time.Time
	// majorities caches by model since when a majority of the boxes has known a version.
	majorities map[string]majority
}

// New returns a policy.
func New(cfg Config) *Policy {
	return &Policy{cfg: cfg, inTouchAt: map[string]time.Time{}, majorities: map[string]majority{}}
}

// MayFetch reports whether a part made by a version of a model's weights may be fetched.
func (p *Policy) MayFetch(model string, weights int, partID string) bool {
	return boottime.Since(p.lastInTouch(model)) <= retirement(partID) && !p.retired(model, weights, partID)
}

// lastInTouch returns when this box was last in touch for a model, or zero if another box knows
// newer weights.
func (p *Policy) lastInTouch(model string) time.Time {
	inTouch, outdated := p.inTouch(model)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case inTouch:
		p.inTouchAt[model] = boottime.Now()
	case outdated:
		return time.Time{}
	}
	return p.inTouchAt[model]
}

// inTouch reports whether this box knows all weights declared until recently; outdated reports
// that another box knows newer ones.
func (p *Policy) inTouch(model string) (inTouch, outdated bool) {
	if boottime.Since(p.cfg.Registry.OperatorReadAt()) <= registry.MaxReadAge {
		return true, false
	}
	newest := p.cfg.Registry.Weights(model).Version
	agreeing := 1
	for _, peer := range p.cfg.Peers() {
		if boottime.Since(peer.SentAfter) > peerFresh {
			continue
		}
		if peer.Weights[model] > newest {
			return false, true
		}
		agreeing++
	}
	boxes := p.cfg.Boxes()
	return boxes > 0 && 2*agreeing > boxes, false
}

// retired reports whether, as far as this box knows, a part made by a version of a model's
// weights must no longer be fetched.
func (p *Policy) retired(model string, weights int, partID string) bool {
	since, outdated := p.cfg.Registry.OutdatedSince(model, weights)
	if !outdated {
		return false
	}
	return since.Undated() || boottime.Since(since.DeclaredAfter) >= FetchWindow(partID)
}

// MayFree reports whether a part may be freed.
func (p *Policy) MayFree(model string, weights int, partID string) bool {
	since, outdated := p.cfg.Registry.OutdatedSince(model, weights)
	if !outdated {
		return false
	}
	return boottime.Since(since.LearnedAt) > FreeDelay(partID) && p.confirmed(model, since.Version, retirement(partID)+confirmFor)
}

// confirmed reports whether a majority of the boxes has known a version for at least a given
// duration.
func (p *Policy) confirmed(model string, version int, length time.Duration) bool {
	p.mu.Lock()
	cached, found := p.majorities[model]
	p.mu.Unlock()
	if !found || cached.version != version || boottime.Since(cached.computedAt) > majorityCacheFor {
		cached = p.computeMajority(model, version)
		p.mu.Lock()
		p.majorities[model] = cached
		p.mu.Unlock()
	}
	return cached.reached && boottime.Since(cached.since) >= length
}

// majority is whether a majority of the boxes knows a version, and since when.
type majority struct {
	version    int
	computedAt time.Time
	reached    bool
	since      time.Time
}

// computeMajority determines from recent reports since when a majority of the boxes has known a
// version.
func (p *Policy) computeMajority(model string, version int) majority {
	now := boottime.Now()
	result := majority{version: version, computedAt: now}
	var since []time.Time
	for _, peer := range p.cfg.Peers() {
		if now.Sub(peer.SentAfter) <= peerFresh-majorityCacheFor && peer.Weights[model] >= version {
			since = append(since, peer.KnownSince[model])
		}
	}
	boxes := p.cfg.Boxes()
	needed := boxes / 2 // besides this one
	if boxes == 0 || len(since) < needed {
		return result
	}
	result.reached = true
	if needed > 0 {
		slices.SortFunc(since, time.Time.Compare)
		result.since = since[needed-1]
	}
	return result
}

// FetchWindow returns how long after the declaration of newer weights a box that knows of it
// still fetches a part.
func FetchWindow(partID string) time.Duration { return retirement(partID) + registry.MaxReadAge }

// FreeDelay returns how long after this box learned of newer weights it may free a part.
func FreeDelay(partID string) time.Duration { return retirement(partID) + freeMargin }

// retirement returns how long after the declaration of newer weights a part retires, derived from
// its ID alone. Boxes still fetch it for a while after that; see FetchWindow.
func retirement(partID string) time.Duration {
	fraction := float64(xxhash.Sum64String(partID)>>11) / (1 << 53)
	return firstRetirement + time.Duration(float64(retirementSpread)*fraction)
}
