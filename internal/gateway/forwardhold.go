// The place of a call at another box, which the stages after placement use like a place at a server.

package gateway

import (
	"time"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/peerpath"
)

// hold is a call's place at a server, or at a box that it is forwarded to.
type hold interface {
	Server() fleet.Server
	MayHandOver() bool
	NoteEvent()
	Done(outcome fleet.Outcome)
	Weights() int
	Cold() bool
	Limited() bool
	Brittle() bool
	DelistedFor() time.Duration
	ExpectedFirstEvent() time.Duration
	Overdue() time.Duration
	IsResponsive() bool
}

// peerHold is a call's place at another box.
type peerHold struct {
	paths   *peerpath.Paths
	box     peerpath.Box
	service string
	// ended replaces the outcome of Done, where the other box has stated one.
	ended peerpath.Outcome
}

// peerPrefix distinguishes the names of boxes from those of servers.
const peerPrefix = "box/"

func (h *peerHold) Server() fleet.Server {
	return fleet.Server{Incarnation: peerPrefix + h.box.Name, Service: h.service, Address: h.box.Address, Zone: h.box.Zone}
}

func (h *peerHold) Done(outcome fleet.Outcome) {
	switch {
	case h.ended != 0:
		h.paths.Done(h.box.Name, h.service, h.ended)
	case outcome == fleet.OutcomeUnreachable:
		h.paths.Done(h.box.Name, h.service, peerpath.Unconnected)
	case outcome == fleet.OutcomeAbandoned:
		h.paths.Done(h.box.Name, h.service, peerpath.Abandoned)
	default:
		h.paths.Done(h.box.Name, h.service, peerpath.Served)
	}
}

func (h *peerHold) MayHandOver() bool                 { return true }
func (h *peerHold) NoteEvent()                        {}
func (h *peerHold) Weights() int                      { return 0 }
func (h *peerHold) Cold() bool                        { return false }
func (h *peerHold) Limited() bool                     { return false }
func (h *peerHold) Brittle() bool                     { return false }
func (h *peerHold) DelistedFor() time.Duration        { return 0 }
func (h *peerHold) ExpectedFirstEvent() time.Duration { return 0 }
func (h *peerHold) Overdue() time.Duration            { return 0 }
func (h *peerHold) IsResponsive() bool                { return true }

// peer returns the box that the attempt forwards the call to, or nil if it goes to a server.
func (a *attempt) peer() *peerHold {
	forwarded, _ := a.chosen.hold.(*peerHold)
	return forwarded
}
