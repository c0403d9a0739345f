package review

import (
	"cmp"
	"slices"
	"time"
)

// Describing reviews: as their organisation sees them, in order of urgency.

// Review is a review as its organisation sees it.
type Review struct {
	Meta   Meta
	Status Status
	// AtRisk says that the deadline will probably be missed, Missed that it was.
	AtRisk  bool
	Missed  bool
	EndedAt time.Time
}

// IsFinal reports whether a status is final.
func (s Status) IsFinal() bool {
	return s == StatusCompleted || s == StatusFailed || s == StatusCancelled
}

// describe gives a review as its organisation sees it. The caller holds mu.
func (s *Service) describe(e *entry) Review {
	described := Review{Meta: e.meta, Status: e.status(), EndedAt: e.endedAt}
	if _, here := s.running[e.meta.ID]; here && e.waiting() {
		described.Status = StatusRunning
	}
	if e.waiting() {
		described.AtRisk = s.atRisk(e, time.Now())
	}
	ended := time.Now()
	if e.endKind != 0 {
		ended = e.endedAt
	}
	described.Missed = !e.meta.Deadline.IsZero() && ended.After(e.meta.Deadline)
	return described
}

// Waiting lists the reviews without an end, the most pressing first.
func (s *Service) Waiting() []Review {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reviews []Review
	for _, e := range s.byDueTime() {
		reviews = append(reviews, s.describe(e))
	}
	return reviews
}

// pressing lists the waiting reviews, the most pressing first. The caller
// holds mu.
func (s *Service) byDueTime() []*entry {
	var waiting []*entry
	for _, e := range s.table.reviews {
		if e.waiting() {
			waiting = append(waiting, e)
		}
	}
	slices.SortFunc(waiting, func(a, b *entry) int {
		return cmp.Or(dueTime(a).Compare(dueTime(b)), cmp.Compare(a.meta.ID, b.meta.ID))
	})
	return waiting
}
