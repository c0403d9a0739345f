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
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/plainservice"
	"github.com/cometlock/cometlock/internal/relay"
)

// headerOrganisation tells a plain service whose call it gets. The caller's key
// stays here.
const headerOrganisation = "X-Organisation"

// ourHeaders begins the names of the headers that only an entry box writes.
const ourHeaders = "Cometlock-"

// serviceCall is one call of a plain service on its way.
type serviceCall struct {
	request *flow.Request
	service *config.PlainService
	// target is the path and query at the service.
	target string
	header http.Header
	body   io.Reader
	length int64
}

// serveService answers /services/{name}/….
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
		s.runService(w, call, claimed)
	}
	return nil
}

// acceptService reads a call. The body of a call with a key is read whole, since
// the key stands for the body too; any other streams through.
func (s *Server) acceptService(w http.ResponseWriter, r *http.Request, request *flow.Request, name string) (*serviceCall, *apierror.Error) {
	service, ok := request.Snapshot.Service(name)
	if !ok {
		return nil, apierror.Missing("service_not_found", "there is no plain service %q", name)
	}
	prefix := "/services/" + name
	request.Kind = flow.KindService
	request.Service = name
	// What decides is the decoded path without "..", "//" and the like, so that
	// no spelling of a path gets around the rule for it.
	request.Path = path.Clean("/" + strings.TrimPrefix(r.URL.Path, prefix))
	request.Repeatable = request.Repeatable && service.Repeatable(r.Method, request.Path)
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), prefix)
	if !ok {
		return nil, apierror.Missing("service_not_found", "the name of a plain service is written without escapes")
	}
	target := "/" + strings.TrimLeft(rest, "/")
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	call := &serviceCall{request: request, service: service, target: target, header: plainservice.ForwardHeader(r.Header), length: r.ContentLength}
	call.header.Del("Authorization")
	limit := request.Snapshot.File().Limits.BodyBytes
	if request.Repeatable || request.Idempotency == "" {
		call.body = http.MaxBytesReader(w, r.Body, limit)
		return call, nil
	}
	if _, refusal := authenticate.Organisation(request.Snapshot, request.Key); refusal != nil {
		return nil, refusal // before any room is made for a body
	}
	body, refusal := s.readBody(w, r, limit)
	if refusal != nil {
		return nil, refusal
	}
	request.Digest = digestOf(r.Method, target, body)
	call.body, call.length = bytes.NewReader(body), int64(len(body))
	return call, nil
}

// runService hands a call to a server of the service and its answer back.
func (s *Server) runService(w http.ResponseWriter, call *serviceCall, claimed *onceRun) {
	response, failure := s.callService(call)
	if failure != nil {
		claimed.end(failure, claim.Answer{})
		s.refuse(w, call.request, failure)
		return
	}
	defer func() { _ = response.Body.Close() }()
	var kept keeper
	whole := passResponse(w, response, &kept)
	if whole {
		claimed.end(nil, kept.answer(response))
	} else {
		claimed.end(apierror.Failed("answer_cut", apierror.Ran, "the answer broke off"), claim.Answer{})
	}
	result := relay.Result{Chunks: 1, FirstChunk: time.Now()}
	if !whole {
		result.Failure = apierror.Failed("answer_cut", apierror.Ran, "the answer broke off")
	}
	s.settleRun(call.request, result)
	if !whole {
		panic(http.ErrAbortHandler) // the only way to show the caller a cut
	}
}

// callService tries the servers of a service in turn. After a server that could
// not be reached another may get any call; after one that gave no answer only a
// call without a body that may be repeated.
func (s *Server) callService(call *serviceCall) (*http.Response, *apierror.Error) {
	failure := apierror.NotReady("no_server", time.Second, "no server of the plain service can be reached")
	for _, server := range s.serversOf(call) {
		s.zone.NoteCall(server.Name)
		response, err := s.services.Do(call.request.Context(), plainservice.Call{
			Address: server.Address, Method: call.request.Method, Target: call.target, Header: s.serviceHeader(call),
			Body: struct{ io.Reader }{call.body}, Length: call.length, Repeatable: call.request.Repeatable,
		})
		if err == nil {
			call.request.Placement.Server = server
			return response, nil
		}
		s.zone.NoteFailure(server.Name)
		if errors.Is(err, plainservice.ErrNotHanded) {
			continue
		}
		failure = apierror.Failed("no_answer", apierror.Unknown, "the plain service took the call and gave no answer")
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

// serversOf lists the servers of a service: those of the own zone first, from a
// different one on at each call, then those of other zones.
func (s *Server) serversOf(call *serviceCall) []*config.BackendServer {
	var near, far []*config.BackendServer
	for _, name := range call.service.Servers {
		server, ok := call.request.Snapshot.Server(name)
		switch {
		case !ok || call.request.Snapshot.Evacuated(server.Zone):
		case server.Zone != s.zone.Zone():
			far = append(far, server)
		case s.zone.Available(name):
			near = append(near, server)
		}
	}
	return append(rotate(near, int(s.turn.Add(1))), far...)
}

func rotate[T any](items []T, by int) []T {
	if len(items) == 0 {
		return nil
	}
	by %= len(items)
	return append(append(make([]T, 0, len(items)), items[by:]...), items[:by]...)
}

// passBufferBytes is the size of the pieces in which an answer is passed on.
const passBufferBytes = 16 << 10

// passResponse writes a service's answer to the caller piece by piece, and
// reports whether it was whole.
func passResponse(w http.ResponseWriter, response *http.Response, kept *keeper) bool {
	for name, values := range response.Header {
		if !strings.HasPrefix(name, ourHeaders) { // a service does not speak for us
			w.Header()[name] = values
		}
	}
	controller := http.NewResponseController(w)
	// Writers without full duplex are those of tests.
	_ = controller.EnableFullDuplex()
	w.WriteHeader(response.StatusCode)
	buffer := make([]byte, passBufferBytes)
	for {
		n, readErr := response.Body.Read(buffer)
		kept.add(buffer[:n])
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

// keeper copies an answer as long as it is small enough to be kept.
type keeper struct {
	body     []byte
	tooLarge bool
}

func (k *keeper) add(piece []byte) {
	if k.tooLarge || len(k.body)+len(piece) > claim.MaxAnswerBytes {
		k.tooLarge = true
		return
	}
	k.body = append(k.body, piece...)
}

func (k *keeper) answer(response *http.Response) claim.Answer {
	return claim.Answer{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"),
		Body: k.body, Whole: !k.tooLarge,
	}
}
