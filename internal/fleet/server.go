// A backend server and this box's observations about it. Connection failures and silence exclude a
// server for a while; failed calls only raise its cost.

package fleet

import (
	"cmp"
	"maps"
	"math"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/coldstart"
)

// Server is a backend server's entry in the registry.
type Server struct {
	// Incarnation identifies a run of the server; it changes with each restart.
	Incarnation string
	// Name is the name by which calls address the server; it may stay the same after a restart. It
	// is empty if each run has its own name, which is then the incarnation.
	Name string
	// StartTime distinguishes the incarnations of one name; zero if the server doesn't set it. The
	// order of the log, not StartTime, decides which one is current, since a server's clock may
	// have been set back between two starts.
	StartTime int64
	Service   string
	Address   string
	Zone      string
	Slots     int
	// Leaving servers get no new calls.
	Leaving bool
	// ColdFor is how much longer the server was cold when the entry was written (package
	// coldstart).
	ColdFor time.Duration
	// Software is the version of the server's software; empty if the entry does not state it. It has
	// no order, and is unrelated to Weights.
	Software string
	// Weights maps the models that a runner holds to their versions.
	Weights map[string]int
}

// TargetName returns the name by which calls address this server.
func (s Server) TargetName() string { return cmp.Or(s.Name, s.Incarnation) }

// SameEntry reports whether two entries of a backend server have the same content.
func (s *Server) SameEntry(other *Server) bool {
	return s.Incarnation == other.Incarnation && s.Service == other.Service && s.Address == other.Address && s.Zone == other.Zone &&
		s.Slots == other.Slots && s.Leaving == other.Leaving && s.ColdFor == other.ColdFor && s.Software == other.Software && maps.Equal(s.Weights, other.Weights)
}

// noStatements stands for the statements of servers that have made none. It is never modified.
var noStatements advisory.Server

// stated returns what the server states about itself, for methods that record nothing. NoteSent
// records calls only of servers that state a limit.
func (s *State) stated() *advisory.Server {
	if s.statements == nil {
		return &noStatements
	}
	return s.statements
}

// ownStatements returns the statements of the server, for recording one.
func (s *State) ownStatements() *advisory.Server {
	if s.statements == nil {
		s.statements = &advisory.Server{}
	}
	return s.statements
}

// isDraining reports whether the server drains according to its entry or its answers.
func (s *State) isDraining() bool { return s.Leaving || s.stated().Draining() }

// State is a server with this box's observations about it. The fleet's lock guards all fields.
type State struct {
	Server
	// key is the server's key in the registry.
	key string
	// order is the hash of the incarnation, and grouped means that the server is listed in its group.
	order   uint64
	grouped bool
	// offset is the position of the entry's record in the log.
	offset int64
	// delistedAt is when the server was read as delisted; zero while it is listed.
	delistedAt time.Time
	// usableUntil is the time until which a delisted server may still get calls.
	usableUntil time.Time

	// others is the work of all other boxes at the server, the same as remoteWork returns.
	others workTotal

	inFlight int
	// pendingTokens counts prompt tokens of calls in flight without a first event.
	pendingTokens int
	// heldTokens is the memory used by the calls in flight.
	heldTokens int
	// silentSince is the time since which the server has had calls and sent nothing; zero while it
	// has no calls.
	silentSince time.Time
	// failureRate is the recent share of calls that failed, from 0 to 1.
	failureRate float64
	// suspectUntil is the time until which the server is suspect after a connection failure.
	suspectUntil time.Time
	suspectTime  time.Duration
	// pausedUntil is the time until which a runner gets no calls because it is full or changes its
	// weights.
	pausedUntil time.Time
	// replacedUntil is the time until which the server gets no calls because another incarnation
	// responded at its address. This incarnation has ended, even if its entry is still listed. It
	// is reported to other boxes.
	replacedUntil time.Time
	// weightOrderUntil is the time until which the server gets no calls while it loads weights on
	// this box's order.
	weightOrderUntil time.Time
	// coldUntil is the time until which the server is cold by its entry, which was written before
	// it was read. coldCalls are the calls that this box has sent it while cold.
	coldUntil time.Time
	coldCalls coldstart.Window
	// statements is what the server states about itself in its answers; nil before the first one. A
	// box of a large fleet calls few of the servers.
	statements *advisory.Server
	// nextTry is when the server may be tried above its known room, while it is brittle.
	nextTry time.Time
	// recent is the decaying number of calls that this box placed at the server, at recentAt.
	recent   float64
	recentAt time.Time
	// lateness is the decaying mean, in milliseconds, by which first events were late, at latenessAt.
	lateness   float64
	latenessAt time.Time
	// prefillCost is the learned prefill time of a prompt token at the server, in milliseconds;
	// zero without samples.
	prefillCost float64
	// heldWeights has the versions that the server was found to hold since its record was written.
	heldWeights map[string]int
}

// Suspect time: how long a server that couldn't be reached is avoided. It doubles with each
// failure. The first one is short, since a single failure may be caused by the network.
const (
	minSuspectTime = 500 * time.Millisecond
	maxSuspectTime = 8 * time.Second
)

// failureWeight is the weight of the latest call in the failure rate. About the last eight calls
// count, which is enough to distinguish a failing server from random failures.
const failureWeight = 0.125

// failureHalfLife is the half-life of the failure rate, which decays independently of the results
// of calls.
const failureHalfLife = 3 * time.Second

func (s *State) weights(model string) int {
	return max(s.heldWeights[model], s.Weights[model])
}

// newerWeights returns the versions that the server was found to hold and that its record doesn't
// list yet; nil if there are none.
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

// isSuspect reports whether the server should be avoided: it recently couldn't be reached, or it
// has calls and has sent nothing for too long.
func (s *State) isSuspect(now time.Time) bool {
	if now.Before(s.suspectUntil) {
		return true
	}
	limit := serviceSilenceLimit
	if len(s.Weights) > 0 {
		limit = runnerSilenceLimit
	}
	return !s.silentSince.IsZero() && now.Sub(s.silentSince) > limit
}

// Time without any response after which a server with calls is suspect. Plain services answer in 30
// to 300 ms; a runner may need a second for the prefill of a prompt of 50,000 tokens.
const (
	serviceSilenceLimit = 500 * time.Millisecond
	runnerSilenceLimit  = 1200 * time.Millisecond
)

// noteActivity records that the server responded.
func (s *State) noteActivity(now time.Time) {
	s.silentSince = time.Time{}
	if s.inFlight > 0 {
		s.silentSince = now
	}
}

func (s *State) noteFailure(now time.Time, unreachable bool) {
	s.failureRate += failureWeight * (1 - s.failureRate)
	if !unreachable {
		return
	}
	s.suspectTime = min(max(2*s.suspectTime, minSuspectTime), maxSuspectTime)
	s.suspectUntil = now.Add(s.suspectTime)
}

func (s *State) noteSuccess() {
	s.failureRate -= failureWeight * s.failureRate
	s.suspectTime = 0
	s.suspectUntil = time.Time{}
}

// decayFailures decays the failure rate by the elapsed time.
func (s *State) decayFailures(elapsed time.Duration) {
	s.failureRate *= math.Exp2(-elapsed.Seconds() / failureHalfLife.Seconds())
}
