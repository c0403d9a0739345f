package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/placing"
)

// prompt asks for a runner that holds at least the oldest version.
func prompt(oldest, tokens int, limit time.Duration) fleet.Query {
	return fleet.Query{
		Service: "runners", Zone: "a", Model: "m", Load: placing.Query{PrefillLimit: float64(limit.Milliseconds())},
		PrefillWork: func(int) int { return tokens },
		VersionCost: func(weights int) (float64, bool) {
			return 0, weights >= oldest
		},
	}
}

func TestOnlyWeightsThatMayAnswerAreChosen(t *testing.T) {
	g := NewWithT(t)
	f := newFleet("s")
	g.Expect(f.Choose(prompt(2, 10, 0))).To(BeNil())
	f.NoteWeights("s", "m", 2)
	hold := f.Choose(prompt(2, 10, 0))
	g.Expect(hold).NotTo(BeNil())
	g.Expect(hold.Weights()).To(Equal(2))
	f.NoteWeights("s", "m", 1)
	g.Expect(f.Choose(prompt(2, 10, 0))).NotTo(BeNil(), "a version only rises")
}

// A runner takes one prompt of any length, and more only as far as they are read
// soon; what other boxes have there counts too.
func TestPromptsWaitAtRunnersOnlySoLong(t *testing.T) {
	g := NewWithT(t)
	f := newFleet("s")
	limit := 100 * time.Millisecond // 6,000 tokens at the rate first assumed
	first := f.Choose(prompt(1, 50_000, limit))
	g.Expect(first).NotTo(BeNil())
	g.Expect(f.Choose(prompt(1, 100, limit))).To(BeNil())
	first.NoteEvent()
	second := f.Choose(prompt(1, 3000, limit))
	g.Expect(second).NotTo(BeNil())
	g.Expect(f.Choose(prompt(1, 2000, limit))).NotTo(BeNil())
	g.Expect(f.Choose(prompt(1, 2000, limit))).To(BeNil())
	second.Done(fleet.OutcomeServed)
	f.SetRemoteLoads("other", []fleet.Load{{Incarnation: "s", InFlight: 1, PendingTokens: 5000}})
	g.Expect(f.Choose(prompt(1, 2000, limit))).To(BeNil())
	f.SetRemoteLoads("other", nil)
	g.Expect(f.Choose(prompt(1, 2000, limit))).NotTo(BeNil())
}

// A long prompt does not drive others out of a runner's memory, whoever sent them.
func TestALongPromptGoesOnlyWhereItFits(t *testing.T) {
	g := NewWithT(t)
	f := newFleet("s")
	long := prompt(1, 0, 0)
	long.Load.Tokens, long.Load.Memory = 100_000, 80_000 // known calls may take 60,000
	alone := f.Choose(long)
	g.Expect(alone).NotTo(BeNil(), "alone it may try")
	long.Load.Tokens = 1000
	g.Expect(f.Choose(long)).To(BeNil())
	alone.Done(fleet.OutcomeServed)
	long.Load.Tokens = 30_000
	first, second := f.Choose(long), f.Choose(long)
	g.Expect(first).NotTo(BeNil())
	g.Expect(second).NotTo(BeNil(), "both fit")
	g.Expect(f.Choose(long)).To(BeNil())
	first.Done(fleet.OutcomeServed)
	second.Done(fleet.OutcomeServed)
	f.SetRemoteLoads("other", []fleet.Load{{Incarnation: "s", InFlight: 1, HeldTokens: 46_000}})
	g.Expect(f.Choose(long)).To(BeNil(), "known calls take too much already")
	f.SetRemoteLoads("other", []fleet.Load{{Incarnation: "s", InFlight: 1, HeldTokens: 30_000}})
	long.Load.Tokens = 51_000
	g.Expect(f.Choose(long)).To(BeNil(), "it does not fit at all")
	short := prompt(1, 0, 0)
	short.Load.Tokens = 300
	g.Expect(f.Choose(short)).NotTo(BeNil(), "short ones have no bound")
}

// Under load the largest prompts must not be the ones that find no room: where one of
// usual size goes, a large one goes too, as long as it fits.
func TestLargePromptsFindRoomWhereUsualOnesDo(t *testing.T) {
	g := NewWithT(t)
	limit := time.Second // 60,000 tokens at the rate first assumed
	for _, tokens := range []int{30_000, 45_000} {
		f := newFleet("s")
		f.SetRemoteLoads("other", []fleet.Load{{Incarnation: "s", InFlight: 1, PendingTokens: 30_000, HeldTokens: 30_000}})
		query := prompt(1, tokens, limit)
		query.Load.Tokens, query.Load.Memory = tokens, 100_000 // known calls may take 75,000
		g.Expect(f.Choose(query)).NotTo(BeNil(), "%d tokens", tokens)
	}
}

// Where all boxes have left a runner its headroom, only the owner fills it.
func TestTheHeadroomOfARunnerIsForItsOwner(t *testing.T) {
	cases := []struct {
		name string
		// owned names the server whose headroom belongs to this box.
		owned  string
		others int
		want   bool
	}{
		{name: "room for all", others: 40_000, want: true},
		{name: "headroom of another", others: 62_000},
		{name: "own headroom", owned: "s", others: 62_000, want: true},
		{name: "headroom elsewhere", owned: "t", others: 62_000},
		{name: "own headroom is full too", owned: "s", others: 80_000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet("s")
			f.SetRemoteLoads("other", []fleet.Load{{Incarnation: "s", InFlight: 1, HeldTokens: c.others}})
			query := prompt(1, 0, 0)
			query.Load.Tokens, query.Load.Memory = 15_000, 100_000
			query.OwnsHeadroom = func(incarnation string) bool { return incarnation == c.owned }
			g.Expect(f.Choose(query) != nil).To(Equal(c.want))
		})
	}
}
