// Outages of the registry, in which entries may lapse without the fault of their servers.

package fleet

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// NoteRegistryFailure records a failed read of the registry.
func (f *Fleet) NoteRegistryFailure(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastFailedRead = sent
	if f.registryFailedAt.IsZero() {
		f.registryFailedAt = boottime.Now()
	}
}

// NoteRegistryRecovery records that the registry can be read again. After a long outage, the
// servers that are still running register again.
func (f *Fleet) NoteRegistryRecovery() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := boottime.Now(); f.entriesMayHaveLapsed(now) {
		f.reregisterUntil = f.reregisterDeadline(now)
	}
	f.registryFailedAt = time.Time{}
}

// entriesMayHaveLapsed reports whether the outage of the registry has been so long that entries of
// running servers lapse.
func (f *Fleet) entriesMayHaveLapsed(now time.Time) bool {
	return !f.registryFailedAt.IsZero() && now.Sub(f.registryFailedAt) >= minLapseHeartbeats*f.cfg.Heartbeat
}

// reregisterDeadline returns the time by which running servers have registered again if the
// registry recovers now.
func (f *Fleet) reregisterDeadline(now time.Time) time.Time {
	return slices.MinFunc([]time.Time{now.Add(f.cfg.ReregisterGrace), f.lastFailedRead.Add(maxReregisterGrace)}, time.Time.Compare)
}

// lapseGraceEnd returns the time until which a server that is delisted now may still get calls.
// Only entries that are missing when the registry recovers may have lapsed. When this applied to
// every delisted server, a single failed read sent calls to servers that had left long before, 11.9
// s in one case.
func (f *Fleet) lapseGraceEnd(now time.Time) time.Time {
	if f.entriesMayHaveLapsed(now) {
		return f.reregisterDeadline(now) // another box was able to read it
	}
	return f.reregisterUntil
}

// forgetAfter is how long a delisted server is remembered, so that a late record doesn't add it
// again as a new server.
const forgetAfter = time.Minute
