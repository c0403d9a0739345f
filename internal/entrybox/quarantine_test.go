package entrybox

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// When all boxes start at once each of them knows no other, and each tried what was held and wrote to the log.
func TestABoxThatHasJustStartedRanksItselfFirst(t *testing.T) {
	tests := []struct {
		name       string
		listLoaded bool
		others     int
		listed     int
		uptime     time.Duration
		may        bool
	}{
		{"without the list", false, 0, 1, time.Second, false},
		{"without reports", true, 0, 2000, time.Second, false},
		{"with few reports", true, 900, 2000, time.Second, false},
		{"with the reports of half", true, 999, 2000, time.Second, true},
		{"alone", true, 0, 1, time.Second, true},
		{"alone for long", true, 0, 2000, electionDelay, true},
		{"without the list for long", false, 0, 1, electionDelay, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(mayRankFirst(test.listLoaded, test.others, test.listed, test.uptime)).To(Equal(test.may))
		})
	}
}
