package evacuation_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/evacuation"
)

func TestNewestZoneRecordWins(t *testing.T) {
	begin, end := evacuation.Change{Zone: "a", Evacuate: true, Offset: 3}, evacuation.Change{Zone: "a", Offset: 5}
	tests := []struct {
		name    string
		changes []evacuation.Change
		active  []string
		ended   bool
	}{
		{"none", nil, nil, false},
		{"evacuated", []evacuation.Change{begin}, []string{"a"}, false},
		{"returned to service", []evacuation.Change{begin, end}, nil, true},
		{"a late record after the end", []evacuation.Change{end, begin}, nil, false},
		{"the same record twice", []evacuation.Change{begin, begin}, []string{"a"}, false},
		{"evacuated again", []evacuation.Change{begin, end, {Zone: "a", Evacuate: true, Offset: 6}}, []string{"a"}, true},
		{"two zones", []evacuation.Change{begin, {Zone: "b", Evacuate: true, Offset: 4}}, []string{"a", "b"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var zones evacuation.Zones
			now := time.Now()
			for _, change := range test.changes {
				zones.Apply(change, now)
			}
			g.Expect(zones.List()).To(Equal(test.active))
			g.Expect(zones.IsEvacuated("a")).To(Equal(len(test.active) > 0))
			g.Expect(!zones.EndedAt("a").IsZero()).To(Equal(test.ended))
		})
	}
}
