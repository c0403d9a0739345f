package sitebench

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// short gives the sites with shorter days, for tests.
func short() []Site {
	sites := Sites()
	for i := range sites {
		sites[i].Seconds = 28
	}
	return sites
}

// The seeds decide all figures, so each verdict below is the same on every machine.
func TestThePolicyInUseIsTheBestOfTheRealOnes(t *testing.T) {
	for _, site := range short() {
		for _, day := range Scenarios() {
			g := NewWithT(t)
			worth := map[string]float64{}
			for _, row := range compare(site, day, "load", day.Load, 1) {
				worth[row.Policy] = row.Figures["worth"]
			}
			t.Logf("%s, %s: %v", site.Name, day.Name, worth)
			inUse := worth[InUse().Name]
			// A policy that asks for nothing but the home does as well where one is enough.
			g.Expect(inUse).To(BeNumerically(">=", worth["rendezvous"]-0.01))
			g.Expect(inUse).To(BeNumerically(">=", worth["without homes"]-0.002))
			g.Expect(inUse).To(BeNumerically(">=", worth["least in flight"]+0.005))
			g.Expect(inUse).To(BeNumerically("<=", worth[Clairvoyant().Name]), "nobody beats the bound")
		}
	}
}

func TestTheSameSeedGivesTheSameResult(t *testing.T) {
	g := NewWithT(t)
	site, day := short()[0], Scenarios()[2]
	g.Expect(Simulate(site, day, InUse(), 5)).To(Equal(Simulate(site, day, InUse(), 5)))
	g.Expect(Simulate(site, day, InUse(), 6)).NotTo(Equal(Simulate(site, day, InUse(), 5)))
}

func TestEachCallEndsOnceAndAllRunnersChangeWeights(t *testing.T) {
	for _, site := range short()[:1] {
		for _, day := range Scenarios() {
			for _, policy := range []Policy{InUse(), Clairvoyant()} {
				g := NewWithT(t)
				day.Load = 1.5 // so that some are refused
				result := Simulate(site, day, policy, 1)
				g.Expect(result.answers+result.refused).To(Equal(result.calls), "%s, %s, %s", site.Name, day.Name, policy.Name)
				g.Expect(result.OutdatedRunners).To(BeZero())
			}
		}
	}
}

func TestStoreBoxesSaveReadingAgain(t *testing.T) {
	for _, site := range short()[:1] {
		g := NewWithT(t)
		day := Scenarios()[0]
		before := -1.0
		for _, room := range []float64{2, 0.5, 0.25, 0} {
			day.StoreCapacity = room
			again := Simulate(site, day, InUse(), 1).RecomputedTokens
			g.Expect(again).To(BeNumerically(">", before), "room %v", room)
			before = again
		}
	}
}

func TestNewWeightsAndSlowLinksCostWorth(t *testing.T) {
	for _, site := range short() {
		g := NewWithT(t)
		days := Scenarios()
		calm, quiet := Simulate(site, days[0], InUse(), 1), Simulate(site, days[2], InUse(), 1)
		g.Expect(quiet.Worth).To(BeNumerically("<", calm.Worth-0.01))
		slow := days[2]
		slow.SlowFactor = 10
		g.Expect(Simulate(site, slow, InUse(), 1).LateFetches).To(BeNumerically(">", quiet.LateFetches))
	}
}

func TestAPlotIsWritten(t *testing.T) {
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
