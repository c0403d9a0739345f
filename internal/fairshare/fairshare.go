// Package fairshare records how much of a service's capacity the calls of each organisation use, and
// determines which organisations use more than their fair share. It starts no goroutine and has no
// clock; callers pass the time.
//
// The load that it answers: for some seconds there are more calls than the runners can serve, and one
// organisation sends most of them. Without shares, calls are refused at the same rate for all, so
// that organisations whose own load is unchanged lose half of their calls.
//
// Use is the cost of admitted calls, in seconds of a whole runner, and decays with useTime. Refused
// calls are no use, so nothing is gained or lost by retries. The demand of an organisation is its use
// and the cost of its calls that had to wait without being admitted. Shares are max-min fair with
// equal weights: the use of all organisations, which is what the capacity allows, is distributed by
// water-filling over their demands. So an organisation is above its share only while others want more
// than they get, and one that wants little is within its share however much the others want.
//
// Shares are hints for the order of waiting calls. If the ledger is lost, all shares start equal and
// are right again within seconds. A lost report of another zone expires; each zone is then fair by
// itself.
package fairshare

import (
	"cmp"
	"container/list"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// useTime is the time constant of recorded use and demand. A call takes its slot for about two
	// seconds, and bursts last for some seconds.
	useTime = 3 * time.Second
	// waitTime is how long after its last wait an organisation counts as waiting. No call waits for
	// longer than a second.
	waitTime = time.Second
	// waitDemand is the least demand of an organisation that counts as waiting, as a multiple of its
	// use. Without it, one above its share would be within it whenever all waiting calls of the others
	// have been admitted, and the next of those would wait behind its calls.
	waitDemand = 1.05
	// maxAccounts bounds the organisations, counted for each service.
	maxAccounts = 10_000
	// levelTTL is how long a computed level is reused, and levelTTLPerAccount the same for each
	// organisation if there are many: with 10,000 it takes two milliseconds to compute, and
	// is reused for a tenth of a second. A level changes by some percent in that time.
	levelTTL           = 10 * time.Millisecond
	levelTTLPerAccount = 10 * time.Microsecond
	// rounding is the relative rounding error up to which a use counts as equal to the level.
	rounding = 1e-6
)

// Ledger records the use and demand of organisations, by service.
type Ledger struct {
	mu       sync.Mutex
	services map[string]*service
	// recent lists the accounts of all services, the most recently active first.
	recent *list.List
	// reports holds the use that other boxes reported, by box.
	reports map[string]report
}

// service has the accounts of one service.
type service struct {
	accounts map[string]*account
	// waitedAt is when a call of any organisation last had to wait.
	waitedAt time.Time
	level    level
}

// account is the use and demand of an organisation in a service.
type account struct {
	service, organisation string
	key                   uint64
	// use is the cost of admitted calls, and unmet that of calls that had to wait and have not been
	// admitted.
	use, unmet decaying
	waitedAt   time.Time
	// element is the account's place in Ledger.recent.
	element *list.Element
}

// level is the result of water-filling over the demands in a service.
type level struct {
	// value is the use above which an organisation is above its share; infinite if there is none.
	value float64
	// at is when it was computed, and waiting is whether someone waited then.
	at      time.Time
	waiting bool
	// reported is the use in other zones, by key of the organisation.
	reported map[uint64]float64
}

// New creates an empty ledger.
func New() *Ledger {
	return &Ledger{services: map[string]*service{}, recent: list.New(), reports: map[string]report{}}
}

// Charge records that a call was admitted. The cost is in seconds of a whole runner.
func (l *Ledger) Charge(service, organisation string, cost float64, now time.Time) {
	if !isCost(cost) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.activate(service, organisation)
	account.use.add(cost, now)
	account.unmet.add(-min(cost, account.unmet.valueAt(now)), now)
}

// Wait records that a call was not admitted at once: it waits, or was refused.
func (l *Ledger) Wait(service, organisation string, cost float64, now time.Time) {
	if !isCost(cost) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.activate(service, organisation)
	if now.Sub(account.waitedAt) > waitTime {
		account.unmet = decaying{}
	}
	account.unmet.add(cost, now)
	account.waitedAt = now
	l.services[service].waitedAt = now
}

func isCost(cost float64) bool { return cost > 0 && !math.IsInf(cost, 1) }

// Excess returns an organisation's use as a multiple of the largest use that is within its share. It
// is 1 or less within the share, and 0 while no call waits.
func (l *Ledger) Excess(service, organisation string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.services[service]
	if found == nil || !found.someoneWaits(now) {
		return 0
	}
	l.updateLevel(service, found, now)
	use := found.level.reported[keyOf(organisation)]
	if account := found.accounts[organisation]; account != nil {
		use += account.use.valueAt(now)
	}
	return found.level.excess(use)
}

// Use is the use and the share of an organisation, in seconds of a whole runner.
type Use struct {
	Organisation string
	Use, Share   float64
}

// Largest returns the organisations of each service that use most of it, at most count of each, the
// largest first. Only organisations with calls at this box are among them.
func (l *Ledger) Largest(count int, now time.Time) map[string][]Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	largest := make(map[string][]Use, len(l.services))
	for name, service := range l.services {
		l.updateLevel(name, service, now)
		uses := make([]Use, 0, len(service.accounts))
		for _, account := range service.accounts {
			use := account.use.valueAt(now) + service.level.reported[account.key]
			uses = append(uses, Use{account.organisation, use, min(account.demandAt(use, now), service.level.value)})
		}
		slices.SortFunc(uses, func(a, b Use) int {
			return cmp.Or(cmp.Compare(b.Use, a.Use), cmp.Compare(a.Organisation, b.Organisation))
		})
		largest[name] = uses[:min(len(uses), count)]
	}
	return largest
}

// Len returns the number of accounts.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recent.Len()
}

// activate returns the account of an organisation as the most recently active one. The caller holds
// mu.
func (l *Ledger) activate(name, organisation string) *account {
	found := l.services[name]
	if found == nil {
		found = &service{accounts: map[string]*account{}}
		l.services[name] = found
	}
	if existing := found.accounts[organisation]; existing != nil {
		l.recent.MoveToFront(existing.element)
		return existing
	}
	if l.recent.Len() >= maxAccounts {
		l.evict()
	}
	created := &account{service: name, organisation: organisation, key: keyOf(organisation)}
	created.element = l.recent.PushFront(created)
	l.services[name] = found // it may have been evicted with its last account
	found.accounts[organisation] = created
	return created
}

// evict removes the least recently active account. The caller holds mu.
func (l *Ledger) evict() {
	oldest := l.recent.Remove(l.recent.Back()).(*account)
	accounts := l.services[oldest.service].accounts
	delete(accounts, oldest.organisation)
	if len(accounts) == 0 {
		delete(l.services, oldest.service)
	}
}

// updateLevel computes the level of a service again if it is outdated. One that was computed while
// no call waited is outdated once someone waits. The caller holds mu.
func (l *Ledger) updateLevel(name string, s *service, now time.Time) {
	waiting := s.someoneWaits(now)
	ttl := max(levelTTL, time.Duration(len(s.accounts))*levelTTLPerAccount)
	if now.Sub(s.level.at) < ttl && s.level.waiting == waiting {
		return
	}
	s.level = level{at: now, waiting: waiting, reported: l.reportedUse(name, now)}
	s.level.value = math.Inf(1)
	if waiting {
		s.level.value = waterLevel(s.demands(now))
	}
}

// demands returns the demands of all organisations, and the use of all, which is what the capacity
// allows.
func (s *service) demands(now time.Time) (demands []float64, capacity float64) {
	demands = make([]float64, 0, len(s.accounts)+len(s.level.reported))
	reported := maps.Clone(s.level.reported)
	for _, account := range s.accounts {
		use := account.use.valueAt(now) + reported[account.key]
		delete(reported, account.key)
		capacity += use
		demands = append(demands, account.demandAt(use, now))
	}
	for _, use := range reported { // by organisations without calls here
		capacity += use
		demands = append(demands, use)
	}
	return demands, capacity
}

func (s *service) someoneWaits(now time.Time) bool { return now.Sub(s.waitedAt) <= waitTime }

// demandAt returns the demand of an organisation with a given use.
func (a *account) demandAt(use float64, now time.Time) float64 {
	if now.Sub(a.waitedAt) > waitTime {
		return use
	}
	return max(use+a.unmet.valueAt(now), waitDemand*use)
}

// excess returns a use as a multiple of the level.
func (l level) excess(use float64) float64 {
	switch {
	case use == 0 || math.IsInf(l.value, 1):
		return 0
	case use <= l.value*(1+rounding):
		return min(use/l.value, 1)
	default:
		return use / l.value
	}
}

// keyOf returns the key of an organisation in reports, which bounds their size whatever the
// organisations are called.
func keyOf(organisation string) uint64 { return xxhash.Sum64String(organisation) }
