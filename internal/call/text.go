// How facts of calls are written in headers where interfaces do so alike.

package call

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
)

// mostTokens bounds a number of tokens that is believed: far more than any model reads,
// and so little that sums of many do not overflow.
const mostTokens = 1 << 30

// ReadCount reads a number of tokens; nothing counts as 0.
func ReadCount(text string) (int, bool) {
	if text == "" {
		return 0, true
	}
	count, err := strconv.Atoi(strings.TrimSpace(text))
	return count, err == nil && count >= 0 && count <= mostTokens
}

// ReadParts reads the parts of a prompt, written as "id:tokens,id:tokens". Nothing is a
// prompt without named parts, and an id without a number a part of 0 tokens.
func ReadParts(text string) ([]Part, bool) {
	if text == "" {
		return nil, true
	}
	var parts []Part
	for item := range strings.SplitSeq(text, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(item), ":")
		tokens, ok := ReadCount(count)
		if !ok || id == "" {
			return nil, false
		}
		parts = append(parts, Part{ID: id, Tokens: tokens})
	}
	return parts, true
}

// SetNonEmpty sets a header that has a value.
func SetNonEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// mostPerSecond bounds a rate that is believed, in requests a second: far more than any server takes.
const mostPerSecond = 1e6

// AdvisoryHeaders are the headers in which an answer says something of its server; empty where it does
// not.
type AdvisoryHeaders struct {
	Status int
	// Limit is a rate limit in requests a second, a decimal number.
	Limit string
	// Draining is 1 or true where the server drains.
	Draining string
	// RetryAfter is that of RFC 9110, seconds with decimals or a date; Date is when the answer was made.
	RetryAfter, Date string
}

// ReadAdvisory reads what an answer says of its server. What cannot be read says nothing.
func ReadAdvisory(headers AdvisoryHeaders) advisory.Advisory {
	said := advisory.Advisory{}
	said.Limit, said.PerSecond = readRateLimit(headers.Limit)
	said.Draining, _ = strconv.ParseBool(strings.TrimSpace(headers.Draining)) // what is neither says nothing
	if headers.Status == http.StatusServiceUnavailable || headers.Status == http.StatusTooManyRequests {
		said.Pause = readRetryAfter(headers.RetryAfter, headers.Date)
	}
	return said
}

// longestPause bounds a pause that a server asks for. After it the server is asked again.
const longestPause = time.Hour

// readRetryAfter gives the pause that an answer asks for; zero for none.
func readRetryAfter(text, date string) time.Duration {
	if seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil {
		if math.IsNaN(seconds) {
			return 0
		}
		return time.Duration(min(max(seconds, 0), longestPause.Seconds()) * float64(time.Second))
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	from, err := http.ParseTime(date)
	if err != nil {
		from = time.Now()
	}
	return min(max(at.Sub(from), 0), longestPause)
}

func readRateLimit(text string) (advisory.LimitStatement, float64) {
	if text == "" {
		return advisory.LimitAbsent, 0
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) || perSecond < 0 {
		return advisory.LimitMalformed, 0
	}
	return advisory.LimitNamed, min(perSecond, mostPerSecond)
}
