package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boxlist"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/connlimit"
	"github.com/cometlock/cometlock/internal/follow"
)

// ConfigSource provides the current configuration, and accepts newer ones from peers.
type ConfigSource interface {
	// State returns the current configuration.
	State() configlog.State
	// Since returns the changes since a version, and false if some are missing.
	Since(version int64) ([]follow.Change, bool)
	// Offer and OfferChanges pass on the configuration or changes from a peer.
	// OfferChanges returns false if the changes could not be applied.
	Offer(state configlog.State)
	OfferChanges(changes []follow.Change) bool
	// LogReachable reports whether the log responds.
	LogReachable() bool
}

// Config configures a Gossiper.
type Config struct {
	// Self is the status of this box. Its version is set for each message.
	Self Status
	// Address is the address at which peers reach this box.
	Address string
	// Seeds are addresses of peers from the settings.
	Seeds []string
	// BoxList is the platform's list of entry boxes.
	BoxList boxlist.List
	// OnBoxList is called with the list each time it has been read.
	OnBoxList func([]boxlist.Box)
	// Source provides the current configuration.
	Source ConfigSource
	// AdvisoryReports returns the advisories that this box received from backend servers, and
	// ApplyAdvisoryReports applies those that another box received; both may be nil.
	AdvisoryReports      func() map[string]*advisory.Report
	ApplyAdvisoryReports func(map[string]*advisory.Report)
	Logger               zerolog.Logger
	// Interval is the time between two rounds, Fanout the number of peers per round.
	Interval time.Duration
	Fanout   int
	// Limiter bounds the connections that other boxes open; nil means no bound.
	Limiter *connlimit.Limiter
	// ServerTLS and ClientTLS, if set, enable TLS. ClientTLS is called for each dial,
	// since the certificate files may have changed.
	ServerTLS *tls.Config
	ClientTLS func() *tls.Config
}

// Defaults of Config.
const (
	DefaultInterval = time.Second
	DefaultFanout   = 3
)

// Timeouts and intervals.
const (
	// ioTimeout is the timeout of one exchange of messages.
	ioTimeout = 2 * time.Second
	// logGracePeriod is how long a box that can reach the log waits to receive a newer
	// version from the log before it requests the version from a peer.
	logGracePeriod = 1500 * time.Millisecond
	// peerTimeout is how long a peer counts as live after its last status.
	peerTimeout = 10 * time.Second
	// listInterval is the time between two reads of the platform's list.
	listInterval = 5 * time.Second
)

// Gossiper exchanges status and configuration with the other entry boxes.
type Gossiper struct {
	cfg Config

	mu          sync.Mutex
	leaving     bool
	listed      []boxlist.Box
	peers       map[string]*peerInfo // by box name
	behindSince time.Time
	sentBytes   int64
	connections map[string]*connection
}

// peerInfo is the last status of a peer.
type peerInfo struct {
	status     Status
	receivedAt time.Time
}

// New creates a Gossiper without peers.
func New(cfg Config) *Gossiper {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Fanout == 0 {
		cfg.Fanout = DefaultFanout
	}
	return &Gossiper{cfg: cfg, peers: map[string]*peerInfo{}, connections: map[string]*connection{}}
}

// SetLeaving marks this box as leaving in the status that it sends.
func (g *Gossiper) SetLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

func (g *Gossiper) selfStatus() Status {
	status := g.cfg.Self
	status.Version = g.cfg.Source.State().Version
	if g.cfg.AdvisoryReports != nil {
		status.AdvisoryReports = g.cfg.AdvisoryReports()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	status.Leaving = g.leaving
	return status
}

// Loop exchanges messages with peers until ctx is cancelled.
func (g *Gossiper) Loop(ctx context.Context) {
	ticker := time.NewTicker(g.cfg.Interval)
	defer ticker.Stop()
	var listReadAt time.Time
	for {
		if time.Since(listReadAt) >= listInterval || g.hasNoPeers() {
			listReadAt = time.Now()
			g.readBoxList(ctx)
		}
		g.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			g.closeConnections()
			return
		}
	}
}

// hasNoPeers reports whether no peer has sent a status yet. The platform's list lags, so
// a box without peers reads it in every round.
func (g *Gossiper) hasNoPeers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.peers) == 0
}

// readBoxList reads the platform's list. If that fails, the previous list stays in use.
func (g *Gossiper) readBoxList(ctx context.Context) {
	boxes, err := g.cfg.BoxList.Boxes(ctx)
	if err != nil {
		g.cfg.Logger.Warn().Str("error", err.Error()).Msg("box_list_lost")
		return
	}
	if g.cfg.OnBoxList != nil {
		g.cfg.OnBoxList(boxes)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed = boxes
	g.removeStale(time.Now())
}

// peerRetention is how long the record of a peer is retained after its last status. Boxes
// are replaced hundreds of times a day, by boxes with other names.
const peerRetention = 10 * time.Minute

// removeStale removes peers that have sent no status for peerRetention, and connections
// to addresses that are neither seeds nor on the platform's list. The caller holds mu.
func (g *Gossiper) removeStale(now time.Time) {
	for name, peer := range g.peers {
		if now.Sub(peer.receivedAt) > peerRetention {
			delete(g.peers, name)
		}
	}
	for address, c := range g.connections {
		inUse := slices.Contains(g.cfg.Seeds, address) ||
			slices.ContainsFunc(g.listed, func(box boxlist.Box) bool { return box.Peer == address })
		if !inUse && c.mu.TryLock() {
			c.close()
			delete(g.connections, address)
			c.mu.Unlock()
		}
	}
}

// round exchanges messages with a few peers. They are chosen at random in each round, so
// that an update spreads to all boxes within a few rounds despite unreachable boxes.
func (g *Gossiper) round(ctx context.Context) {
	var group sync.WaitGroup
	for _, address := range g.choose() {
		group.Go(func() { g.exchange(ctx, address) })
	}
	group.Wait()
}

func (g *Gossiper) choose() []string {
	candidates := g.addresses()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(g.cfg.Fanout, len(candidates))]
}

// addresses returns the addresses of possible peers, from the platform's list and the
// seeds.
func (g *Gossiper) addresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, box := range g.listed {
		if box.Peer != "" && box.Peer != g.cfg.Address && box.Name != g.cfg.Self.Box {
			addresses = append(addresses, box.Peer)
		}
	}
	for _, seed := range g.cfg.Seeds {
		if seed != g.cfg.Address && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// exchange sends this box's status to one peer, and applies its reply.
func (g *Gossiper) exchange(ctx context.Context, address string) {
	reply, err := g.call(ctx, address, Message{Status: g.selfStatus(), WantsConfig: g.shouldRequestConfig()})
	if err != nil {
		return // the peer may be down; other rounds choose other peers
	}
	g.handleStatus(reply.Status)
	g.applyConfig(reply)
	if reply.WantsConfig {
		// The peer has an older version and requests the changes.
		message := Message{Status: g.selfStatus()}
		g.addConfig(&message, reply.Status.Version)
		_, _ = g.call(ctx, address, message)
	}
}

// shouldRequestConfig reports whether this box should request the configuration from
// peers: it cannot reach the log, or a peer has had a newer version for logGracePeriod.
func (g *Gossiper) shouldRequestConfig() bool {
	if !g.cfg.Source.LogReachable() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.behindSince.IsZero() && time.Since(g.behindSince) >= logGracePeriod
}

// handleStatus records the status of a peer.
func (g *Gossiper) handleStatus(status Status) {
	if g.cfg.ApplyAdvisoryReports != nil && status.Box != g.cfg.Self.Box {
		g.cfg.ApplyAdvisoryReports(status.AdvisoryReports)
	}
	version := g.cfg.Source.State().Version
	g.mu.Lock()
	defer g.mu.Unlock()
	if status.Box == g.cfg.Self.Box || status.Box == "" {
		return
	}
	g.peers[status.Box] = &peerInfo{status: status, receivedAt: time.Now()}
	switch {
	case status.Version <= version:
		if !g.hasNewerPeer(version) {
			g.behindSince = time.Time{}
		}
	case g.behindSince.IsZero():
		g.behindSince = time.Now()
	}
}

func (g *Gossiper) hasNewerPeer(version int64) bool {
	for _, peer := range g.peers {
		if peer.status.Version > version {
			return true
		}
	}
	return false
}

// addConfig adds the changes since a version to a message, or the complete configuration
// if some of the changes are missing.
func (g *Gossiper) addConfig(message *Message, version int64) {
	state := g.cfg.Source.State()
	if state.Version <= version {
		return
	}
	if changes, ok := g.cfg.Source.Since(version); ok {
		message.Changes = changes
		return
	}
	message.State = &state
}

func (g *Gossiper) applyConfig(message Message) {
	if len(message.Changes) > 0 && g.cfg.Source.OfferChanges(message.Changes) {
		return
	}
	if message.State != nil {
		g.cfg.Source.Offer(*message.State)
	}
}

func (g *Gossiper) countSent(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sentBytes += int64(n)
}
