// Reports of the largest users, which the owners of zones exchange.

package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxReported bounds the organisations of a service in a report, and maxReportedServices the
	// services, so that a report has at most 20 KB. minReported is the least use that is reported.
	maxReported         = 64
	maxReportedServices = 16
	minReported         = 0.001
	// reportTime is how long a report is used: several times the time between two reports.
	reportTime = 1500 * time.Millisecond
	// maxReports bounds the boxes whose reports are used.
	maxReports = 256
	// maxUse bounds a reported use. 20,000 runners are in use for useTime at most.
	maxUse = 1e6
)

// ServiceReport lists the organisations that use most of a service.
type ServiceReport struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double the size

	Service string        `msgpack:"s"`
	Uses    []ReportedUse `msgpack:"u"`
}

// ReportedUse is the use of an organisation, in seconds of a whole runner.
type ReportedUse struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double the size

	// Key is the hash of the organisation's name.
	Key uint64  `msgpack:"k"`
	Use float32 `msgpack:"u"`
}

// report is what another box reported, by service and key of the organisation.
type report struct {
	uses map[string]map[uint64]float64
	at   time.Time
}

// Report returns the largest uses that this ledger recorded itself, without those that others
// reported.
func (l *Ledger) Report(now time.Time) []ServiceReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	type summed struct {
		ServiceReport
		total float64
	}
	var services []summed
	for name, service := range l.services {
		uses, total := service.largestRecorded(now)
		if len(uses) > 0 {
			services = append(services, summed{ServiceReport{Service: name, Uses: uses}, total})
		}
	}
	slices.SortFunc(services, func(a, b summed) int {
		return cmp.Or(cmp.Compare(b.total, a.total), cmp.Compare(a.Service, b.Service))
	})
	services = services[:min(len(services), maxReportedServices)]
	reports := make([]ServiceReport, len(services))
	for i, service := range services {
		reports[i] = service.ServiceReport
	}
	return reports
}

// largestRecorded returns the largest uses recorded in a service, and the total of all.
func (s *service) largestRecorded(now time.Time) (uses []ReportedUse, total float64) {
	for _, account := range s.accounts {
		if use := account.use.valueAt(now); use >= minReported {
			total += use
			uses = append(uses, ReportedUse{Key: account.key, Use: float32(use)})
		}
	}
	slices.SortFunc(uses, func(a, b ReportedUse) int { return cmp.Or(cmp.Compare(b.Use, a.Use), cmp.Compare(a.Key, b.Key)) })
	return uses[:min(len(uses), maxReported)], total
}

// Merge replaces the report of another box. Reports expire if no newer one follows.
func (l *Ledger) Merge(box string, services []ServiceReport, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.reports, func(_ string, r report) bool { return r.expired(now) })
	if _, known := l.reports[box]; !known && len(l.reports) >= maxReports {
		return
	}
	received := report{uses: map[string]map[uint64]float64{}, at: now}
	for _, service := range services[:min(len(services), maxReportedServices)] {
		uses := make(map[uint64]float64, len(service.Uses))
		for _, use := range service.Uses[:min(len(service.Uses), maxReported)] {
			if use.Use > 0 && use.Use <= maxUse {
				uses[use.Key] = float64(use.Use)
			}
		}
		received.uses[service.Service] = uses
	}
	l.reports[box] = received
}

func (r report) expired(now time.Time) bool { return now.Sub(r.at) > reportTime }

// reportedUse returns the use in a service that other boxes reported. The caller holds mu.
func (l *Ledger) reportedUse(service string, now time.Time) map[uint64]float64 {
	total := map[uint64]float64{}
	for _, report := range l.reports {
		if report.expired(now) {
			continue
		}
		for key, use := range report.uses[service] {
			total[key] += use
		}
	}
	return total
}
