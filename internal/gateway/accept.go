// The first stages: everything that the caller sent is read and judged before a
// backend server is chosen, so that a slow or faulty caller costs none of them
// anything.

package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fingerprint"
)

// defaultTimeout holds for routes without a timeout and callers who do not say how
// long they wait.
const defaultTimeout = 30 * time.Second

// accept decodes the head of a call and finds its route.
func (g *Gateway) accept(x *exchange) bool {
	x.facts = g.cfg.Protocol.ReadFacts(x.request.Header)
	x.resumeAfter = x.facts.ResumeAfter
	x.catalog = g.cfg.Catalog()
	if x.catalog == nil {
		return g.refuse(x, "no_configuration", startingPause)
	}
	x.route = x.catalog.Route(x.request.Host, x.request.URL.Path)
	if x.route == nil {
		return g.reject(x, http.StatusNotFound, "no_route")
	}
	x.service = x.catalog.Service(x.route.ServiceFor(x.number))
	if limit := x.catalog.Limits().HeaderBytes; limit > 0 && headerBytes(x.request) > limit {
		return g.reject(x, http.StatusRequestHeaderFieldsTooLarge, "header_too_large")
	}
	if x.facts.Malformed != "" {
		return g.reject(x, http.StatusBadRequest, x.facts.Malformed)
	}
	x.urgency = x.route.Urgency
	patience := x.route.Timeout
	if patience <= 0 {
		patience = defaultTimeout
	}
	if x.facts.Patience > 0 {
		patience = min(patience, x.facts.Patience)
	}
	x.deadline = x.arrived.Add(patience)
	return true
}

// headerBytes is the length of a call's head as its caller sent it, within a few
// bytes.
func headerBytes(r *http.Request) int {
	const lineEnds, separators = 2, 4 // "\r\n", and ": " with it
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineEnds + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + separators
		}
	}
	return total
}

// authorise finds the organisation that the caller's key belongs to.
func (g *Gateway) authorise(x *exchange) bool {
	x.organisation = x.catalog.Organisation(x.facts.Key)
	if x.organisation == nil && x.catalog.KeysRequired() && !x.route.Public {
		return g.reject(x, http.StatusUnauthorized, "unknown_key")
	}
	if x.organisation != nil && x.organisation.Urgency != nil {
		x.urgency = *x.organisation.Urgency
	}
	return true
}

// readBody takes in the whole body, so that a slow caller holds no backend server
// and a call can be handed over again.
func (g *Gateway) readBody(x *exchange) bool {
	limit := x.catalog.Limits().BodyBytes
	if x.request.ContentLength > limit {
		return g.reject(x, http.StatusRequestEntityTooLarge, "body_too_large")
	}
	connection := http.NewResponseController(x.writer)
	if err := connection.SetReadDeadline(time.Now().Add(boottime.Until(x.deadline))); err != nil {
		g.cfg.Logger.Debug().Str("error", err.Error()).Msg("no_read_deadline") // the writer of a test
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.request.Body, limit))
	if err == nil {
		x.body, x.readAt = body, boottime.Now()
		x.fingerprint = x.identify()
		_ = connection.SetReadDeadline(time.Time{}) // as above
		return true
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.writer.Header().Set("Connection", "close")
		return g.reject(x, http.StatusRequestTimeout, "body_too_slow")
	}
	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		return g.reject(x, http.StatusRequestEntityTooLarge, "body_too_large")
	}
	if x.request.Context().Err() != nil {
		x.outcome, x.reason = outcomeGone, "caller_left_in_body"
		return false
	}
	return g.reject(x, http.StatusBadRequest, "body_unreadable")
}

// identify names the request that this call is a sending of.
func (x *exchange) identify() fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Request{
		Caller: x.caller(), Method: x.request.Method, Host: x.request.Host, Target: x.target(), Body: x.body,
	})
}

// caller names the organisation that the call belongs to; empty where anybody may call.
func (x *exchange) caller() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// target gives the path and query as the caller sent them.
func (x *exchange) target() string {
	target := x.request.RequestURI
	if strings.HasPrefix(target, "/") {
		return target
	}
	return x.request.URL.RequestURI() // a caller may name the host in the request line too
}

// hopByHop lists the headers that belong to one connection (RFC 9110, 7.6.1), and
// the length, which is written anew.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardable copies the headers that travel past this hop.
func forwardable(header http.Header) http.Header {
	copied := header.Clone()
	for _, names := range header.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		copied.Del(name)
	}
	return copied
}
