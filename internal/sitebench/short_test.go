package sitebench

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against short prompts that queue behind long ones that their boxes do not know of. On a
// calm day, 4 of 100 short prompts were late for this reason: runners with few calls in flight
// looked idle, and a long prompt that another box had just placed there takes 0.3 s to prefill. Of
// 24,508 prompts that boxes placed themselves 1,349 were late, and of 8,496 that owners placed 31.
// Log lines of these calls, medians in milliseconds:
//
//	late short prompts: expected 37, first_event 802, placed_by this_box
//
// A box therefore sends a request to the owner when the unreported work at a runner may exceed the
// cost of that request.
func TestShortPromptsDoNotQueueBehindUnreportedLongOnes(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		result := Simulate(Large(), Scenarios()[1], InUse(), seed)
		t.Logf("worth %.3f, late %.3f, p99 %v", result.Worth, result.Late, result.P99)
		g.Expect(result.P99[1]).To(BeNumerically("<", Large().Classes[1].TargetMillis))
	}
}
