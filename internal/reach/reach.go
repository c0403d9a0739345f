// The monitor: it applies what calls observe to the trackers, and probes when a tracker asks for it.

package reach

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Config configures a Monitor.
type Config struct {
	Logger zerolog.Logger
	Scope  tally.Scope
	// Sample returns the addresses of some servers of a service, at random.
	Sample func(service string, count int) []string
	// Probe connects to an address. Its context bounds the time.
	Probe func(ctx context.Context, address string) error
}

const (
	// probedServers is the number of servers that must all fail for a service to be unreachable. Where
	// half of them have failed, one probe in 32 still meets only such servers; the next one follows
	// soon, and calls are forwarded until then.
	probedServers = 5
	// probeTimeout bounds a probe. It is many times the round trip within a region.
	probeTimeout = 150 * time.Millisecond
)

// Monitor tracks which services this box reaches.
type Monitor struct {
	cfg Config

	mu       sync.Mutex
	trackers map[string]*tracker
	// timers holds the timer of the next probe of each service that has one.
	timers map[string]probeTimer
	// stopped is set by Stop; no probe begins after that.
	stopped bool
	probes  sync.WaitGroup
}

// probeTimer is a timer that fires at due.
type probeTimer struct {
	*time.Timer
	due time.Time
}

// New returns a Monitor that considers all services reachable.
func New(cfg Config) *Monitor {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	return &Monitor{cfg: cfg, trackers: map[string]*tracker{}, timers: map[string]probeTimer{}}
}

// Unreachable reports whether this box reaches no server of a service.
func (m *Monitor) Unreachable(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.trackers[service]
	return t != nil && t.unreachable
}

// NoteSent records that a call is sent to a server of a service.
func (m *Monitor) NoteSent(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker(service).noteSent(boottime.Now())
	m.schedule(service)
}

// NoteContact records that a server of a service has responded.
func (m *Monitor) NoteContact(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteContact(service)
}

// NoteFailure records that a connection to a server of a service failed.
func (m *Monitor) NoteFailure(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker(service).noteFailure(boottime.Now())
	m.schedule(service)
}

// Stop ends the probes and waits for them.
func (m *Monitor) Stop() {
	m.mu.Lock()
	m.stopped = true
	for _, timer := range m.timers {
		timer.Stop()
	}
	m.mu.Unlock()
	m.probes.Wait()
}

// tracker returns the tracker of a service. The caller holds mu.
func (m *Monitor) tracker(service string) *tracker {
	t := m.trackers[service]
	if t == nil {
		t = &tracker{}
		m.trackers[service] = t
	}
	return t
}

// noteContact records a contact. The caller holds mu.
func (m *Monitor) noteContact(service string) {
	t := m.tracker(service)
	since := t.unreachableSince
	if !t.noteContact() {
		return
	}
	m.cfg.Logger.Info().Str("service", service).Dur("after", boottime.Since(since)).Msg("service_reachable")
	m.gauge(service, 0)
}

func (m *Monitor) gauge(service string, value float64) {
	m.cfg.Scope.Tagged(map[string]string{"service": service}).Gauge("service_unreachable").Update(value)
}

// schedule sets the timer for the next probe of a service, unless one is set that fires earlier. A timer that
// fires too early, because of a contact in the meantime, is set again. The caller holds mu.
func (m *Monitor) schedule(service string) {
	if m.stopped {
		return
	}
	now := boottime.Now()
	after, isDue := m.tracker(service).probeIn(now)
	if !isDue {
		return
	}
	due := now.Add(max(after, 0))
	if set, ok := m.timers[service]; ok && (!due.Before(set.due) || !set.Stop()) {
		return // a timer that cannot be stopped is firing, and schedules the probe itself
	}
	m.timers[service] = probeTimer{time.AfterFunc(due.Sub(now), func() { m.runTimer(service) }), due}
}

// runTimer probes a service if that is still due.
func (m *Monitor) runTimer(service string) {
	m.mu.Lock()
	delete(m.timers, service)
	t := m.tracker(service)
	after, due := t.probeIn(boottime.Now())
	if m.stopped || !due || after > 0 {
		m.schedule(service)
		m.mu.Unlock()
		return
	}
	t.beginProbe()
	m.probes.Add(1)
	m.mu.Unlock()
	defer m.probes.Done()
	reached := m.probe(service)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteProbe(service, reached)
	m.schedule(service)
}

// noteProbe records the result of a probe. The caller holds mu.
func (m *Monitor) noteProbe(service string, reached bool) {
	t := m.tracker(service)
	if reached {
		t.endProbe(boottime.Now())
		m.noteContact(service)
		return
	}
	if t.noteFailedProbe(boottime.Now()) {
		m.cfg.Logger.Warn().Str("service", service).Msg("service_unreachable")
		m.gauge(service, 1)
	}
}

// probe connects to servers of a service, and reports whether one accepts. Most probes follow a slow
// response and not a partition, so the first server is probed alone, and the others only if it fails.
func (m *Monitor) probe(service string) bool {
	addresses := m.cfg.Sample(service, probedServers)
	if len(addresses) == 0 {
		return true // without servers there is nothing to reach
	}
	if m.probeOne(addresses[0]) {
		return true
	}
	results := make(chan bool, len(addresses))
	for _, address := range addresses[1:] {
		go func() { results <- m.probeOne(address) }()
	}
	reached := false
	for range addresses[1:] {
		reached = <-results || reached
	}
	return reached
}

func (m *Monitor) probeOne(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return m.cfg.Probe(ctx, address) == nil
}
