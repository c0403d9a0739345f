// Returns of the log from a copy. They are drawn from their own random sequence, so that the other faults
// of a seed stay the same.

package soak

import (
	"math/rand/v2"
	"time"
)

// RestoreLog takes the log away and brings it back from a copy that is CopyAge old. What operators and
// servers had written is written again within RewriteTime.
const RestoreLog Kind = "restore_log"

const (
	// meanRestoreInterval is the mean time between two returns. Some follow each other at once.
	meanRestoreInterval = 5 * time.Second
	// maxAwayTime is the longest time without the log, and maxCopyAge the age of the oldest copy.
	maxAwayTime = time.Second
	maxCopyAge  = 4 * time.Second
	// RewriteTime is the time after the return within which records are written again.
	RewriteTime = time.Second
	// weightsTime is how long after the last fault all runners must hold the newest weights.
	weightsTime = 6 * time.Second
)

// PlanRestores draws the returns of a seed.
func PlanRestores(cfg PlanConfig) []Fault {
	rng := rand.New(rand.NewPCG(cfg.Seed, 3))
	var faults []Fault
	for at := meanRestoreInterval / 2; at < cfg.LoadDuration; at += time.Duration(rng.ExpFloat64() * float64(meanRestoreInterval)) {
		faults = append(faults, Fault{Kind: RestoreLog, Start: at, ActiveFor: time.Duration(rng.Int64N(int64(maxAwayTime))), CopyAge: time.Duration(rng.Int64N(int64(maxCopyAge)))})
	}
	return faults
}

// checkWeights reports runners that do not hold the newest weights at the end.
func (h *History) checkWeights(report reportFunc) {
	if h.Ended < h.FaultsEnd+weightsTime {
		return
	}
	for server, held := range h.WeightsHeld {
		if held != h.WeightsNamed {
			report(InvariantWeights, "server %d holds version %d, not %d", server, held, h.WeightsNamed)
		}
	}
}
