// A server's rate limit applies to all boxes together, but boxes share no counter. Instead, some
// boxes each get an equal share of the limit, and the others send no requests. Rendezvous hashing
// over the boxes that receive each other's reports selects the former. There are as many of them as
// the limit allows requests per second, so that each share is at least one request per second and
// is used by the box's own calls.
//
// While the boxes are partitioned, each part divides its portion of the limit, so that the sum over
// all parts stays within it. When the boxes that have a share get no calls for the server, there
// are no answers from it. More boxes then get a share until one of them receives an answer, since
// otherwise nothing would show that the limit has ended.

package advisory

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Position is a box's position among the boxes that may call a server.
type Position struct {
	// Rank is the number of present boxes that precede this one.
	Rank int
	// Present is the number of boxes that receive each other's reports, this one included, and
	// Listed the number of all boxes. Each is zero while it is unknown.
	Present, Listed int
	// ReportLag is the approximate delay with which boxes receive each other's answers.
	ReportLag time.Duration
}

const (
	// More boxes get a share when a limited server goes without an answer for the longest of three
	// times: unusedAfter, unusedIntervals times the interval between two requests at the limit, and
	// unusedLags times the lag of reports.
	unusedAfter     = 3 * time.Second
	unusedIntervals = 4
	unusedLags      = 4
	// maxDoublings bounds how often the number of boxes with a share doubles.
	maxDoublings = 16
)

// Share returns the rate in requests per second at which one box may send to a server; zero means
// none. age is the age of the newest answer that stated the limit.
func Share(perSecond float64, age time.Duration, position Position) float64 {
	present := max(position.Present, 1)
	portion := perSecond * float64(present) / float64(max(position.Listed, present))
	sharers := min(max(int(portion), 1), present)
	if position.Rank >= sharers<<doublings(portion, age, position.ReportLag) {
		return 0
	}
	return portion / float64(sharers)
}

// doublings returns how often the number of boxes with a share has doubled since the last answer.
func doublings(perSecond float64, age, lag time.Duration) int {
	intervals := time.Duration(float64(time.Second) * unusedIntervals / perSecond)
	return int(min(age/max(unusedAfter, intervals, unusedLags*lag), maxDoublings))
}

// Rank returns the number of boxes that precede a box for a server, by rendezvous hashing.
func Rank(box string, others []string, server string) int {
	own := xxhash.Sum64String(box + "/" + server)
	preceding := 0
	for _, other := range others {
		if rank := xxhash.Sum64String(other + "/" + server); other != box && (rank > own || rank == own && other > box) {
			preceding++
		}
	}
	return preceding
}

// burstTime bounds a burst: a box may send the requests of this much time at once.
const burstTime = 500 * time.Millisecond

// Bucket limits the requests that a box sends to a limited server. It is a token bucket whose rate
// is the box's share. The zero value is full. It is not safe for concurrent use.
type Bucket struct {
	limiter *rate.Limiter
}

// HasRoom reports whether a request may be sent at the time now, at a rate in requests per second.
func (b *Bucket) HasRoom(perSecond float64, now time.Time) bool {
	return perSecond > 0 && b.at(perSecond, now).TokensAt(now) >= 1
}

// Admit counts a request that is sent at the time now.
func (b *Bucket) Admit(perSecond float64, now time.Time) {
	b.at(perSecond, now).AllowN(now, 1)
}

// Wait returns the time until a request may be sent, at a rate in requests per second, which must
// not be zero.
func (b *Bucket) Wait(perSecond float64, now time.Time) time.Duration {
	missing := 1 - b.at(perSecond, now).TokensAt(now)
	return time.Duration(max(math.Ceil(missing/perSecond*float64(time.Second)), 0))
}

func (b *Bucket) at(perSecond float64, now time.Time) *rate.Limiter {
	burst := int(max(perSecond*burstTime.Seconds(), 1))
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		b.limiter.AllowN(now, 0) // starts the limiter's clock
	}
	if b.limiter.Limit() != rate.Limit(perSecond) {
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
		b.limiter.SetBurstAt(now, burst)
	}
	return b.limiter
}
