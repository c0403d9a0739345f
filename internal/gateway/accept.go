// The stages before placement. A call is read and validated completely before a backend server is
// chosen, so that a slow or invalid caller uses no server capacity.

package gateway

import (
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/connlimit"
	"github.com/cometlock/cometlock/internal/fingerprint"
)

// defaultTimeout applies where neither the route nor the caller sets a timeout.
const defaultTimeout = 30 * time.Second

// accept reads the headers of a call, finds its route and sets its deadline.
func (g *Gateway) accept(x *exchange) bool {
	x.info = g.cfg.Protocol.ReadRequest(x.request.Header)
	x.readForwardState()
	x.resumeAfter = x.info.ResumeAfter
	x.catalog = g.cfg.Catalog()
	if x.catalog == nil {
		return g.refuse(x, "no_configuration", retryAfterStartup)
	}
	x.route = x.catalog.Route(x.request.Host, x.request.URL.Path)
	if x.route == nil {
		return g.reject(x, http.StatusNotFound, "no_route")
	}
	x.service = x.catalog.Service(x.chooseService())
	if limit := x.catalog.Limits().HeaderBytes; limit > 0 && headerBytes(x.request) > limit {
		return g.reject(x, http.StatusRequestHeaderFieldsTooLarge, "header_too_large")
	}
	if x.info.Malformed != "" {
		return g.reject(x, http.StatusBadRequest, x.info.Malformed)
	}
	x.priority, x.rank = x.route.Urgency, x.route.Urgency
	timeout := x.routeTimeout()
	if x.info.MaxWait > 0 {
		timeout = min(timeout, x.info.MaxWait)
	}
	x.deadline = x.arrived.Add(timeout)
	return true
}

// chooseService returns the service for the call. For a resumable stream it is chosen by a hash of the stream's ID, so
// that all boxes choose the same one and the stream continues where it began, also if that is not recorded.
func (x *exchange) chooseService() string {
	id := x.streamID()
	switch {
	case x.forwarded && x.route.HasService(x.forwardService):
		return x.forwardService
	case x.route.Kind == catalog.Stream && x.route.Resumable && id != "":
		return x.route.ServiceOf(xxhash.Sum64String(id))
	default:
		return x.route.PickService(x.number)
	}
}

// routeTimeout returns how long a call of the route may take.
func (x *exchange) routeTimeout() time.Duration {
	if x.route.Timeout <= 0 {
		return defaultTimeout
	}
	return x.route.Timeout
}

// headerBytes returns the least size that a call's request line and headers had as the caller sent them. Each line
// counts with a colon and a line feed only: with more, a head of many short lines within the limit would be refused.
func headerBytes(r *http.Request) int {
	const lineEnds, separators = 2, 2
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineEnds + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + separators
		}
	}
	return total
}

// authorise looks up the organisation of the caller's API key.
func (g *Gateway) authorise(x *exchange) bool {
	x.organisation = x.catalog.Organisation(x.info.Key)
	if x.organisation == nil && x.catalog.KeysRequired() && !x.route.Public {
		return g.reject(x, http.StatusUnauthorized, "unknown_key")
	}
	if x.organisation != nil && x.organisation.Urgency != nil {
		x.priority = *x.organisation.Urgency
		x.rank = rank(*x.organisation.Urgency, x.route.Urgency)
	}
	return true
}

// routeLevels is the number of urgencies of routes that are distinguished within one urgency of an
// organisation. Runners know ten ranks, which leaves room for three urgencies of organisations.
const routeLevels = 3

// rank combines the urgency of an organisation, which comes first, with that of a route. If the
// organisation's alone counted, the routes of all organisations that have one would be equal, and
// when capacity is short, urgent calls would be refused at the same rate as long ones that can wait.
func rank(organisation, route int) int {
	return routeLevels*organisation + min(route, routeLevels-1)
}

// readBody buffers the whole body, so that a slow caller occupies no backend server and the call
// can be sent again.
func (g *Gateway) readBody(x *exchange) bool {
	limit := x.catalog.Limits().BodyBytes
	connection := http.NewResponseController(x.writer)
	// Without a body, net/http already reads in the background, to detect that the caller disconnects.
	// A deadline that expires then would cancel the request's context, although the caller is there.
	if x.request.ContentLength != 0 {
		if err := connection.SetReadDeadline(time.Now().Add(boottime.Until(x.deadline))); err != nil {
			g.cfg.Logger.Debug().Str("error", err.Error()).Msg("no_read_deadline") // the response writers of tests support no deadlines
		}
	}
	body, err := x.readAllBody(http.MaxBytesReader(x.writer, x.request.Body, limit))
	if err == nil {
		x.body, x.bodyReadAt = body, boottime.Now()
		x.fingerprint, x.parts = x.requestFingerprint(), x.partFingerprints()
		_ = connection.SetReadDeadline(time.Time{}) // likewise
		connlimit.Admitted(x.request.Context())
		return true
	}
	if errors.Is(err, errNoMemory) {
		x.writer.Header().Set("Connection", "close")
		return g.refuseMemory(x, callOverhead)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.writer.Header().Set("Connection", "close")
		return g.reject(x, http.StatusRequestTimeout, "body_too_slow")
	}
	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		return g.reject(x, http.StatusRequestEntityTooLarge, "body_too_large")
	}
	if x.request.Context().Err() != nil {
		g.endGone(x, "caller_left_in_body")
		return false
	}
	return g.reject(x, http.StatusBadRequest, "body_unreadable")
}

// requestFingerprint identifies the request of this call; a call that is sent again has the same
// fingerprint.
func (x *exchange) requestFingerprint() fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Request{
		Caller: x.callerName(), Method: x.request.Method, Host: x.request.Host, Target: x.target(), Body: x.body,
	})
}

// partFingerprints identifies the parts of the call's prompt that other prompts may have too.
func (x *exchange) partFingerprints() []fingerprint.Fingerprint {
	if x.info.Prompt == nil {
		return nil
	}
	shared := x.info.Prompt.SharedParts()
	parts := make([]fingerprint.Fingerprint, len(shared))
	for i, part := range shared {
		parts[i] = fingerprint.OfPart(fingerprint.Part{Isolated: x.isolationName(), Service: x.service.Name, Model: x.info.Prompt.Model, ID: part.ID})
	}
	return parts
}

// callerName returns the name of the call's organisation, or "" for a call without one.
func (x *exchange) callerName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// target returns the path and query as the caller sent them.
func (x *exchange) target() string {
	target := x.request.RequestURI
	if strings.HasPrefix(target, "/") {
		return target
	}
	return x.request.URL.RequestURI() // the request line may also hold an absolute URL
}

// hopByHopHeaders lists the headers of a single connection (RFC 9110, 7.6.1), and Content-Length,
// which is set again when the message is written.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeaders copies the headers without those of the connection that they came on.
func endToEndHeaders(header http.Header) http.Header {
	copied := header.Clone()
	for _, names := range header.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	return copied
}
