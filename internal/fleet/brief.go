// Which calls are brief: they occupy a slot for a small part of the mean time. Slots are reserved for
// them, since long answers would otherwise hold all slots, and refusing brief calls frees hardly
// any. How long a call takes is learned by the maximum length of its answer.

package fleet

import (
	"math/bits"
	"time"

	"github.com/cometlock/cometlock/internal/mechanism"
)

const (
	// maxAnswerBits bounds the length classes of answers, at 2^24 tokens.
	maxAnswerBits = 24
	// briefFraction is the part of the mean slot time up to which a call is brief.
	briefFraction = 0.25
	// minBriefSamples is the number of calls of similar length after which they can be brief.
	minBriefSamples = 8
	// briefDecay is by how much each call reduces the weight of earlier ones in the share of brief
	// calls, which are so many that 200 calls show it.
	briefDecay = 1.0 / 200
)

// answerBucket returns the index of the answers of similar length.
func answerBucket(answerTokens int) int {
	return min(bits.Len(uint(max(answerTokens, 0))), maxAnswerBits-1)
}

// noteAnswer learns from the slot time of a call.
func (u *use) noteAnswer(answerTokens int, sample time.Duration) {
	similar := &u.byAnswer[answerBucket(answerTokens)]
	similar.add(sample)
	u.allTime += sample.Seconds() - briefDecay*u.allTime
	u.briefTime -= briefDecay * u.briefTime
	if u.isBrief(answerTokens) {
		u.briefTime += sample.Seconds()
	}
}

// isBrief reports whether calls with answers of such a length occupy a slot for a small part of the
// mean time.
func (u *use) isBrief(answerTokens int) bool {
	similar := u.byAnswer[answerBucket(answerTokens)]
	return similar.samples >= minBriefSamples && float64(similar.mean) <= briefFraction*float64(u.slotTime.mean)
}

// briefShare returns the part of the slot time that brief calls use, from 0 to 1.
func (u *use) briefShare() float64 {
	if u.allTime <= 0 {
		return 0
	}
	return u.briefTime / u.allTime
}

// IsBrief reports whether a call with a prompt is expected to occupy its slot for a small part of
// the service's mean time, given the maximum length of its answer.
func (f *Fleet) IsBrief(service string, answerTokens int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Mechanisms.Enabled(mechanism.BriefCalls) && f.useOf(service).isBrief(answerTokens)
}
