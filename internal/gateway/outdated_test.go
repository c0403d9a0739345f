package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/registry"
)

// versions are the versions of one model's weights, oldest first.
type versions []registry.DeclaredWeights

func (v versions) Weights(string) registry.DeclaredWeights { return v[len(v)-1] }

func (v versions) OutdatedSince(_ string, version int) (registry.DeclaredWeights, bool) {
	for _, named := range v {
		if named.Version > version {
			return named, true
		}
	}
	return registry.DeclaredWeights{}, false
}

const weightsLimit = 12 * time.Second

func newTestGateway(v versions) *Gateway {
	f := fleet.New(fleet.Config{Logger: zerolog.Nop()})
	f.Apply([]fleet.Update{{Key: "s", Offset: 1, Server: &fleet.Server{Incarnation: "s", Service: "s", Weights: map[string]int{"m": 1}}}})
	return New(Config{Fleet: f, Logger: zerolog.Nop(), Scope: tally.NoopScope, Weights: v, OutdatedAfter: weightsLimit})
}

func TestOutdatedWeightsMayServeUntilTheirTimeLimit(t *testing.T) {
	tests := []struct {
		name string
		v    func(now time.Time) versions
		may  bool
	}{
		{"the newest", func(now time.Time) versions {
			return versions{{Version: 1, LearnedAt: now, DeclaredAfter: now.Add(-time.Hour)}}
		}, true},
		{"just outdated", func(now time.Time) versions {
			return versions{{Version: 2, LearnedAt: now, DeclaredAfter: now.Add(-9 * time.Second)}}
		}, true},
		{"close to their time limit", func(now time.Time) versions {
			return versions{{Version: 2, LearnedAt: now, DeclaredAfter: now.Add(-11 * time.Second)}}
		}, false},
		{"outdated twice, the second time just now", func(now time.Time) versions {
			return versions{{Version: 2, LearnedAt: now, DeclaredAfter: now.Add(-11 * time.Second)}, {Version: 3, LearnedAt: now, DeclaredAfter: now}}
		}, false},
		{"found outdated at startup", func(now time.Time) versions {
			return versions{{Version: 2, LearnedAt: now.Add(-time.Second)}}
		}, true},
		{"found outdated a while ago", func(now time.Time) versions {
			return versions{{Version: 2, LearnedAt: now.Add(-4 * time.Second)}}
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				_, may := newTestGateway(test.v(time.Now())).outdatedCost("m", 1, time.Second)
				g.Expect(may).To(Equal(test.may))
			})
		})
	}
}

// A call that waits at a runner must not start on outdated weights after their time limit, so the
// runner gets a timeout that ends with it.
func TestTheTimeoutAtOutdatedWeightsEndsWithTheirTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gateway := newTestGateway(versions{{Version: 2, LearnedAt: time.Now(), DeclaredAfter: time.Now().Add(-9 * time.Second)}})
		x := &exchange{deadline: time.Now().Add(10 * time.Second), info: call.RequestInfo{Prompt: &call.Prompt{Model: "m"}}}
		hold := gateway.cfg.Fleet.Choose(fleet.Query{
			Service: "s", Model: "m", PrefillWork: func(int) int { return 0 }, VersionCost: func(int) (float64, bool) { return 0, true },
		})
		g.Expect(gateway.serverTimeout(x, placement{hold: hold, namespace: "m/1"})).To(BeNumerically("<", 3*time.Second))
		gateway.cfg.Fleet.NoteWeights("s", "m", 2)
		hold = gateway.cfg.Fleet.Choose(fleet.Query{
			Service: "s", Model: "m", PrefillWork: func(int) int { return 0 }, VersionCost: func(int) (float64, bool) { return 0, true },
		})
		g.Expect(gateway.serverTimeout(x, placement{hold: hold, namespace: "m/2"})).To(Equal(10 * time.Second))
	})
}
