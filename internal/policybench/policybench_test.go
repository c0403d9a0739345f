package policybench

import (
	"testing"

	. "github.com/onsi/gomega"
)

// rowsOf runs all policies on one load with a few seeds and returns the rows by policy name.
func rowsOf(t *testing.T, load Load, percent, seeds int) map[string]Row {
	t.Helper()
	rows := map[string]Row{}
	for _, row := range compare(load, percent, seeds) {
		rows[row.Policy] = row
	}
	return rows
}

func mustLoads(t *testing.T) []Load {
	t.Helper()
	loads, err := Loads()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return loads
}

// The figures are in virtual time and determined by the seeds, so the result is the same on every
// machine.
func TestPolicyInUseMeetsItsBounds(t *testing.T) {
	const seeds = 3
	for _, load := range mustLoads(t) {
		for _, percent := range []int{50, 80} {
			g := NewWithT(t)
			rows := rowsOf(t, load, percent, seeds)
			got, home, least := rows[policyInUse], rows["rendezvous"], rows["least loaded"]
			t.Logf("%s at %d%%: p95 %.2f s (rendezvous %.2f), recomputed %.1f%% (clairvoyant %.1f%%, least loaded %.1f%%), good %.1f%%",
				load.Deployment, percent, got.P95, home.P95, 100*got.RecomputedShare, 100*got.ClairvoyantShare, 100*least.RecomputedShare, 100*got.InTimeShare)
			g.Expect(got.InTimeShare).To(BeNumerically(">=", home.InTimeShare), "%s at %d%%", load.Deployment, percent)
			g.Expect(got.RecomputedShare).To(BeNumerically("<=", 1.8*got.ClairvoyantShare))
			g.Expect(got.RecomputedShare).To(BeNumerically("<=", 0.6*least.RecomputedShare))
			g.Expect(got.P95).To(BeNumerically("<=", 1.2*home.P95), "more are served, so the slowest of them are slower")
			g.Expect(got.FairnessIndex).To(BeNumerically(">=", 0.99))
			g.Expect(got.InstantP95).To(BeNumerically("<=", 0.6))
		}
	}
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	g := NewWithT(t)
	load := mustLoads(t)[0]
	g.Expect(compare(load, 80, 1)).To(Equal(compare(load, 80, 1)))
}

func TestNoPolicyBeatsClairvoyantBound(t *testing.T) {
	for _, load := range mustLoads(t) {
		for _, row := range compare(load, 50, 2) {
			NewWithT(t).Expect(row.RecomputedShare).To(BeNumerically(">=", row.UnseenShare-0.03), row.Policy)
		}
	}
}
