package claim

import (
	"time"

	"github.com/google/uuid"
)

// holder is what the log says of one key.
type holder struct {
	digest  Digest
	claimID uuid.UUID
	claimer string
	// at is the log's time of the claim.
	at     time.Time
	done   bool
	answer StoredResponse
}

// Verdict says what became of a claim.
type Verdict uint8

const (
	// Granted means that this process, and no other, may run the request.
	Granted Verdict = iota + 1
	// Held means that another claim came first and its end is not known.
	Held
	// Completed means that another claim came first and its answer is known.
	Completed
	// KeyReused means that the key was used for another request.
	KeyReused
	// OutsideWindow means that the log got the claim when the key was too old.
	OutsideWindow
)

// Decision is what the log decided of a claim.
type Decision struct {
	Verdict Verdict
	// Response is set when the verdict is Completed.
	Response StoredResponse
	// ClaimID is set when the verdict is Granted.
	ClaimID uuid.UUID
}

// fold is the state of one claim stream.
type fold struct {
	holders map[Key]*holder
	// ages lists the keys in the order of their claims, for forgetting.
	ages []aged
}

type aged struct {
	key Key
	id  uuid.UUID
	at  time.Time
}

func newFold() *fold { return &fold{holders: map[Key]*holder{}} }

// MaxClockSkew is how far the clocks of callers, boxes and the log may be apart.
const MaxClockSkew = time.Minute

// MaxWindow is the longest time for which a key can be claimed. The window in
// force is configuration and may differ between boxes for a moment; the fold
// must not, so it remembers keys by this constant.
const MaxWindow = 2 * time.Hour

// apply takes over one entry that the log took at a time, and gives what it
// decided of a claim. It depends on nothing but the log, so that every process
// decides alike; so a claim's age is measured by the log's time.
func (f *fold) apply(entry Entry, at time.Time) Decision {
	f.forget(at)
	switch entry.Kind {
	case KindClaim:
		return f.claim(entry, at)
	case KindComplete:
		if held := f.holders[entry.Key]; held != nil && held.claimID == entry.ClaimID && !held.done {
			held.done, held.answer = true, entry.Response
		}
	case KindRelease:
		if held := f.holders[entry.Key]; held != nil && held.claimID == entry.ClaimID && !held.done {
			delete(f.holders, entry.Key)
		}
	}
	return Decision{}
}

// claim takes over a claim. The first of a key holds it even when the key is too
// old by then: which claim is first must not hang on what the window is.
func (f *fold) claim(entry Entry, at time.Time) Decision {
	held := f.holders[entry.Key]
	switch {
	case held == nil:
		f.holders[entry.Key] = &holder{digest: entry.Digest, claimID: entry.ClaimID, claimer: entry.Claimer, at: at}
		f.ages = append(f.ages, aged{key: entry.Key, id: entry.ClaimID, at: at})
		if !timely(entry.Key, at) {
			return Decision{Verdict: OutsideWindow}
		}
		return Decision{Verdict: Granted, ClaimID: entry.ClaimID}
	case held.digest != entry.Digest:
		return Decision{Verdict: KeyReused}
	case held.done:
		return Decision{Verdict: Completed, Response: held.answer}
	default:
		return Decision{Verdict: Held}
	}
}

// timely reports whether the log took a claim while its key could be claimed.
// A process that was paused after it looked at the clock fails here.
func timely(key Key, at time.Time) bool {
	made, err := KeyTime(key.Text)
	if err != nil {
		return false
	}
	age := at.Sub(made)
	return age < MaxWindow+MaxClockSkew && age >= -MaxClockSkew
}

// forget drops the keys that no claim can be timely for any more. A key was made
// at most MaxClockSkew after its first claim, so it is too old for good once MaxWindow
// and twice MaxClockSkew have passed by the log's time.
func (f *fold) forget(now time.Time) {
	kept := 0
	for kept < len(f.ages) && now.Sub(f.ages[kept].at) > MaxWindow+2*MaxClockSkew {
		old := f.ages[kept]
		if held := f.holders[old.key]; held != nil && held.claimID == old.id {
			delete(f.holders, old.key)
		}
		kept++
	}
	f.ages = f.ages[kept:]
}

// held gives what is decided of a key already.
func (f *fold) held(key Key, digest Digest) (Decision, bool) {
	held := f.holders[key]
	switch {
	case held == nil:
		return Decision{}, false
	case held.digest != digest:
		return Decision{Verdict: KeyReused}, true
	case held.done:
		return Decision{Verdict: Completed, Response: held.answer}, true
	default:
		return Decision{Verdict: Held}, true
	}
}
