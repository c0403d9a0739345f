package review

import "time"

// WaitingState describes a waiting review in a state dump, without its request.
type WaitingState struct {
	ID           string     `json:"id"`
	Organisation string     `json:"organisation"`
	Model        string     `json:"model"`
	Status       Status     `json:"status"`
	Accepted     time.Time  `json:"accepted"`
	Deadline     *time.Time `json:"deadline,omitempty"`
	AtRisk       bool       `json:"at_risk"`
	Missed       bool       `json:"missed"`
}

// State is the part of a state dump that describes the reviews.
type State struct {
	Ready bool `json:"ready"`
	// Known counts all reviews in memory, Running those that run on this box.
	Known   int   `json:"known"`
	Running int   `json:"running"`
	AtRisk  int   `json:"at_risk"`
	Missed  int   `json:"missed"`
	Repeats int64 `json:"repeats"`
	// OldestSeconds is the age of the oldest waiting review.
	OldestSeconds float64        `json:"oldest_seconds"`
	Waiting       []WaitingState `json:"waiting"`
}

// State describes the current reviews.
func (s *Service) State() State {
	waiting := s.Waiting()
	s.mu.Lock()
	state := State{Ready: s.ready, Known: len(s.table.reviews), Running: len(s.running), Repeats: s.reappends, Waiting: []WaitingState{}}
	s.mu.Unlock()
	for _, review := range waiting {
		state.add(review)
	}
	return state
}

func (s *State) add(review Review) {
	described := WaitingState{
		ID: review.Meta.ID, Organisation: review.Meta.Organisation, Model: review.Meta.Model, Status: review.Status,
		Accepted: review.Meta.AcceptedAt, AtRisk: review.AtRisk, Missed: review.Missed,
	}
	if !review.Meta.Deadline.IsZero() {
		described.Deadline = &review.Meta.Deadline
	}
	if review.AtRisk {
		s.AtRisk++
	}
	if review.Missed {
		s.Missed++
	}
	s.OldestSeconds = max(s.OldestSeconds, time.Since(review.Meta.AcceptedAt).Seconds())
	s.Waiting = append(s.Waiting, described)
}
