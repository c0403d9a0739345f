// Package selfheaders parses the response headers in which engines, plain services and the backend
// servers of the product's own routes report their state (package advisory).
package selfheaders

import (
	"net/http"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/call"
)

// Response headers.
const (
	// RateLimit is the number of requests per second that the server accepts from all boxes together, a
	// decimal number.
	RateLimit = "Cometlock-Rate-Limit"
	// Draining is 1 if the server accepts no new requests.
	Draining = "Cometlock-Draining"
	// Brittle is the number of calls that the server may refuse in a second for want of room without
	// failing, a decimal number.
	Brittle = "Cometlock-Brittle"

	retryAfter = "Retry-After"
	date       = "Date"
)

// Read returns the state that a response reports about its server.
func Read(status int, header http.Header) advisory.Advisory {
	return call.ReadAdvisory(call.AdvisoryHeaders{
		Status: status, Limit: header.Get(RateLimit), Draining: header.Get(Draining), Brittle: header.Get(Brittle), RetryAfter: header.Get(retryAfter), Date: header.Get(date),
	})
}
