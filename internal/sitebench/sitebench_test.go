package sitebench

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// shortSites returns the sites with shorter simulations, for tests.
func shortSites() []Site {
	sites := Sites()
	for i := range sites {
		sites[i].Seconds = 28
	}
	return sites
}

// The seeds determine all figures, so the results below are the same on every machine.
func TestPolicyInUseBeatsOtherFeasiblePolicies(t *testing.T) {
	for _, site := range shortSites() {
		for _, scenario := range Scenarios() {
			g := NewWithT(t)
			worth := map[string]float64{}
			for _, row := range compare(site, scenario, "load", scenario.Load, 1) {
				worth[row.Policy] = row.Figures["worth"]
			}
			t.Logf("%s, %s: %v", site.Name, scenario.Name, worth)
			inUse := worth[InUse().Name]
			// Pure rendezvous hashing does as well where one runner per context suffices.
			g.Expect(inUse).To(BeNumerically(">=", worth["rendezvous"]-0.01))
			g.Expect(inUse).To(BeNumerically(">=", worth["without homes"]-0.002))
			g.Expect(inUse).To(BeNumerically(">=", worth["least in flight"]+0.005))
			g.Expect(inUse).To(BeNumerically("<=", worth[Clairvoyant().Name]), "no policy exceeds the bound")
		}
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	g := NewWithT(t)
	site, scenario := shortSites()[0], Scenarios()[2]
	g.Expect(Simulate(site, scenario, InUse(), 5)).To(Equal(Simulate(site, scenario, InUse(), 5)))
	g.Expect(Simulate(site, scenario, InUse(), 6)).NotTo(Equal(Simulate(site, scenario, InUse(), 5)))
}

func TestEachCallEndsOnceAndAllRunnersLoadNewWeights(t *testing.T) {
	for _, site := range shortSites()[:1] {
		for _, scenario := range Scenarios() {
			for _, policy := range []Policy{InUse(), Clairvoyant()} {
				g := NewWithT(t)
				scenario.Load = 1.5 // so that some calls are refused
				result := Simulate(site, scenario, policy, 1)
				g.Expect(result.answers+result.refused).To(Equal(result.calls), "%s, %s, %s", site.Name, scenario.Name, policy.Name)
				g.Expect(result.OutdatedRunners).To(BeZero())
			}
		}
	}
}

func TestStoreBoxesReduceRecomputation(t *testing.T) {
	for _, site := range shortSites()[:1] {
		g := NewWithT(t)
		scenario := Scenarios()[0]
		previous := -1.0
		for _, capacity := range []float64{2, 0.5, 0.25, 0} {
			scenario.StoreCapacity = capacity
			recomputed := Simulate(site, scenario, InUse(), 1).RecomputedTokens
			g.Expect(recomputed).To(BeNumerically(">", previous), "store capacity %v", capacity)
			previous = recomputed
		}
	}
}

func TestNewWeightsAndSlowLinksReduceWorth(t *testing.T) {
	for _, site := range shortSites() {
		g := NewWithT(t)
		scenarios := Scenarios()
		calm, quiet := Simulate(site, scenarios[0], InUse(), 1), Simulate(site, scenarios[2], InUse(), 1)
		g.Expect(quiet.Worth).To(BeNumerically("<", calm.Worth-0.01))
		slow := scenarios[2]
		slow.SlowFactor = 10
		g.Expect(Simulate(site, slow, InUse(), 1).LateFetches).To(BeNumerically(">", quiet.LateFetches))
	}
}

func TestPlotIsWritten(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "plot.svg")
	rows := []Row{}
	for _, value := range []float64{1, 2} {
		for _, policy := range Policies() {
			rows = append(rows, Row{Site: "s", Day: "d", Varied: "load", Value: value, Policy: policy.Name, Figures: map[string]float64{"worth": value / 2}})
		}
	}
	g.Expect(plot(path, "worth", rows)).To(Succeed())
	picture, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(picture)).To(And(HavePrefix("<svg"), ContainSubstring("least in flight"), ContainSubstring("worth by load")))
}
