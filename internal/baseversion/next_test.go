package baseversion

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestNext(t *testing.T) {
	v1 := Base{Version: "v1", Present: true}
	none := Base{Replaced: true}
	few := []Share{{"v1", 4}, {"v2", 12}}
	shared := Base{Version: "v1", Present: true, Shares: few, Earlier: []EarlierShares{{Shares: []Share{{"v1", 1}}}}}
	const soon = time.Second
	tests := []struct {
		name    string
		present *Base
		seen    Observation
		next    Base
		changed bool
	}{
		{"first with one version", nil, Observation{Remembered: []string{"v1"}}, v1, true},
		{"first with several versions", nil, Observation{Remembered: []string{"v1", "v2"}}, none, true},
		{"first with one listed and one that left", nil, Observation{Listed: map[string]int{"v2": 1}, Remembered: []string{"v1", "v2"}}, none, true},
		{"first without servers", nil, Observation{}, Base{}, false},
		{"first in a log that came back from a copy", nil, Observation{Remembered: []string{"v1"}, Era: 2}, Base{Era: 2, Replaced: true}, true},

		{"it serves alone", &v1, Observation{Listed: map[string]int{"v1": 1}, Remembered: []string{"v1"}, ObservedFor: time.Hour}, none, false},
		{"others are as common", &v1, Observation{Listed: map[string]int{"v1": 4, "v2": 4}, Remembered: []string{"v1", "v2"}, ObservedFor: time.Hour}, none, false},
		{"others are more common", &v1, Observation{Listed: map[string]int{"v1": 1, "v2": 3}, Remembered: []string{"v1", "v2"}, ObservedFor: time.Hour}, Base{Version: "v1", Present: true, Shares: few}, true},
		{"others are more common than the shares say", &shared, Observation{Listed: map[string]int{"v1": 1, "v2": 15}, Remembered: []string{"v1", "v2"}, KnownFor: minShareTime}, Base{Version: "v1", Present: true, Shares: []Share{{"v1", 1}, {"v2", 15}}, Earlier: shared.Earlier}, true},
		{"others are more common than the recent shares say", &shared, Observation{Listed: map[string]int{"v1": 1, "v2": 15}, Remembered: []string{"v1", "v2"}, KnownFor: minShareTime - 1}, none, false},
		{"one of the shares has left a minute ago", &shared, Observation{Listed: map[string]int{"v2": 9}, Remembered: []string{"v2"}, ObservedFor: minAbsence}, none, true},
		{"it left within a minute", &v1, Observation{Listed: map[string]int{"v2": 1}, Remembered: []string{"v1", "v2"}, ObservedFor: time.Hour}, none, false},
		{"it left a minute ago", &v1, Observation{Listed: map[string]int{"v2": 1}, Remembered: []string{"v2"}, ObservedFor: minAbsence}, none, true},
		{"the box has not observed for a minute", &v1, Observation{Listed: map[string]int{"v2": 1}, Remembered: []string{"v2"}, ObservedFor: minAbsence - 1}, none, false},
		{"no server is left", &v1, Observation{ObservedFor: time.Hour}, none, false},

		{"none for less than the pause", &none, Observation{Listed: map[string]int{"v2": 1}, Remembered: []string{"v2"}, KnownFor: pauseTime - 1}, Base{}, false},
		{"none that the box does not know of", &none, Observation{Listed: map[string]int{"v2": 1}, Remembered: []string{"v2"}, ObservedFor: time.Hour}, Base{}, false},
		{"none for the pause", &none, Observation{Listed: map[string]int{"v2": 1}, Remembered: []string{"v2"}, KnownFor: pauseTime}, Base{Version: "v2", Present: true, Replaced: true}, true},
		{"several afterwards", &none, Observation{Listed: map[string]int{"v1": 1, "v2": 1, "v3": 1}, KnownFor: pauseTime}, Base{Version: "v1", Present: true, Replaced: true, Shares: []Share{{"v1", 5}, {"v2", 5}, {"v3", 5}}}, true},
		{"the most common one afterwards", &none, Observation{Listed: map[string]int{"v1": 1, "v2": 3, "v3": 2}, KnownFor: pauseTime}, Base{Version: "v2", Present: true, Replaced: true}, true},
		{"two that are equally common", &none, Observation{Listed: map[string]int{"v2": 3, "v1": 3}, KnownFor: pauseTime}, Base{Version: "v1", Present: true, Replaced: true}, true},
		{"no server after the pause", &none, Observation{Listed: map[string]int{}, Remembered: []string{"v2"}, KnownFor: time.Hour}, Base{}, false},

		{"another era", &v1, Observation{Listed: map[string]int{"v2": 1}, Remembered: []string{"v2"}, ObservedFor: time.Hour, Era: 1, EraSeenFor: soon}, Base{}, false},
		{"another era of none", &none, Observation{Listed: map[string]int{"v2": 1}, KnownFor: time.Hour, Era: 1, EraSeenFor: pauseTime - 1}, Base{}, false},
		{"another era for long", &v1, Observation{Remembered: []string{"v1"}, ObservedFor: time.Hour, Era: 1, EraSeenFor: pauseTime}, Base{Version: "v1", Present: true, Era: 1}, true},
		{"none in another era for long", &none, Observation{Listed: map[string]int{"v2": 1}, KnownFor: time.Hour, Era: 1, EraSeenFor: pauseTime}, Base{Replaced: true, Era: 1}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			next, changed := Next(test.present, test.seen)
			g.Expect(changed).To(Equal(test.changed))
			if changed {
				g.Expect(next).To(Equal(test.next))
			}
		})
	}
}

// A box may use a table until the end of the lease, and callers resume the streams that it began by then for a minute.
func TestTheNextBaseVersionFollowsWhileStreamsOfTheEarlierOneAreResumed(t *testing.T) {
	NewWithT(t).Expect(pauseTime).To(BeNumerically(">", LeaseTime+modelResumeTime))
}
