package review

import (
	"cmp"
	"slices"
	"time"
)

// Descriptions of reviews for their organisation, and the order in which reviews run.

// Review describes a review to its organisation.
type Review struct {
	Meta   Meta
	Status Status
	// AtRisk means that the deadline will probably be missed, Missed that it was.
	AtRisk  bool
	Missed  bool
	EndedAt time.Time
}

// IsFinal reports whether a review with this status has ended.
func (s Status) IsFinal() bool {
	return s == StatusCompleted || s == StatusFailed || s == StatusCancelled
}

// describe returns the description of a review. The caller holds mu.
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

// Waiting lists the reviews that have not ended, the earliest due first.
func (s *Service) Waiting() []Review {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reviews []Review
	for _, e := range s.byDueTime() {
		reviews = append(reviews, s.describe(e))
	}
	return reviews
}

// byDueTime lists the waiting reviews, the earliest due first. The caller holds mu.
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
