// One backend server and what this box has seen of it. Failures to reach it and its
// silence hold calls back for a while; failed calls only make it dearer.

package fleet

import (
	"cmp"
	"maps"
	"math"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/coldstart"
)

// Server is what a backend server says of itself in the registry.
type Server struct {
	// Incarnation names one life of the server; a restart has another.
	Incarnation string
	// Name is what calls name the server by; it may be the same in its next life. Empty
	// where each life has a name of its own, which is the incarnation.
	Name string
	// Born tells the lives of one name apart; zero where the server does not say. Which of
	// two is there now goes by the order of the log: a server's clock may have been set back
	// between them.
	StartTime int64
	Service   string
	Address   string
	Zone      string
	Slots     int
	// Leaving servers take nothing new.
	Leaving bool
	// ColdFor is how much longer the server is cold, as of its entry (package coldstart).
	ColdFor time.Duration
	// Weights are the versions of the models that a runner holds.
	Weights map[string]int
}

// CalledBy is the name that a call for this server carries.
func (s Server) TargetName() string { return cmp.Or(s.Name, s.Incarnation) }

// Same reports whether a backend server says the same of itself as before.
func (s *Server) SameEntry(other *Server) bool {
	return s.Incarnation == other.Incarnation && s.Service == other.Service && s.Address == other.Address && s.Zone == other.Zone &&
		s.Slots == other.Slots && s.Leaving == other.Leaving && s.ColdFor == other.ColdFor && maps.Equal(s.Weights, other.Weights)
}

// isDraining reports whether the server drains, by its entry or by its answers.
func (s *State) isDraining() bool { return s.Leaving || s.advised.Draining() }

// State is a server with what this box has seen of it. All fields but Server are
// guarded by the fleet's lock.
type State struct {
	Server
	// offset is the log's position of the record that the entry came from.
	offset int64
	// gone is when the registry dropped the server; zero while it is listed.
	gone time.Time
	// believedUntil is until when it is believed in though it is gone.
	believedUntil time.Time

	inFlight int
	// pendingTokens is prompt work handed over whose first event has not come.
	pendingTokens int
	// heldTokens is the memory of the calls in flight.
	heldTokens int
	// silentSince is since when the server has calls and has not been heard of;
	// zero while it has none.
	silentSince time.Time
	// failing is the recent share of calls that failed, 0 to 1.
	failing float64
	// suspectUntil holds calls back after a failure to reach the server.
	suspectUntil time.Time
	suspicion    time.Duration
	// pausedUntil holds calls back from a runner that is changing weights or full.
	pausedUntil time.Time
	// replacedUntil holds calls back since another incarnation answers at the address: this one has
	// ended, whatever its entry still says. Other boxes are told.
	replacedUntil time.Time
	// orderedUntil holds calls back while this box has the server load weights.
	orderedUntil time.Time
	// coldUntil is until when the server is cold by its entry, which was written before it was
	// read; coldCalls are the calls that this box has sent it since.
	coldUntil time.Time
	coldCalls coldstart.Window
	// advised is what the server says of itself in its answers.
	advised advisory.Server
	// readCost is the time to read a prompt token there in milliseconds, as learnt; zero while
	// nothing is known.
	readCost float64
	// heldWeights is what the server was found to hold later than its record.
	heldWeights map[string]int
}

// Suspicion: how long a server that could not be reached is left alone. It doubles
// with each failure. The first is short, since one failure may be the link's.
const (
	firstSuspicion   = 500 * time.Millisecond
	longestSuspicion = 8 * time.Second
)

// failureWeight is the weight of the newest call in the share that failed: about
// the last eight calls count, enough to tell a failing server from bad luck.
const failureWeight = 0.125

// failingHalfLife is how soon the share that failed fades while nothing is sent.
const failingHalfLife = 3 * time.Second

func (s *State) weights(model string) int {
	return max(s.heldWeights[model], s.Weights[model])
}

// newerWeights gives the versions that the server was found to hold and that its record
// does not tell yet; nil when there are none.
func (s *State) newerWeights() map[string]int {
	var newer map[string]int
	for model, version := range s.heldWeights {
		if version <= s.Weights[model] {
			continue
		}
		if newer == nil {
			newer = map[string]int{}
		}
		newer[model] = version
	}
	return newer
}

// suspect reports whether the server is better left alone: it could not be reached
// lately, or has calls and has been silent since.
func (s *State) suspect(now time.Time) bool {
	if now.Before(s.suspectUntil) {
		return true
	}
	limit := silentService
	if len(s.Weights) > 0 {
		limit = silentRunner
	}
	return !s.silentSince.IsZero() && now.Sub(s.silentSince) > limit
}

// Silence after which a server with calls is suspect. Plain services answer in 30
// to 300 ms; a runner may read a prompt of 50,000 tokens for a second.
const (
	silentService = 500 * time.Millisecond
	silentRunner  = 1200 * time.Millisecond
)

// heard notes a sign of life.
func (s *State) heard(now time.Time) {
	s.silentSince = time.Time{}
	if s.inFlight > 0 {
		s.silentSince = now
	}
}

func (s *State) noteFailure(now time.Time, unreachable bool) {
	s.failing += failureWeight * (1 - s.failing)
	if !unreachable {
		return
	}
	s.suspicion = min(max(2*s.suspicion, firstSuspicion), longestSuspicion)
	s.suspectUntil = now.Add(s.suspicion)
}

func (s *State) noteSuccess() {
	s.failing -= failureWeight * s.failing
	s.suspicion = 0
	s.suspectUntil = time.Time{}
}

// fade lets the share that failed fade over time that passed without calls.
func (s *State) fade(passed time.Duration) {
	s.failing *= math.Exp2(-passed.Seconds() / failingHalfLife.Seconds())
}
