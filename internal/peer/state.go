package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
)

// BoxState is the part of a state dump that describes one peer.
type BoxState struct {
	Status
	StatusAge string `json:"heard_ago"`
}

// State is the part of a state dump that describes the exchange.
type State struct {
	Listed    int        `json:"listed_boxes"`
	Peers     []BoxState `json:"peers"`
	SentBytes int64      `json:"sent_bytes"`
}

// State describes what is known of the peers.
func (x *Gossiper) State() State {
	x.mu.Lock()
	defer x.mu.Unlock()
	state := State{Listed: len(x.listed), SentBytes: x.sentBytes}
	for _, peer := range x.peers {
		state.Peers = append(state.Peers, BoxState{Status: peer.status, StatusAge: time.Since(peer.heardAt).Round(time.Millisecond).String()})
	}
	slices.SortFunc(state.Peers, func(a, b BoxState) int { return cmp.Compare(a.Box, b.Box) })
	return state
}

// BoxesInZone counts the entry boxes of this box's zone that were heard of
// lately, this one included.
func (x *Gossiper) BoxesInZone() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	count := 1
	for _, peer := range x.peers {
		if peer.status.Zone == x.cfg.Self.Zone && !peer.status.Leaving && time.Since(peer.heardAt) < forgetAfter {
			count++
		}
	}
	return count
}

// LiveBoxes lists the boxes that were heard of lately and do not leave, this one
// included, in name order.
func (x *Gossiper) LiveBoxes() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	live := []string{}
	if !x.leaving {
		live = append(live, x.cfg.Self.Box)
	}
	for name, peer := range x.peers {
		if !peer.status.Leaving && time.Since(peer.heardAt) < forgetAfter {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return live
}

// LimitPosition says where this box stands among those that share the rate limit of a server: those of
// this box's zone, or all.
func (x *Gossiper) LimitPosition(server string, inZone bool) advisory.Position {
	x.mu.Lock()
	defer x.mu.Unlock()
	var others []string
	for name, peer := range x.peers {
		live := !peer.status.Leaving && time.Since(peer.heardAt) < forgetAfter
		if live && (!inZone || peer.status.Zone == x.cfg.Self.Zone) {
			others = append(others, name)
		}
	}
	listed := 0
	for _, box := range x.listed {
		if box.Peer != "" && (!inZone || box.Zone == x.cfg.Self.Zone) {
			listed++
		}
	}
	// In a round a box reaches some of the others, and as many reach it.
	rounds := 1 + len(x.peers)/(2*x.cfg.Fanout)
	return advisory.Position{
		Rank: advisory.Rank(x.cfg.Self.Box, others, server), Present: len(others) + 1, Listed: listed, ReportLag: time.Duration(rounds) * x.cfg.Interval,
	}
}

// FirstInZone reports whether this box is the first by name of the boxes of its
// zone that are believed to be live. Two boxes may both believe it for a while.
func (x *Gossiper) FirstInZone() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.leaving {
		return false
	}
	for name, peer := range x.peers {
		live := !peer.status.Leaving && time.Since(peer.heardAt) < forgetAfter
		if live && peer.status.Zone == x.cfg.Self.Zone && name < x.cfg.Self.Box {
			return false
		}
	}
	return true
}
