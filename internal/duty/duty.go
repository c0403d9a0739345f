// Package duty shares out numbered duties among the entry boxes: each duty is at
// any moment one box's alone.
//
// The group is the platform log's own. A box holds its duties from an answer of
// the log until the lease ends by the box's own steady clock, counted from before
// the question was sent. The log gives a duty to another box only after the holder
// has confirmed its loss, or after its lease has run out counted from when the
// question arrived; so a box stops believing before another can begin to.
package duty

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/sharedlog"
)

// Config sets up a Member.
type Config struct {
	Log sharedlog.Log
	// Name tells this life of this box from all others.
	Name   string
	Logger zerolog.Logger
	// Lease is how long duties are held without a word from the log.
	Lease time.Duration
	// Every is the time between two renewals.
	Every time.Duration
}

// Defaults of Config.
const (
	// DefaultLease is twice the shortest that the platform allows, so that one
	// lost renewal loses nothing.
	DefaultLease = 2 * time.Second
	// DefaultEvery leaves room for two lost renewals in a lease.
	DefaultEvery = 700 * time.Millisecond
)

// leaseMargin is kept from the end of a lease for what is on its way.
const leaseMargin = 250 * time.Millisecond

// callLimit bounds a renewal.
const callLimit = time.Second

// Member is this box's place in the group.
type Member struct {
	cfg Config

	mu         sync.Mutex
	membership sharedlog.Membership
	// heldUntil ends the belief in the membership.
	heldUntil time.Time
	// since is when and in which generation each duty was gained.
	since map[int]Tenure
	lost  bool
}

// Tenure is one unbroken time of holding a duty.
type Tenure struct {
	// Generation of the group in which the duty was gained. It is higher than
	// that of every earlier holder.
	Generation int64
	Since      time.Time
}

// NewMember makes a member that holds nothing.
func NewMember(cfg Config) *Member {
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.Every == 0 {
		cfg.Every = DefaultEvery
	}
	return &Member{cfg: cfg, since: map[int]Tenure{}}
}

// Loop renews the membership until ctx ends, and then gives the duties back.
func (m *Member) Loop(ctx context.Context) {
	ticker := time.NewTicker(m.cfg.Every)
	defer ticker.Stop()
	for {
		m.renew(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			m.leave()
			return
		}
	}
}

func (m *Member) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	m.mu.Lock()
	generation := m.membership.Generation
	m.mu.Unlock()
	sent := time.Now()
	membership, err := m.cfg.Log.Join(ctx, m.cfg.Name, generation, m.cfg.Lease)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		if !m.lost && ctx.Err() == nil {
			m.cfg.Logger.Warn().Str("error", err.Error()).Msg("duties_not_renewed")
		}
		m.lost = true
		return
	}
	m.take(membership, sent)
}

// take notes a membership that was asked for at sent. A lease that ran out before
// breaks every tenure, even if the same duties come back. The caller holds mu.
func (m *Member) take(membership sharedlog.Membership, sent time.Time) {
	broken := time.Now().After(m.heldUntil)
	next := map[int]Tenure{}
	for _, duty := range membership.Duties {
		tenure, held := m.since[duty]
		if !held || broken {
			tenure = Tenure{Generation: membership.Generation, Since: time.Now()}
		}
		next[duty] = tenure
	}
	if !slices.Equal(membership.Duties, m.membership.Duties) || broken {
		m.cfg.Logger.Info().Ints("duties", membership.Duties).Int64("generation", membership.Generation).Msg("duties_held")
	}
	m.since, m.membership, m.lost = next, membership, false
	m.heldUntil = sent.Add(m.cfg.Lease - leaseMargin)
}

// Holds reports whether a duty is this box's now, and since when.
func (m *Member) Holds(duty int) (Tenure, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().After(m.heldUntil) {
		return Tenure{}, false
	}
	tenure, held := m.since[duty]
	return tenure, held
}

// leave gives the duties back, so that others need not wait for the lease.
func (m *Member) leave() {
	m.mu.Lock()
	m.heldUntil = time.Time{}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	if err := m.cfg.Log.Leave(ctx, m.cfg.Name); err != nil {
		m.cfg.Logger.Warn().Str("error", err.Error()).Msg("duties_not_given_back")
	}
}
