package placing_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/placing"
)

// In a burst, six of ten calls that occupy a slot for 60 ms were refused, as many as of those that
// occupy one for 1.8 s, although all of the former together use 3 in 100 of the slots.
func TestSlotsAreReservedForBriefCalls(t *testing.T) {
	tests := []struct {
		name            string
		brief           bool
		share           float64
		inFlight, slots int
		want            bool
	}{
		{"a brief call gets the last slot", true, 0.03, 16, 16, true},
		{"a long call leaves it", false, 0.03, 16, 16, false},
		{"a long call gets the one before", false, 0.03, 15, 16, true},
		{"no brief calls, nothing is reserved", false, 0, 16, 16, true},
		{"many brief calls: at most an eighth of the slots", false, 0.5, 15, 16, false},
		{"many brief calls, free slots", false, 0.5, 14, 16, true},
		{"a brief call must not wait either", true, 0.03, 17, 16, false},
		{"few slots: none is reserved", false, 0.03, 4, 4, false},
		{"few slots: long calls use all of them", false, 0.03, 3, 4, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			query := placing.Query{SlotTime: 1200, PrefillLimit: 200, Brief: test.brief, BriefShare: test.share}
			candidate := placing.Candidate{InFlight: test.inFlight, Slots: test.slots}
			NewWithT(t).Expect(placing.HasSlot(query, &candidate)).To(Equal(test.want))
		})
	}
}

// A brief call with a prompt of a few thousand tokens may use the memory that long prompts leave.
func TestBriefCallsUseTheMemoryOfShortPrompts(t *testing.T) {
	g := NewWithT(t)
	candidate := placing.Candidate{HeldTokens: 80_000}
	g.Expect(placing.FitsMemory(placing.Query{Tokens: 2400, Memory: 88_000}, &candidate)).To(BeFalse())
	g.Expect(placing.FitsMemory(placing.Query{Tokens: 2400, Memory: 88_000, Brief: true}, &candidate)).To(BeTrue())
}

// The largest prompts of streams bound to a software version were refused memory that new streams of the same
// size got, since they counted as brief calls.
func TestBoundCallsMayUseAllMemoryThatOthersMay(t *testing.T) {
	g := NewWithT(t)
	const memory = 88_000
	for tokens := 200; tokens <= memory; tokens += 200 {
		for held := 0; held <= memory; held += 400 {
			for _, headroom := range []bool{false, true} {
				candidate := placing.Candidate{HeldTokens: held, Headroom: headroom}
				if placing.FitsMemory(placing.Query{Tokens: tokens, Memory: memory}, &candidate) {
					g.Expect(placing.FitsMemory(placing.Query{Tokens: tokens, Memory: memory, Brief: true, Bound: true}, &candidate)).To(BeTrue(), "%d tokens, %d held", tokens, held)
				}
			}
		}
	}
}
