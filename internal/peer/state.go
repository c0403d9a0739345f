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

// BoxesInZone counts the entry boxes of this box's zone that were heard of
// lately, this one included.
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

// LiveBoxes lists the boxes that were heard of lately and do not leave, this one
// included, in name order.
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

// LimitPosition says where this box stands among those that share the rate limit of a server: those of
// this box's zone, or all.
func (g *Gossiper) LimitPosition(server string, inZone bool) advisory.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	var others []string
	for name, peer := range g.peers {
		live := !peer.status.Leaving && time.Since(peer.receivedAt) < peerTimeout
		if live && (!inZone || peer.status.Zone == g.cfg.Self.Zone) {
			others = append(others, name)
		}
	}
	listed := 0
	for _, box := range g.listed {
		if box.Peer != "" && (!inZone || box.Zone == g.cfg.Self.Zone) {
			listed++
		}
	}
	// In a round a box reaches some of the others, and as many reach it.
	rounds := 1 + len(g.peers)/(2*g.cfg.Fanout)
	return advisory.Position{
		Rank: advisory.Rank(g.cfg.Self.Box, others, server), Present: len(others) + 1, Listed: listed, ReportLag: time.Duration(rounds) * g.cfg.Interval,
	}
}

// FirstInZone reports whether this box is the first by name of the boxes of its
// zone that are believed to be live. Two boxes may both believe it for a while.
func (g *Gossiper) FirstInZone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return false
	}
	for name, peer := range g.peers {
		live := !peer.status.Leaving && time.Since(peer.receivedAt) < peerTimeout
		if live && peer.status.Zone == g.cfg.Self.Zone && name < g.cfg.Self.Box {
			return false
		}
	}
	return true
}
