// Fair shares between organisations: the box's ledger, what it records and what it reports.

package entrybox

import (
	"strconv"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fairshare"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/places"
)

// shares connects the ledger with the parts of the box. It records the calls that this box places or
// grants; those that other owners grant are in their reports.
type shares struct {
	ledger *fairshare.Ledger
	fleet  *fleet.Fleet
}

// newShares returns the shares of a box; nil if they are switched off.
func newShares(switches mechanism.Switches, servers *fleet.Fleet) *shares {
	if !switches.Enabled(mechanism.FairShares) {
		return nil
	}
	return &shares{ledger: fairshare.New(), fleet: servers}
}

func (s *shares) excess(service, organisation string) float64 {
	return s.ledger.Excess(service, organisation, boottime.Now())
}

func (s *shares) admitted(call fairshare.Call) {
	s.ledger.Charge(call.Service, call.Organisation, call.Cost(s.fleet.Slots(call.Service)), boottime.Now())
}

func (s *shares) queued(call fairshare.Call) {
	s.ledger.Wait(call.Service, call.Organisation, call.Cost(s.fleet.Slots(call.Service)), boottime.Now())
}

func (s *shares) merge(box string, uses []fairshare.ServiceReport) {
	s.ledger.Merge(box, uses, boottime.Now())
}

// requested describes a call for which a box requests a place.
func requested(request places.Request) fairshare.Call {
	return fairshare.Call{Service: request.Service, Organisation: request.Organisation, Tokens: request.Tokens, Memory: request.Memory}
}

// usesForPeers returns the uses to report to other boxes: those of this box if it grants places.
func (b *Box) usesForPeers() []fairshare.ServiceReport {
	if !b.places.GrantsPlaces() {
		return nil
	}
	return b.shares.ledger.Report(boottime.Now())
}

// maxShareRanks bounds the organisations of a service with gauges. Gauges of organisations by name would
// add up to one for each organisation that was ever among the largest.
const maxShareRanks = 8

// updateShareGauges updates the gauges of the largest organisations of each service, by rank.
func (b *Box) updateShareGauges() {
	if b.shares == nil {
		return
	}
	for service, largest := range b.shares.ledger.Largest(maxShareRanks, boottime.Now()) {
		for rank := range maxShareRanks {
			use := fairshare.Use{}
			if rank < len(largest) {
				use = largest[rank]
			}
			tagged := b.metrics.Scope().Tagged(map[string]string{"service": service, "rank": strconv.Itoa(rank + 1)})
			tagged.Gauge("organisation_use").Update(use.Use)
			tagged.Gauge("organisation_share").Update(use.Share)
		}
	}
}
