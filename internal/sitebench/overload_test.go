package sitebench

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an overload that outlasts its cause. A burst while a quarter of the runners hung
// left 48 calls at each of the others, which run 12 at once: short prompts were sent there
// regardless of the queue, and long ones as soon as memory was free. Parts that were fetched for
// long prompts were discarded before these prompts ran, so the runners prefilled them again, which
// delayed the answers of all other calls. The load thus sustained itself: 15 s after the burst,
// with all runners back, half of the calls were still late. Log lines of the calls of 59 boxes in
// that scenario (first events in milliseconds, medians of 2 s):
//
//	from 24 s: short prompts: expected 49, took 1051; long prompts: expected 338, took 1685
//	refused: sound 21.0 in_flight/sound 23.1 held_tokens/sound 146855 (a runner's memory: 86716)
//
// On the runners, 634 fetches came too late, and 12.6 of 30.2 million tokens were prefilled again.
func TestOverloadEndsAfterBurst(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		result, withoutOwners := Simulate(Large(), OverloadScenario(), InUse(), seed), Simulate(Large(), OverloadScenario(), WithoutOwners(), seed)
		t.Logf("worth %.3f (without owners %.3f), late %.3f, recomputed %.1f M, late fetches %.0f", result.Worth, withoutOwners.Worth, result.Late, result.RecomputedTokens, result.LateFetches)
		g.Expect(withoutOwners.Worth).To(BeNumerically("<", 0.25), "without owners the overload persists")
		g.Expect(result.Worth).To(BeNumerically(">", 0.65))
		g.Expect(result.Late).To(BeNumerically("<", 0.25))
		g.Expect(result.LateFetches).To(BeNumerically("<", 500))
	}
}
