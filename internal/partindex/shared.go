// Lateness of fetches as measured by all boxes. One box of many sees few fetches from each store box,
// so boxes send each other their latest samples with their load reports (package loadshare), and each
// box decides by the samples of all.
//
// Under load some fetches from every store box are late. A store box is therefore marked as slow only
// if all its latest samples are late in comparison with the worst samples of the other store boxes,
// and only by samples of at least two boxes: a box that is slow itself, or that reports nonsense,
// marks nothing alone.

package partindex

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/mechanism"
)

const (
	// sampleAge is how long samples are used and sent on.
	sampleAge = 2 * time.Second
	// onTimeWindow is how long a fetch in time shows that a store box is not slow. The fetches that
	// a slow link delays have their first events within a second of its onset.
	onTimeWindow = 700 * time.Millisecond
	// minSharedSamples is the number of samples, and of boxes, that mark a store box, and of samples
	// by which others are compared.
	minSharedSamples = 2
	// maxStoreSamples and maxBoxSamples bound the samples of a store box, from all boxes and from one.
	maxStoreSamples = 6
	maxBoxSamples   = 2
	// sharedMarkFor is how long a mark lasts after the latest late sample.
	sharedMarkFor = 3 * time.Second
	// sharedProbeInterval is the time between two probes by all boxes, without the time until the
	// next call for a part of the store box. With a whole second, some boxes learned later than two
	// seconds after a link had recovered.
	sharedProbeInterval = 850 * time.Millisecond
	// maxProbingBoxes is about how many boxes may probe a store box within a second. Boxes learn of
	// each other's probes within half a second.
	maxProbingBoxes = 64
	// comparedFraction is the fraction of the other store boxes that are better than the one used for
	// comparison. The best of many always has samples in time, and the middle one is slow if half of
	// them are.
	comparedFraction = 4
)

// SpeedChange is a change of whether a store box counts as slow.
type SpeedChange struct {
	Store string
	Slow  bool
	// Late is the lateness of the sample that caused it, and ReportedBy the box whose message
	// contained it; empty if a mark expired.
	Late       time.Duration
	ReportedBy string
}

// linkSample is a sample in the index.
type linkSample struct {
	id    uint16
	at    time.Time
	late  time.Duration
	probe bool
	// via is the box whose message contained it; empty for a sample of this box. sequence counts
	// the samples of the index.
	via      string
	sequence uint64
}

func (l linkSample) box() uint16 { return l.id >> 8 }

// sharedLateness is the samples of a store box from all boxes, oldest first, and its mark.
type sharedLateness struct {
	samples []linkSample
	// slowUntil is until when the store box is marked, and markedBy the time of the latest sample that
	// led to the mark. logged is whether it counted as slow when that was last logged.
	slowUntil time.Time
	markedBy  time.Time
	logged    bool
}

func (x *Index) sharesLateness() bool {
	return x.cfg.Mechanisms.Enabled(mechanism.SlowStores) && x.cfg.Mechanisms.Enabled(mechanism.SharedLateness)
}

// isSlow reports whether a store box counts as slow, by this box's samples or by those of all.
func (s *store) isSlow(now time.Time) bool { return s.lateness.slow || now.Before(s.shared.slowUntil) }

// addSample adds a sample unless it is known. It reports whether it was added. The caller holds mu.
func (x *Index) addSample(s *store, sample linkSample, now time.Time) bool {
	list := slices.DeleteFunc(s.shared.samples, func(l linkSample) bool { return now.Sub(l.at) > sampleAge })
	s.shared.samples = list
	if slices.ContainsFunc(list, func(l linkSample) bool { return l.id == sample.id && l.probe == sample.probe }) {
		return false
	}
	x.sampleSequence++
	sample.sequence = x.sampleSequence
	at, _ := slices.BinarySearchFunc(list, sample, func(a, b linkSample) int { return cmp.Or(a.at.Compare(b.at), -1) })
	list = slices.Insert(list, at, sample)
	sameBox := 0
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].box() == sample.box() && list[i].probe == sample.probe {
			if sameBox++; sameBox > maxBoxSamples {
				list = slices.Delete(list, i, i+1)
			}
		}
	}
	if len(list) > maxStoreSamples {
		list = slices.Delete(list, 0, 1)
	}
	s.shared.samples = list
	return true
}

// nextSampleID returns the ID of a sample of this box. The caller holds mu.
func (x *Index) nextSampleID() uint16 {
	x.sampleNumber++
	return uint16(xxhash.Sum64String(x.cfg.Box)&0xff)<<8 | uint16(x.sampleNumber)
}

// judge marks a store box or removes its mark, after a sample was added. A sample in time removes the
// mark even if a later one is late: that may belong to a fetch that began before the link recovered.
// The caller holds mu.
func (x *Index) judge(s *store, added linkSample, now time.Time) {
	samples := s.recentSamples(now)
	if len(samples) == 0 {
		return
	}
	threshold, _ := x.lateThreshold(s, time.Time{}, now)
	latest := samples[len(samples)-1]
	switch {
	case added.late <= threshold && added.at.After(s.shared.markedBy):
		s.shared.slowUntil = time.Time{}
		if added.at.After(s.lateness.recordedAt) {
			s.lateness.slow = false
		}
	case now.Before(s.shared.slowUntil):
		s.shared.slowUntil = latest.at.Add(sharedMarkFor)
	case x.areAllLate(s, samples, now):
		s.shared.markedBy, s.shared.slowUntil = latest.at, latest.at.Add(sharedMarkFor)
		s.lateness.probedAt = now
	}
}

// isLoadTheCause reports whether samples of other boxes show that the late fetches of this box from a
// store box are no later than those from others. The caller holds mu.
func (x *Index) isLoadTheCause(s *store, now time.Time) bool {
	threshold, known := x.lateThreshold(s, time.Time{}, now)
	return x.sharesLateness() && (!known || s.lateness.minimum() <= threshold)
}

// areAllLate reports whether the latest samples of enough boxes and all those within onTimeWindow are
// late. The caller holds mu.
func (x *Index) areAllLate(s *store, samples []linkSample, now time.Time) bool {
	boxes := map[uint16]bool{}
	lowest, first := samples[len(samples)-1].late, now
	for _, sample := range slices.Backward(samples) {
		if len(boxes) >= minSharedSamples && now.Sub(sample.at) > onTimeWindow {
			break
		}
		lowest, first = min(lowest, sample.late), sample.at
		boxes[sample.box()] = true
	}
	if len(boxes) < minSharedSamples || lowest <= slowThreshold {
		return false
	}
	threshold, known := x.lateThreshold(s, first, now)
	return known && lowest > threshold
}

// recentSamples returns the results of fetches within sampleAge, oldest first.
func (s *store) recentSamples(now time.Time) []linkSample {
	var recent []linkSample
	for _, sample := range s.shared.samples {
		if !sample.probe && now.Sub(sample.at) <= sampleAge {
			recent = append(recent, sample)
		}
	}
	return recent
}

// lateThreshold returns the lateness above which a sample of a store box is late: by slowThreshold
// more than the worst recent sample of one of the best other store boxes. It is not known if others
// have recent samples but none of them since a given time: when load increases, the first late
// samples of one store box come before those of others. It is not known either if that other store
// box is late itself: then load is the cause. The caller holds mu.
func (x *Index) lateThreshold(except *store, since, now time.Time) (threshold time.Duration, known bool) {
	var worst []time.Duration
	compared := 0
	for _, s := range x.stores {
		if s == except {
			continue
		}
		highest, count, isCurrent := time.Duration(0), 0, false
		for _, sample := range s.shared.samples {
			if !sample.probe && now.Sub(sample.at) <= sampleAge {
				highest, count, isCurrent = max(highest, sample.late), count+1, !sample.at.Before(since)
			}
		}
		if count >= minSharedSamples {
			compared++
			if isCurrent {
				worst = append(worst, highest)
			}
		}
	}
	if len(worst) == 0 {
		return slowThreshold, compared == 0
	}
	slices.Sort(worst)
	compareWith := worst[(len(worst)-1)/comparedFraction]
	return slowThreshold + compareWith, compareWith <= slowThreshold
}

// isProbeDue reports whether this box may probe a slow store box now. In a large fleet only some of
// the boxes may in each second. The caller holds mu.
func (x *Index) isProbeDue(s *store, now time.Time) bool {
	interval := slowProbeInterval
	if now.Before(s.shared.slowUntil) {
		interval = sharedProbeInterval
	}
	if now.Sub(s.lateness.probedAt) < interval {
		return false
	}
	if x.boxes <= maxProbingBoxes || !x.sharesLateness() {
		return true
	}
	seed := binary.LittleEndian.AppendUint64([]byte(x.cfg.Box+"/"+s.name+"/"), uint64(now.Unix()))
	return xxhash.Sum64(seed)%uint64(x.boxes) < maxProbingBoxes
}

// noteOwnSample adds a sample of this box. The caller holds mu.
func (x *Index) noteOwnSample(s *store, sample linkSample, now time.Time) {
	if !x.sharesLateness() {
		return
	}
	sample.id, sample.at = x.nextSampleID(), now
	x.addSample(s, sample, now)
	x.judge(s, sample, now)
}

// reportChange reports whether a store box counts as slow if that has changed. The caller holds mu.
func (x *Index) reportChange(s *store, change SpeedChange, now time.Time) {
	change.Store, change.Slow = s.name, s.isSlow(now)
	if change.Slow == s.shared.logged {
		return
	}
	s.shared.logged = change.Slow
	if x.cfg.OnSpeedChange != nil {
		x.cfg.OnSpeedChange(change)
	}
}
