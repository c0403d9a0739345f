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
	"github.com/cometlock/cometlock/internal/follow"
)

// ConfigSource is what peers are told about: the configuration in force.
type ConfigSource interface {
	// State gives the configuration in force.
	State() configlog.State
	// Since gives the changes that lead on from a version.
	Since(version int64) ([]follow.Change, bool)
	// Offer and OfferChanges hand over what a peer knows.
	Offer(state configlog.State)
	OfferChanges(changes []follow.Change) bool
	// LogReachable reports whether the log answers.
	LogReachable() bool
}

// Config sets up an Exchange.
type Config struct {
	// Self describes this box; its version is filled in.
	Self Status
	// Address is where this box listens for peers, as others reach it.
	Address string
	// Seeds are addresses of peers from the settings.
	Seeds []string
	// BoxList is the platform's list.
	BoxList boxlist.List
	// OnBoxList is told of each reading of the list.
	OnBoxList func([]boxlist.Box)
	// Source is the configuration in force.
	Source ConfigSource
	// AdvisoryReports gives what backend servers said of themselves in answers to this box, and ApplyAdvisoryReports
	// takes over what they said to another one; both may be nil.
	AdvisoryReports      func() map[string]*advisory.Report
	ApplyAdvisoryReports func(map[string]*advisory.Report)
	Logger               zerolog.Logger
	// Interval is the time between two rounds; Fanout the peers of a round.
	Interval time.Duration
	Fanout   int
	// ServerTLS and ClientTLS, when set, secure the connections; ClientTLS is
	// asked at each dial, since files may have changed.
	ServerTLS *tls.Config
	ClientTLS func() *tls.Config
}

// Defaults of Config.
const (
	DefaultInterval = time.Second
	DefaultFanout   = 3
)

// Timing of the exchange.
const (
	// ioTimeout bounds one exchange.
	ioTimeout = 2 * time.Second
	// patience is how long a box that reaches the log waits for it before it
	// asks a peer for a version it has heard of.
	logGracePeriod = 1500 * time.Millisecond
	// forgetAfter is how long a peer that is not heard of is counted.
	peerTimeout = 10 * time.Second
	// listEvery is the time between two looks at the platform's list.
	listInterval = 5 * time.Second
)

// Gossiper talks to the other entry boxes.
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

// known is a peer that was heard of.
type peerInfo struct {
	status     Status
	receivedAt time.Time
}

// New makes an exchange that knows no peers.
func New(cfg Config) *Gossiper {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Fanout == 0 {
		cfg.Fanout = DefaultFanout
	}
	return &Gossiper{cfg: cfg, peers: map[string]*peerInfo{}, connections: map[string]*connection{}}
}

// SetLeaving tells peers from now on that this box is about to stop.
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

// Loop exchanges with peers until ctx ends.
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

// alone reports whether no peer has been heard of yet. The list lags, so a box
// that starts into an empty one looks again in every round.
func (g *Gossiper) hasNoPeers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.peers) == 0
}

// look reads the platform's list. A list that cannot be read leaves the last.
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

// dropAfter is how long a peer that is not heard of is remembered at all. Boxes
// are replaced hundreds of times a day, under other names.
const peerRetention = 10 * time.Minute

// dropGone forgets peers that are long gone, and connections to addresses that
// nobody names any more. The caller holds mu.
func (g *Gossiper) removeStale(now time.Time) {
	for name, peer := range g.peers {
		if now.Sub(peer.receivedAt) > peerRetention {
			delete(g.peers, name)
		}
	}
	for address, c := range g.connections {
		named := slices.Contains(g.cfg.Seeds, address) ||
			slices.ContainsFunc(g.listed, func(box boxlist.Box) bool { return box.Peer == address })
		if !named && c.mu.TryLock() {
			c.close()
			delete(g.connections, address)
			c.mu.Unlock()
		}
	}
}

// round exchanges with a few peers, chosen anew each time, so that what one box
// knows reaches all within a few rounds whatever is cut off.
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

// addresses lists where peers may be: the platform's list and the seeds.
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

// exchange tells one peer this box's status and takes over what it knows.
func (g *Gossiper) exchange(ctx context.Context, address string) {
	answer, err := g.call(ctx, address, Message{Status: g.selfStatus(), WantsConfig: g.shouldRequestConfig()})
	if err != nil {
		return // the peer may be gone; another round asks others
	}
	g.handleStatus(answer.Status)
	g.applyConfig(answer)
	if answer.WantsConfig {
		// The peer is behind and wants what leads on from its version.
		message := Message{Status: g.selfStatus()}
		g.addConfig(&message, answer.Status.Version)
		_, _ = g.call(ctx, address, message)
	}
}

// wants reports whether this box should ask for content: it has no log, or has
// been behind for longer than the log takes.
func (g *Gossiper) shouldRequestConfig() bool {
	if !g.cfg.Source.LogReachable() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.behindSince.IsZero() && time.Since(g.behindSince) >= logGracePeriod
}

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

// addContent adds what leads on from a version: the changes when all are known,
// or else everything.
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
