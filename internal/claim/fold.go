package claim

import (
	"time"

	"github.com/google/uuid"
)

// keyState is the state of one key according to the log.
type keyState struct {
	digest      Digest
	claimID     uuid.UUID
	incarnation string
	// claimedAt is the log's timestamp of the claim.
	claimedAt time.Time
	completed bool
	response  StoredResponse
}

// Verdict is the log's decision on a claim.
type Verdict uint8

const (
	// Granted means that this process, and no other, may run the request.
	Granted Verdict = iota + 1
	// Held means that an earlier claim holds the key and its outcome is not known.
	Held
	// Completed means that an earlier claim holds the key and its response is stored.
	Completed
	// KeyReused means that the key was used for a different request.
	KeyReused
	// OutsideWindow means that the key was too old, or dated in the future, when the claim was
	// made or reached the log, or that an earlier claim of the key may have expired unread.
	OutsideWindow
)

// Decision is the decision on a claim.
type Decision struct {
	Verdict Verdict
	// Response is set when the verdict is Completed.
	Response StoredResponse
	// ClaimID is set when the verdict is Granted.
	ClaimID uuid.UUID
}

// keyTable is the state of one claim stream: the result of applying its records in order.
type keyTable struct {
	keys map[Key]*keyState
	// expiryQueue lists the keys in the order of their claims, for eviction.
	expiryQueue []expiryEntry
}

type expiryEntry struct {
	key       Key
	claim     uuid.UUID
	claimedAt time.Time
}

func newKeyTable() *keyTable { return &keyTable{keys: map[Key]*keyState{}} }

// MaxClockSkew bounds the difference between the clocks of callers, boxes and the log.
const MaxClockSkew = time.Minute

// MaxWindow bounds the claim window. The configured window may differ between boxes while a
// change propagates, but the tables must not differ, so they evict keys by this constant.
const MaxWindow = 2 * time.Hour

// apply applies an entry with the log's timestamp and returns the decision if it is a claim. It
// depends only on the log, so that every process reaches the same decision; for that reason a
// claim's age is measured with the log's timestamp.
func (t *keyTable) apply(entry Entry, at time.Time) Decision {
	t.evictExpired(at)
	switch entry.Kind {
	case KindClaim:
		return t.applyClaim(entry, at)
	case KindComplete:
		if state := t.keys[entry.Key]; state != nil && state.claimID == entry.ClaimID && !state.completed {
			state.completed, state.response = true, entry.Response
		}
	case KindRelease:
		if state := t.keys[entry.Key]; state != nil && state.claimID == entry.ClaimID && !state.completed {
			delete(t.keys, entry.Key)
		}
	}
	return Decision{}
}

// applyClaim applies a claim. The first claim of a key holds it even when the key is outside
// the window by then: the order of claims must not depend on the window.
func (t *keyTable) applyClaim(entry Entry, at time.Time) Decision {
	state := t.keys[entry.Key]
	switch {
	case state == nil:
		t.keys[entry.Key] = &keyState{digest: entry.Digest, claimID: entry.ClaimID, incarnation: entry.Incarnation, claimedAt: at}
		t.expiryQueue = append(t.expiryQueue, expiryEntry{key: entry.Key, claim: entry.ClaimID, claimedAt: at})
		if !inWindow(entry.Key, at) {
			return Decision{Verdict: OutsideWindow}
		}
		return Decision{Verdict: Granted, ClaimID: entry.ClaimID}
	case state.digest != entry.Digest:
		return Decision{Verdict: KeyReused}
	case state.completed:
		return Decision{Verdict: Completed, Response: state.response}
	default:
		return Decision{Verdict: Held}
	}
}

// inWindow reports whether the log received a claim while its key could be claimed. It rejects
// the claim of a process that was paused between its own check of the key's age and the append.
func inWindow(key Key, at time.Time) bool {
	created, err := KeyTime(key.Text)
	if err != nil {
		return false
	}
	age := at.Sub(created)
	return age < MaxWindow+MaxClockSkew && age >= -MaxClockSkew
}

// evictExpired drops the keys that are too old for any further claim. A key is created at most
// MaxClockSkew after the time of its first claim, so it can no longer be in the window once
// MaxWindow plus twice MaxClockSkew have passed by the log's timestamps.
func (t *keyTable) evictExpired(now time.Time) {
	evicted := 0
	for evicted < len(t.expiryQueue) && now.Sub(t.expiryQueue[evicted].claimedAt) > MaxWindow+2*MaxClockSkew {
		oldest := t.expiryQueue[evicted]
		if state := t.keys[oldest.key]; state != nil && state.claimID == oldest.claim {
			delete(t.keys, oldest.key)
		}
		evicted++
	}
	t.expiryQueue = t.expiryQueue[evicted:]
}

// lookup returns the decision on a key that is already claimed.
func (t *keyTable) lookup(key Key, digest Digest) (Decision, bool) {
	state := t.keys[key]
	switch {
	case state == nil:
		return Decision{}, false
	case state.digest != digest:
		return Decision{Verdict: KeyReused}, true
	case state.completed:
		return Decision{Verdict: Completed, Response: state.response}, true
	default:
		return Decision{Verdict: Held}, true
	}
}
