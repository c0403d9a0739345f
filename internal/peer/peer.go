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
	patience = 1500 * time.Millisecond
	// forgetAfter is how long a peer that is not heard of is counted.
	forgetAfter = 10 * time.Second
	// listEvery is the time between two looks at the platform's list.
	listEvery = 5 * time.Second
)

// Gossiper talks to the other entry boxes.
type Gossiper struct {
	cfg Config

	mu          sync.Mutex
	leaving     bool
	listed      []boxlist.Box
	peers       map[string]*known // by box name
	behindSince time.Time
	sentBytes   int64
	connections map[string]*connection
}

// known is a peer that was heard of.
type known struct {
	status  Status
	heardAt time.Time
}

// New makes an exchange that knows no peers.
func New(cfg Config) *Gossiper {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Fanout == 0 {
		cfg.Fanout = DefaultFanout
	}
	return &Gossiper{cfg: cfg, peers: map[string]*known{}, connections: map[string]*connection{}}
}

// SetLeaving tells peers from now on that this box is about to stop.
func (x *Gossiper) SetLeaving() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leaving = true
}

func (x *Gossiper) self() Status {
	status := x.cfg.Self
	status.Version = x.cfg.Source.State().Version
	if x.cfg.AdvisoryReports != nil {
		status.AdvisoryReports = x.cfg.AdvisoryReports()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	status.Leaving = x.leaving
	return status
}

// Loop exchanges with peers until ctx ends.
func (x *Gossiper) Loop(ctx context.Context) {
	ticker := time.NewTicker(x.cfg.Interval)
	defer ticker.Stop()
	var lookedAt time.Time
	for {
		if time.Since(lookedAt) >= listEvery || x.alone() {
			lookedAt = time.Now()
			x.look(ctx)
		}
		x.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			x.closeConnections()
			return
		}
	}
}

// alone reports whether no peer has been heard of yet. The list lags, so a box
// that starts into an empty one looks again in every round.
func (x *Gossiper) alone() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.peers) == 0
}

// look reads the platform's list. A list that cannot be read leaves the last.
func (x *Gossiper) look(ctx context.Context) {
	boxes, err := x.cfg.BoxList.Boxes(ctx)
	if err != nil {
		x.cfg.Logger.Warn().Str("error", err.Error()).Msg("box_list_lost")
		return
	}
	if x.cfg.OnBoxList != nil {
		x.cfg.OnBoxList(boxes)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.listed = boxes
	x.dropGone(time.Now())
}

// dropAfter is how long a peer that is not heard of is remembered at all. Boxes
// are replaced hundreds of times a day, under other names.
const dropAfter = 10 * time.Minute

// dropGone forgets peers that are long gone, and connections to addresses that
// nobody names any more. The caller holds mu.
func (x *Gossiper) dropGone(now time.Time) {
	for name, peer := range x.peers {
		if now.Sub(peer.heardAt) > dropAfter {
			delete(x.peers, name)
		}
	}
	for address, c := range x.connections {
		named := slices.Contains(x.cfg.Seeds, address) ||
			slices.ContainsFunc(x.listed, func(box boxlist.Box) bool { return box.Peer == address })
		if !named && c.mu.TryLock() {
			c.close()
			delete(x.connections, address)
			c.mu.Unlock()
		}
	}
}

// round exchanges with a few peers, chosen anew each time, so that what one box
// knows reaches all within a few rounds whatever is cut off.
func (x *Gossiper) round(ctx context.Context) {
	var ended sync.WaitGroup
	for _, address := range x.choose() {
		ended.Go(func() { x.exchange(ctx, address) })
	}
	ended.Wait()
}

func (x *Gossiper) choose() []string {
	candidates := x.addresses()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(x.cfg.Fanout, len(candidates))]
}

// addresses lists where peers may be: the platform's list and the seeds.
func (x *Gossiper) addresses() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var addresses []string
	for _, box := range x.listed {
		if box.Peer != "" && box.Peer != x.cfg.Address && box.Name != x.cfg.Self.Box {
			addresses = append(addresses, box.Peer)
		}
	}
	for _, seed := range x.cfg.Seeds {
		if seed != x.cfg.Address && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// exchange tells one peer this box's status and takes over what it knows.
func (x *Gossiper) exchange(ctx context.Context, address string) {
	answer, err := x.call(ctx, address, Message{Status: x.self(), WantsConfig: x.wants()})
	if err != nil {
		return // the peer may be gone; another round asks others
	}
	x.heard(answer.Status)
	x.takeContent(answer)
	if answer.WantsConfig {
		// The peer is behind and wants what leads on from its version.
		message := Message{Status: x.self()}
		x.addContent(&message, answer.Status.Version)
		_, _ = x.call(ctx, address, message)
	}
}

// wants reports whether this box should ask for content: it has no log, or has
// been behind for longer than the log takes.
func (x *Gossiper) wants() bool {
	if !x.cfg.Source.LogReachable() {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.behindSince.IsZero() && time.Since(x.behindSince) >= patience
}

func (x *Gossiper) heard(status Status) {
	if x.cfg.ApplyAdvisoryReports != nil && status.Box != x.cfg.Self.Box {
		x.cfg.ApplyAdvisoryReports(status.AdvisoryReports)
	}
	version := x.cfg.Source.State().Version
	x.mu.Lock()
	defer x.mu.Unlock()
	if status.Box == x.cfg.Self.Box || status.Box == "" {
		return
	}
	x.peers[status.Box] = &known{status: status, heardAt: time.Now()}
	switch {
	case status.Version <= version:
		if !x.anyAhead(version) {
			x.behindSince = time.Time{}
		}
	case x.behindSince.IsZero():
		x.behindSince = time.Now()
	}
}

func (x *Gossiper) anyAhead(version int64) bool {
	for _, peer := range x.peers {
		if peer.status.Version > version {
			return true
		}
	}
	return false
}

// addContent adds what leads on from a version: the changes when all are known,
// or else everything.
func (x *Gossiper) addContent(message *Message, version int64) {
	state := x.cfg.Source.State()
	if state.Version <= version {
		return
	}
	if changes, ok := x.cfg.Source.Since(version); ok {
		message.Changes = changes
		return
	}
	message.State = &state
}

func (x *Gossiper) takeContent(message Message) {
	if len(message.Changes) > 0 && x.cfg.Source.OfferChanges(message.Changes) {
		return
	}
	if message.State != nil {
		x.cfg.Source.Offer(*message.State)
	}
}

func (x *Gossiper) countSent(n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sentBytes += int64(n)
}
