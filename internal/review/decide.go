package review

import "context"

// Requests of an organisation about one review: read, wait, cancel and delete.

// Get returns an organisation's review.
func (s *Service) Get(organisation, id string) (Review, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, err := s.find(organisation, id)
	if err != nil {
		return Review{}, err
	}
	return s.describe(e), nil
}

// find returns an organisation's review. The caller holds mu.
func (s *Service) find(organisation, id string) (*entry, error) {
	e, ok := s.table.reviews[id]
	if ok && e.meta.Organisation == organisation && !e.deleted && (e.request.isSet() || e.endKind != 0) {
		return e, nil
	}
	if !s.ready {
		return nil, ErrNotReady
	}
	return nil, ErrNotFound
}

// Result reads the response of a completed review from the log.
func (s *Service) Result(ctx context.Context, organisation, id string) ([]byte, error) {
	s.mu.Lock()
	e, err := s.find(organisation, id)
	if err != nil {
		s.mu.Unlock()
		return nil, err
	}
	loc := e.result
	s.mu.Unlock()
	return s.readContent(ctx, loc)
}

// AwaitEnd waits until a review has ended or ctx ends.
func (s *Service) AwaitEnd(ctx context.Context, organisation, id string) (Review, error) {
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		found, err := s.Get(organisation, id)
		if err != nil || found.Status.IsFinal() {
			return found, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return found, ctx.Err()
		}
	}
}

// Cancel ends a review that is waiting or running. Unlike Delete, it keeps the review readable.
func (s *Service) Cancel(ctx context.Context, organisation, id string) (Review, error) {
	return s.appendDecision(ctx, organisation, id, KindCancelled, func(e *entry) bool { return e.endKind != 0 })
}

// Delete removes a review, whatever its status.
func (s *Service) Delete(ctx context.Context, organisation, id string) (Review, error) {
	return s.appendDecision(ctx, organisation, id, KindDeleted, func(e *entry) bool { return e.deleted })
}

// appendDecision appends a decision of the review's organisation and waits until it, or an
// earlier one with the same effect, has been read back from the log.
func (s *Service) appendDecision(ctx context.Context, organisation, id string, kind Kind, decided func(*entry) bool) (Review, error) {
	s.mu.Lock()
	e, err := s.find(organisation, id)
	if err != nil {
		s.mu.Unlock()
		return Review{}, err
	}
	meta, already := e.meta, decided(e)
	s.mu.Unlock()
	if !already {
		if err := s.append(ctx, split(kind, meta, original, nil)); err != nil {
			return Review{}, err
		}
	}
	for {
		s.mu.Lock()
		changed, found, done := s.changed, s.describe(e), decided(e)
		s.mu.Unlock()
		if done {
			return found, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Review{}, ErrOutcomeUnknown
		}
	}
}
