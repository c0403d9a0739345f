// The base version of a single stream, where the streams of a service are shared out among several versions.
//
// While the log is unavailable new streams can begin at their base version only, since no other origin can be recorded.
// If that were one version with few servers, these could not serve all new streams. So once the base version has under
// half of the servers, each version gets a share of the streams by its number of servers. Which streams these are is
// computed from the request ID and the table in the log, so that a box which has just started finds the version too.

package baseversion

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// totalWeight is the sum of the weights that shares are rounded to.
	totalWeight = 16
	// maxExcess is how many times its part of the servers a version's share of the streams may be.
	maxExcess = 2
	// minShareTime is the time between two changes of the shares of a service. A release of many servers would otherwise
	// change them with every few servers.
	minShareTime = 10 * time.Second
	// UseTime is how long boxes may place new streams by a table that they cannot read again, counted from the read.
	UseTime = LeaseTime + time.Minute
	// lateMargin allows for differences between the clocks of boxes, and for an append that takes effect only after its
	// writer has given up waiting for the response.
	lateMargin = 15 * time.Second
	// earlierTime is how long streams that began under earlier shares may be resumed.
	earlierTime = UseTime + minAbsence + lateMargin
)

// Share is the share of the streams that have a software version as their base version, in proportion to the weights of
// all shares.
type Share struct {
	Version string
	Weight  int
}

// EarlierShares are shares that were in force until a time, by the clock of the box that replaced them.
type EarlierShares struct {
	Shares []Share
	Until  time.Time
}

// HashOf returns the hash of a stream by which its base version is chosen. Boxes compute it from the request that
// brought the first event, whichever API key its caller has by then.
func HashOf(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// For returns the base version of a stream that begins now.
func (b *Base) For(stream uint64) string { return choose(b.shares(), stream) }

// IsOnly reports whether a version is the base version of all streams, also of those that began earlier.
func (b *Base) IsOnly(version string) bool {
	return b.Present && len(b.Shares) == 0 && len(b.Earlier) == 0 && b.Version == version
}

// ShareOf returns the part of the streams that have a version as their base version.
func (b *Base) ShareOf(version string) float64 {
	weight, total := 0, 0
	for _, share := range b.shares() {
		total += share.Weight
		if share.Version == version {
			weight += share.Weight
		}
	}
	return float64(weight) / float64(max(total, 1))
}

// ForBegun returns the base version of a stream that began within maxAge before now. certain is false if a box may have
// begun it at another version under earlier shares.
func (b *Base) ForBegun(stream uint64, now time.Time, maxAge time.Duration) (version string, certain bool) {
	version, certain = b.For(stream), true
	oldest := now.Add(-maxAge - UseTime - lateMargin)
	for _, earlier := range b.Earlier {
		if earlier.Until.After(oldest) && choose(earlier.Shares, stream) != version {
			certain = false
		}
	}
	return version, certain
}

// shares returns the shares in force.
func (b *Base) shares() []Share {
	if len(b.Shares) > 0 {
		return b.Shares
	}
	return []Share{{Version: b.Version, Weight: 1}}
}

// choose returns the version of a stream by rendezvous hashing, so that a change of the shares changes the versions of
// as few streams as possible.
func choose(shares []Share, stream uint64) string {
	if len(shares) == 1 {
		return shares[0].Version
	}
	var chosen string
	var highest uint64
	for _, share := range shares {
		for i := range share.Weight {
			input := binary.LittleEndian.AppendUint64(nil, stream)
			input = binary.LittleEndian.AppendUint64(input, uint64(i))
			if score := xxhash.Sum64(append(input, share.Version...)); score >= highest {
				chosen, highest = share.Version, score
			}
		}
	}
	return chosen
}

// isSkewed reports whether a version with servers has a share of the streams that is too large for them.
func isSkewed(shares []Share, listed map[string]int) bool {
	servers, total := 0, 0
	for _, count := range listed {
		servers += count
	}
	for _, share := range shares {
		total += share.Weight
	}
	return slices.ContainsFunc(shares, func(share Share) bool {
		count := listed[share.Version]
		return count > 0 && share.Weight*servers > maxExcess*count*total
	})
}

// sharesOf returns shares by the number of servers.
func sharesOf(listed map[string]int) (shares []Share) {
	servers := 0
	for _, count := range listed {
		servers += count
	}
	for _, version := range slices.Sorted(maps.Keys(listed)) {
		if count := listed[version]; count > 0 {
			shares = append(shares, Share{Version: version, Weight: max((totalWeight*count+servers/2)/servers, 1)})
		}
	}
	return shares
}

// addEarlier adds the shares that b replaces at a time, and drops those under which no stream is resumed any more.
func (b *Base) addEarlier(replaced *Base, at time.Time) {
	b.Earlier = []EarlierShares{{Shares: replaced.shares(), Until: at}}
	for _, earlier := range replaced.Earlier {
		if at.Sub(earlier.Until) < earlierTime {
			b.Earlier = append(b.Earlier, earlier)
		}
	}
}

// versions returns the versions that have a share.
func (b *Base) versions() (versions []string) {
	for _, share := range b.shares() {
		versions = append(versions, share.Version)
	}
	return versions
}

func equalEarlier(a, b []EarlierShares) bool {
	return slices.EqualFunc(a, b, func(x, y EarlierShares) bool { return x.Until.Equal(y.Until) && slices.Equal(x.Shares, y.Shares) })
}
