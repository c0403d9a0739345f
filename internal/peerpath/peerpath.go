// Package peerpath chooses the box through which a call is forwarded, when this box does not reach the
// servers of the call's service (package reach).
//
// No box reports which servers it reaches. A box that gets a forwarded call and does not reach the
// service either refuses it at once, and gets no more calls for that service for a while. Which boxes a
// box uses follows from rendezvous hashing, so that it keeps connections to a few of them, and so that
// the calls of many partitioned boxes spread over all others. Among these it takes the one of two random
// ones with fewer of its calls (power of two choices).
//
// If many boxes are unusable and none serves a call, the servers have probably failed, or this box does not
// reach the other boxes either. Then nothing is forwarded for a while: otherwise a fleet whose servers are
// gone would be busy with forwarding, and a box that is alone would delay what it refuses.
package peerpath

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/boottime"
)

const (
	// spread is the number of boxes among which the calls of a box are spread.
	spread = 8
	// avoidDuration is how long a box that could not be reached, or does not reach the service, gets no
	// calls. A partition lasts for seconds.
	avoidDuration = time.Second
	// aliveFor is how long after a served call a box is not avoided because no connection could be made.
	// A box that lacks CPU accepts new connections late while it serves calls on others.
	aliveFor = 500 * time.Millisecond
	// limitedDuration is the same for a box that takes no more forwarded calls at the moment, or none for a
	// service.
	limitedDuration = 100 * time.Millisecond
	// maxUnusable is the number of boxes that must be found unusable, with no call served in between,
	// before nothing is forwarded for pauseDuration. Boxes that do not reach the service refuse long
	// before others respond. Where a third of the boxes is partitioned, half of them find four such
	// boxes before the first response, and one in a hundred finds twelve.
	maxUnusable   = 12
	pauseDuration = 500 * time.Millisecond
	// rankingTTL is how long a ranking of the boxes is used. The list of boxes rarely changes.
	rankingTTL = time.Second
)

// Box is another box with the address at which it takes forwarded calls.
type Box struct {
	Name    string
	Zone    string
	Address string
}

// InRegion returns the boxes of a zone's region, or all if there are none.
func InRegion(boxes []Box, zone string, regions map[string]string) []Box {
	var near []Box
	for _, box := range boxes {
		if regions[box.Zone] == regions[zone] {
			near = append(near, box)
		}
	}
	if len(near) == 0 {
		return boxes
	}
	return near
}

// Outcome is the result of a forwarded call, as far as it concerns the path.
type Outcome uint8

// Outcomes of forwarded calls.
const (
	// Served: a server has responded, or the box has decided about the call.
	Served Outcome = iota + 1
	// Unreachable: the box does not reach the service.
	Unreachable
	// Unconnected: no connection to the box could be made in time.
	Unconnected
	// Failed: the box broke off, or is stopping.
	Failed
	// Limited: the box takes no more forwarded calls at the moment.
	Limited
	// NoShare: the box has used up its part of what boxes divide for the service.
	NoShare
	// Abandoned: the call ended without a result that concerns the path.
	Abandoned
)

// Config configures Paths.
type Config struct {
	// Self is the name of this box, and Others returns the other boxes that are available.
	Self   string
	Others func() []Box
}

// Paths are the paths through other boxes.
type Paths struct {
	cfg Config

	mu sync.Mutex
	// ranked has the other boxes by their rank for this box, as of rankedAt.
	ranked   []Box
	rankedAt time.Time
	inFlight map[string]int
	// servedAt has when boxes last served a call, if that is less than aliveFor ago.
	servedAt map[string]time.Time
	// avoided maps boxes, each with a service or with "" for all, to when they may be used again.
	avoided map[avoidKey]time.Time
	// failures has the boxes that were unusable for a service since its last served call.
	failures map[string]*failures
}

type avoidKey struct{ box, service string }

// failures are the boxes that could not be reached, or that reported that they do not reach a service.
type failures struct {
	boxes       map[string]bool
	pausedUntil time.Time
}

// New returns Paths.
func New(cfg Config) *Paths {
	return &Paths{cfg: cfg, inFlight: map[string]int{}, servedAt: map[string]time.Time{}, avoided: map[avoidKey]time.Time{}, failures: map[string]*failures{}}
}

// Choose returns the box for a call to a service, other than those excluded by name, and counts the call
// there until Done. It returns false if there is none.
func (p *Paths) Choose(service string, exclude []string) (Box, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boottime.Now()
	if failed := p.failures[service]; failed != nil && now.Before(failed.pausedUntil) {
		return Box{}, false
	}
	var usable []Box
	for _, box := range p.ranking(now) {
		if len(usable) == spread {
			break
		}
		if !p.isAvoided(box.Name, service, now) && !slices.Contains(exclude, box.Name) {
			usable = append(usable, box)
		}
	}
	if len(usable) == 0 {
		return Box{}, false
	}
	chosen, other := usable[rand.IntN(len(usable))], usable[rand.IntN(len(usable))]
	if p.inFlight[other.Name] < p.inFlight[chosen.Name] {
		chosen = other
	}
	p.inFlight[chosen.Name]++
	return chosen, true
}

// Done ends a call that Choose counted.
func (p *Paths) Done(box, service string, outcome Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[box]--; p.inFlight[box] <= 0 {
		delete(p.inFlight, box)
	}
	now := boottime.Now()
	switch outcome {
	case Served:
		delete(p.failures, service)
		maps.DeleteFunc(p.servedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= aliveFor })
		p.servedAt[box] = now
	case Unreachable:
		p.avoid(avoidKey{box, service}, now, avoidDuration)
		p.noteUnusable(box, service, now)
	case Unconnected:
		if now.Sub(p.servedAt[box]) >= aliveFor {
			p.avoid(avoidKey{box: box}, now, avoidDuration)
			p.noteUnusable(box, service, now)
		}
	case Failed:
		p.avoid(avoidKey{box: box}, now, avoidDuration)
		p.noteUnusable(box, service, now)
	case Limited:
		p.avoid(avoidKey{box: box}, now, limitedDuration)
	case NoShare:
		p.avoid(avoidKey{box, service}, now, limitedDuration)
	}
}

// noteUnusable records that a call to a service could not be forwarded through a box. The caller holds mu.
func (p *Paths) noteUnusable(box, service string, now time.Time) {
	failed := p.failures[service]
	if failed == nil {
		failed = &failures{boxes: map[string]bool{}}
		p.failures[service] = failed
	}
	failed.boxes[box] = true
	if len(failed.boxes) >= maxUnusable {
		failed.boxes, failed.pausedUntil = map[string]bool{}, now.Add(pauseDuration)
	}
}

// avoid stops the use of a box for some time. The caller holds mu.
func (p *Paths) avoid(key avoidKey, now time.Time, length time.Duration) {
	for known, until := range p.avoided {
		if now.After(until) {
			delete(p.avoided, known)
		}
	}
	p.avoided[key] = now.Add(length)
}

func (p *Paths) isAvoided(box, service string, now time.Time) bool {
	return now.Before(p.avoided[avoidKey{box: box}]) || now.Before(p.avoided[avoidKey{box, service}])
}

// ranking returns the other boxes in the order in which this one uses them. The caller holds mu.
func (p *Paths) ranking(now time.Time) []Box {
	if p.ranked != nil && now.Sub(p.rankedAt) < rankingTTL {
		return p.ranked
	}
	others := p.cfg.Others()
	ranks := make(map[string]uint64, len(others))
	for _, box := range others {
		ranks[box.Name] = xxhash.Sum64String(p.cfg.Self + "/" + box.Name)
	}
	p.ranked = slices.SortedFunc(slices.Values(others), func(a, b Box) int {
		return cmp.Or(cmp.Compare(ranks[a.Name], ranks[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	p.rankedAt = now
	return p.ranked
}
