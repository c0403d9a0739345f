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

// State is the part of a state dump that describes the Gossiper.
type State struct {
	Listed    int        `json:"listed_boxes"`
	Peers     []BoxState `json:"peers"`
	SentBytes int64      `json:"sent_bytes"`
}

// State returns the peers and the bytes sent.
func (g *Gossiper) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := State{Listed: len(g.listed), SentBytes: g.sentBytes}
	for _, peer := range g.peers {
		state.Peers = append(state.Peers, BoxState{Status: peer.status, StatusAge: time.Since(peer.receivedAt).Round(time.Millisecond).String()})
	}
	slices.SortFunc(state.Peers, func(a, b BoxState) int { return cmp.Compare(a.Box, b.Box) })
	return state
}

// BoxesInZone returns the number of live entry boxes in this box's zone, including this
// one.
func (g *Gossiper) BoxesInZone() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 1
	for _, peer := range g.peers {
		if peer.status.Zone == g.cfg.Self.Zone && !peer.status.Leaving && time.Since(peer.receivedAt) < peerTimeout {
			count++
		}
	}
	return count
}

// LiveBoxes returns the sorted names of the boxes that sent a status within peerTimeout
// and are not leaving, including this one.
func (g *Gossiper) LiveBoxes() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	live := []string{}
	if !g.leaving {
		live = append(live, g.cfg.Self.Box)
	}
	for name, peer := range g.peers {
		if !peer.status.Leaving && time.Since(peer.receivedAt) < peerTimeout {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return live
}

// ForwardingBoxes returns the status of the live peers that take forwarded calls.
func (g *Gossiper) ForwardingBoxes() []Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	var boxes []Status
	for _, peer := range g.peers {
		if peer.status.ForwardAddress != "" && !peer.status.Leaving && time.Since(peer.receivedAt) < peerTimeout {
			boxes = append(boxes, peer.status)
		}
	}
	return boxes
}

// LimitPosition returns the position of this box among the live boxes that share the rate limit of a
// server: those of this box's zone, or all boxes.
func (g *Gossiper) LimitPosition(server string, inZone bool) advisory.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	var others []string
	for name, peer := range g.peers {
		isLive := !peer.status.Leaving && time.Since(peer.receivedAt) < peerTimeout
		if isLive && (!inZone || peer.status.Zone == g.cfg.Self.Zone) {
			others = append(others, name)
		}
	}
	listed := 0
	for _, box := range g.listed {
		if box.Peer != "" && (!inZone || box.Zone == g.cfg.Self.Zone) {
			listed++
		}
	}
	// In each round a box contacts Fanout others, and on average Fanout others contact it.
	rounds := 1 + len(g.peers)/(2*g.cfg.Fanout)
	return advisory.Position{
		Rank: advisory.Rank(g.cfg.Self.Box, others, server), Present: len(others) + 1, Listed: listed, ReportLag: time.Duration(rounds) * g.cfg.Interval,
	}
}

// FirstInZone reports whether this box has the lowest name of the live boxes of its zone.
// It is a best-effort leader election: two boxes may both be first for a short time.
func (g *Gossiper) FirstInZone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return false
	}
	for name, peer := range g.peers {
		isLive := !peer.status.Leaving && time.Since(peer.receivedAt) < peerTimeout
		if isLive && peer.status.Zone == g.cfg.Self.Zone && name < g.cfg.Self.Box {
			return false
		}
	}
	return true
}
