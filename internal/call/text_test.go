package call_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/call"
)

// For arbitrary headers, the parsed rate and pause are within their bounds and never NaN.
func FuzzReadAdvisory(f *testing.F) {
	f.Add(http.StatusServiceUnavailable, "2.5", "1", "3", "", "4")
	f.Add(http.StatusOK, "-1", "yes", "Wed, 21 Oct 2026 07:28:00 GMT", "Wed, 21 Oct 2026 07:27:00 GMT", "-4")
	f.Add(http.StatusTooManyRequests, "NaN", "0", "1e300", "never", "NaN")
	f.Fuzz(func(t *testing.T, status int, limit, draining, retryAfter, date, brittle string) {
		g := NewWithT(t)
		parsed := call.ReadAdvisory(call.AdvisoryHeaders{Status: status, Limit: limit, Draining: draining, RetryAfter: retryAfter, Date: date, Brittle: brittle})
		const maxPerSecond, maxPause = 1e6, time.Hour
		g.Expect(parsed.PerSecond).To(BeNumerically(">=", 0))
		g.Expect(parsed.PerSecond).To(BeNumerically("<=", maxPerSecond))
		g.Expect(parsed.Pause).To(BeNumerically(">=", 0))
		g.Expect(parsed.Pause).To(BeNumerically("<=", maxPause))
		g.Expect(parsed.MaxRefusals).To(And(BeNumerically(">=", 0), BeNumerically("<=", maxPerSecond)))
		g.Expect(parsed.Brittle == advisory.LimitNamed || parsed.MaxRefusals == 0).To(BeTrue())
		g.Expect(parsed.Limit == advisory.LimitNamed || parsed.PerSecond == 0).To(BeTrue())
	})
}
