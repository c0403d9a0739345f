package api

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/authenticate"
	"github.com/cometlock/cometlock/internal/claim"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/connlimit"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/plainservice"
	"github.com/cometlock/cometlock/internal/relay"
)

// headerOrganisation carries the name of the caller's organisation to a plain service. The caller's
// API key is not forwarded.
const headerOrganisation = "X-Organisation"

// ownHeaderPrefix is the prefix of the response headers that only an entry box may set.
const ownHeaderPrefix = "Cometlock-"

// serviceCall is one call of a plain service in progress.
type serviceCall struct {
	request *flow.Request
	service *config.PlainService
	// target is the path and query that are sent to the service.
	target string
	header http.Header
	body   io.Reader
	length int64
}

// serveService handles /services/{name}/….
func (s *Server) serveService(c echo.Context) error {
	w, r := c.Response(), c.Request()
	request, refusal := s.newRequest(r)
	w.Header().Set(HeaderRequestID, request.ID)
	if refusal != nil {
		s.drain(w, r)
		s.refuse(w, request, refusal)
		return nil
	}
	call, refusal := s.acceptService(w, r, request, c.Param("name"))
	if refusal == nil {
		refusal = s.pipeline.Run(request)
	}
	if refusal != nil {
		s.drain(w, r)
		s.refuse(w, request, refusal)
		return nil
	}
	claimed, replay, refusal := s.claimOnce(request)
	switch {
	case refusal != nil:
		s.refuse(w, request, refusal)
	case replay != nil:
		s.replay(w, request, *replay)
	default:
		s.runService(w, r, call, claimed)
	}
	return nil
}

// acceptService parses a call. If the call has an idempotency key and is not repeatable, the whole
// body is read first, because the digest that is claimed with the key covers the body. Otherwise the
// body is streamed.
func (s *Server) acceptService(w http.ResponseWriter, r *http.Request, request *flow.Request, name string) (*serviceCall, *apierror.Error) {
	service, ok := request.Snapshot.Service(name)
	if !ok {
		return nil, apierror.NotFound("service_not_found", "there is no plain service %q", name)
	}
	prefix := "/services/" + name
	request.Kind = flow.KindService
	request.Service = name
	// Rules apply to the decoded and cleaned path, without ".." and "//", so that no other spelling of
	// a path bypasses its rule.
	request.Path = path.Clean("/" + strings.TrimPrefix(r.URL.Path, prefix))
	request.Repeatable = request.Repeatable && service.Repeatable(r.Method, request.Path)
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), prefix)
	if !ok {
		return nil, apierror.NotFound("service_not_found", "the name of a plain service is written without escapes")
	}
	target := "/" + strings.TrimLeft(rest, "/")
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	call := &serviceCall{request: request, service: service, target: target, header: plainservice.ForwardHeader(r.Header), length: r.ContentLength}
	call.header.Del("Authorization")
	limit := request.Snapshot.File().Limits.BodyBytes
	if request.Repeatable || request.IdempotencyKey == "" {
		call.body = http.MaxBytesReader(w, r.Body, limit)
		return call, nil
	}
	organisation, refusal := authenticate.Organisation(request.Snapshot, request.APIKey)
	if refusal != nil {
		return nil, refusal // before memory is allocated for the body
	}
	body, refusal := s.readBody(w, r, organisation.Name, limit)
	if refusal != nil {
		return nil, refusal
	}
	request.Digest = digestOf(r.Method, target, body)
	call.body, call.length = bytes.NewReader(body), int64(len(body))
	return call, nil
}

// runService sends a call to a server of the service and the response back to the caller.
func (s *Server) runService(w http.ResponseWriter, r *http.Request, call *serviceCall, claimed *claimedRun) {
	response, failure := s.callService(call)
	if failure != nil {
		claimed.finish(failure, claim.StoredResponse{})
		s.drain(w, r)
		s.refuse(w, call.request, failure)
		return
	}
	defer func() { _ = response.Body.Close() }()
	connlimit.Serving(r.Context())
	var saved responseCopy
	complete := copyResponse(w, response, &saved)
	if complete {
		claimed.finish(nil, saved.answer(response))
	} else {
		claimed.finish(apierror.BadGateway("answer_cut", apierror.Ran, "the answer broke off"), claim.StoredResponse{})
	}
	result := relay.Result{Chunks: 1, FirstChunk: time.Now()}
	if !complete {
		result.Failure = apierror.BadGateway("answer_cut", apierror.Ran, "the answer broke off")
	}
	s.settleRun(call.request, result)
	if !complete {
		connlimit.Abort(r) // aborting the connection is the only way to signal a truncated response
	}
}

// callService tries the servers of a service in order. If a server cannot be reached, any call is sent
// to the next one. If a server sends no response, only a repeatable call without a body is retried.
func (s *Server) callService(call *serviceCall) (*http.Response, *apierror.Error) {
	failure := apierror.ServiceUnavailable("no_server", time.Second, "no server of the plain service can be reached")
	for _, server := range s.candidateServers(call) {
		s.zone.NoteCall(server.Name)
		response, err := s.services.Do(call.request.Context(), plainservice.Request{
			Address: server.Address, Method: call.request.Method, Target: call.target, Header: s.serviceHeader(call),
			Body: struct{ io.Reader }{call.body}, Length: call.length, Repeatable: call.request.Repeatable,
		})
		if err == nil {
			call.request.Placement.Server = server
			return response, nil
		}
		s.zone.NoteFailure(server.Name)
		if errors.Is(err, plainservice.ErrNotSent) {
			continue
		}
		failure = apierror.BadGateway("no_answer", apierror.Unknown, "the plain service took the call and gave no answer")
		if !call.request.Repeatable || call.length != 0 || !s.budget.TryWithdraw() {
			return nil, failure
		}
	}
	return nil, failure
}

func (s *Server) serviceHeader(call *serviceCall) http.Header {
	header := call.header.Clone()
	header.Set(headerOrganisation, call.request.Organisation.Name)
	header.Set(HeaderRequestID, call.request.ID)
	return header
}

// candidateServers lists the servers of a service in the order in which they are tried: those of the
// box's own zone first, in round-robin order, then those of other zones.
func (s *Server) candidateServers(call *serviceCall) []*config.BackendServer {
	var sameZone, otherZones []*config.BackendServer
	for _, name := range call.service.Servers {
		server, ok := call.request.Snapshot.Server(name)
		switch {
		case !ok || call.request.Snapshot.Evacuated(server.Zone):
		case server.Zone != s.zone.Zone():
			otherZones = append(otherZones, server)
		case s.zone.Available(name):
			sameZone = append(sameZone, server)
		}
	}
	return append(rotate(sameZone, int(s.rotation.Add(1))), otherZones...)
}

func rotate[T any](items []T, by int) []T {
	if len(items) == 0 {
		return nil
	}
	by %= len(items)
	return append(append(make([]T, 0, len(items)), items[by:]...), items[:by]...)
}

// copyBufferBytes is the size of the buffer for copying a response to the caller.
const copyBufferBytes = 16 << 10

// copyResponse streams a service's response to the caller and reports whether it was complete.
func copyResponse(w http.ResponseWriter, response *http.Response, saved *responseCopy) bool {
	for name, values := range response.Header {
		if !strings.HasPrefix(name, ownHeaderPrefix) { // a service must not set the box's own headers
			w.Header()[name] = values
		}
	}
	controller := http.NewResponseController(w)
	// Only the response writers of tests do not support full duplex.
	_ = controller.EnableFullDuplex()
	w.WriteHeader(response.StatusCode)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := response.Body.Read(buffer)
		saved.add(buffer[:n])
		if _, err := w.Write(buffer[:n]); err != nil {
			return false
		}
		if readErr == io.EOF {
			return true
		}
		if readErr != nil || controller.Flush() != nil {
			return false
		}
	}
}

// responseCopy collects a response body up to the size limit for stored answers.
type responseCopy struct {
	body     []byte
	tooLarge bool
}

func (k *responseCopy) add(piece []byte) {
	if k.tooLarge || len(k.body)+len(piece) > claim.MaxResponseBytes {
		k.tooLarge = true
		return
	}
	k.body = append(k.body, piece...)
}

func (k *responseCopy) answer(response *http.Response) claim.StoredResponse {
	return claim.StoredResponse{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"),
		Body: k.body, BodyStored: !k.tooLarge,
	}
}
