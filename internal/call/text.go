// Parsers of header values that several protocols share.

package call

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
)

// maxTokens is the largest accepted number of tokens. It exceeds the context length of any model, and
// is small enough that sums of many such numbers do not overflow.
const maxTokens = 1 << 30

// ReadCount parses a number of tokens. An empty text means 0.
func ReadCount(text string) (int, bool) {
	if text == "" {
		return 0, true
	}
	count, err := strconv.Atoi(strings.TrimSpace(text))
	return count, err == nil && count >= 0 && count <= maxTokens
}

// ReadParts parses the parts of a prompt, written as "id:tokens,id:tokens". An empty text means that
// the prompt has no named parts; an ID without a number is a part of 0 tokens.
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

// SetNonEmpty sets a header unless the value is empty.
func SetNonEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// maxPerSecond caps rate limits, in requests per second. It exceeds what any server accepts.
const maxPerSecond = 1e6

// AdvisoryHeaders holds the response headers that describe the server's state. Missing headers are
// empty.
type AdvisoryHeaders struct {
	Status int
	// Limit is a rate limit in requests per second, a decimal number.
	Limit string
	// Draining is "1" or "true" if the server is draining.
	Draining string
	// Brittle is the number of refusals per second that a brittle server withstands, a decimal number.
	Brittle string
	// RetryAfter is the Retry-After header of RFC 9110, a date or a number of seconds, which may have
	// decimals. Date is the time at which the response was created.
	RetryAfter, Date string
}

// ReadAdvisory parses the headers that describe the server's state. Malformed values of Draining,
// RetryAfter and Date are ignored; a malformed Limit or Brittle is reported as such.
func ReadAdvisory(headers AdvisoryHeaders) advisory.Advisory {
	parsed := advisory.Advisory{}
	parsed.Limit, parsed.PerSecond = readRateLimit(headers.Limit)
	parsed.Brittle, parsed.MaxRefusals = readRateLimit(headers.Brittle)
	parsed.Draining, _ = strconv.ParseBool(strings.TrimSpace(headers.Draining)) // a malformed value counts as false
	if headers.Status == http.StatusServiceUnavailable || headers.Status == http.StatusTooManyRequests {
		parsed.Pause = readRetryAfter(headers.RetryAfter, headers.Date)
	}
	return parsed
}

// maxPause caps the pause that a server requests. After it, the server gets calls again.
const maxPause = time.Hour

// readRetryAfter returns the pause that a Retry-After header requests, or zero if there is none.
func readRetryAfter(text, date string) time.Duration {
	if seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil {
		if math.IsNaN(seconds) {
			return 0
		}
		return time.Duration(min(max(seconds, 0), maxPause.Seconds()) * float64(time.Second))
	}
	retryAt, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	sentAt, err := http.ParseTime(date)
	if err != nil {
		sentAt = time.Now()
	}
	return min(max(retryAt.Sub(sentAt), 0), maxPause)
}

func readRateLimit(text string) (advisory.LimitStatement, float64) {
	if text == "" {
		return advisory.LimitAbsent, 0
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) || perSecond < 0 {
		return advisory.LimitMalformed, 0
	}
	return advisory.LimitNamed, min(perSecond, maxPerSecond)
}
