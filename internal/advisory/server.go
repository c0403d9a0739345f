package advisory

import "time"

// Server holds the statements of one incarnation of a server, and counts the requests that this box
// has sent to it. The zero value is a server that has made no statement. It is not safe for
// concurrent use.
type Server struct {
	Record

	bucket Bucket
}

// Share returns the rate in requests per second at which this box may send to the server, or false
// if the server states no limit. The zero position is that of a single box.
func (s *Server) Share(now time.Time, position Position) (perSecond float64, limited bool) {
	if !s.IsLimited() {
		return 0, false
	}
	limit, age, _ := s.Limit(now)
	return Share(limit, age, position), true
}

// HasRoom reports whether the server's rate limit allows a request from this box at the time now.
func (s *Server) HasRoom(now time.Time, position Position) bool {
	share, limited := s.Share(now, position)
	return !limited || s.bucket.HasRoom(share, now)
}

// NoteSent counts a request that is sent, and reports whether the server states a rate limit.
func (s *Server) NoteSent(now time.Time, position Position) (limited bool) {
	share, limited := s.Share(now, position)
	if share > 0 {
		s.bucket.Admit(share, now)
	}
	return limited
}

// Wait returns how long the server accepts no request from this box because of its pause and its
// rate limit. If this box has no share of the limit, it returns the wait for the boxes that have
// one, and here is false.
func (s *Server) Wait(now time.Time, position Position) (wait time.Duration, here bool) {
	pause := s.PausedFor(now)
	share, limited := s.Share(now, position)
	switch {
	case !limited:
		return pause, true
	case share > 0:
		return max(pause, s.bucket.Wait(share, now)), true
	default:
		limit, _, _ := s.Limit(now)
		return max(pause, time.Duration(float64(time.Second)/limit)), false
	}
}
