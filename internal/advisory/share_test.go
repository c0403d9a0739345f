package advisory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
)

// The boxes that receive each other's reports divide the limit among them. While they are
// partitioned, the shares of all parts together add up to the limit.
func TestSharesAddUpToTheLimit(t *testing.T) {
	tests := []struct {
		name   string
		limit  float64
		listed int
		// parts are the sizes of the groups of boxes that receive each other's reports.
		parts []int
		// sharers is the total number of boxes that have a share.
		sharers int
	}{
		{"one box", 2, 1, []int{1}, 1},
		{"less than one request per second", 0.3, 8, []int{8}, 1},
		{"a few requests per second", 2.1, 8, []int{8}, 2},
		{"more requests per second than boxes", 40, 8, []int{8}, 8},
		{"many boxes", 30, 300, []int{300}, 30},
		{"two partitions", 8, 8, []int{6, 2}, 8},
		{"partitioned zones", 2, 16, []int{4, 4, 4, 4}, 4},
		{"the list of boxes is not loaded", 4, 0, []int{8}, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			total, sharers := 0.0, 0
			for _, present := range test.parts {
				for rank := range present {
					share := advisory.Share(test.limit, 0, advisory.Position{Rank: rank, Present: present, Listed: test.listed})
					total += share
					if share > 0 {
						sharers++
					}
				}
			}
			g.Expect(total).To(BeNumerically("~", test.limit, 1e-9))
			g.Expect(sharers).To(Equal(test.sharers))
		})
	}
}

// Guards against a limit that never ends: when the boxes with a share get no calls, no answer can
// show that the limit has ended.
func TestMoreBoxesGetAShareWhileThereAreNoAnswers(t *testing.T) {
	g := NewWithT(t)
	const boxes = 90
	sharers := func(age time.Duration) int {
		count := 0
		for rank := range boxes {
			if advisory.Share(2, age, advisory.Position{Rank: rank, Present: boxes, Listed: boxes}) > 0 {
				count++
			}
		}
		return count
	}
	g.Expect(sharers(2 * time.Second)).To(Equal(2))
	g.Expect(sharers(4 * time.Second)).To(Equal(4))
	g.Expect(sharers(time.Minute)).To(Equal(boxes))
	g.Expect(sharers(1000 * time.Hour)).To(Equal(boxes))
}

func TestABucketAdmitsRequestsAtItsRate(t *testing.T) {
	for _, rate := range []float64{0.1, 1, 2.5, 40} {
		g := NewWithT(t)
		var bucket advisory.Bucket
		begin := time.Now()
		admitted := 0
		for now := begin; now.Sub(begin) < 100*time.Second; now = now.Add(5 * time.Millisecond) {
			if bucket.HasRoom(rate, now) {
				bucket.Admit(rate, now)
				admitted++
			}
			if wait := bucket.Wait(rate, now); wait > 0 {
				g.Expect(bucket.HasRoom(rate, now.Add(wait))).To(BeTrue())
			}
		}
		g.Expect(float64(admitted)).To(BeNumerically("~", 100*rate, 2+10*rate))
		g.Expect(bucket.HasRoom(0, begin.Add(time.Hour))).To(BeFalse(), "no share")
	}
}
