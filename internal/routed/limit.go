// The bound of an organisation's calls in flight. Nothing waits here for a turn, so a call
// above it is refused at once.

package routed

import (
	"net/http"
	"time"

	"github.com/cometlock/cometlock/internal/api"
	"github.com/cometlock/cometlock/internal/apierror"
)

// limitPause is when a caller above its organisation's limit is asked to come back: calls
// of web services commonly take less.
const limitPause = time.Second

// enter counts a call of the organisation that owns its key, and gives what takes it back;
// the refusal when the organisation has as many as it may. Calls without a known key are
// judged later, by their route.
func (r *Router) enter(header http.Header) (leave func(), refusal *apierror.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	organisation, known := r.snapshot.OrganisationByKey(api.BearerKey(header))
	if !known {
		return func() {}, nil
	}
	name := organisation.Name
	if r.inFlight[name] >= organisation.MaxInFlight {
		return nil, apierror.TooManyRequests("organisation_limit", limitPause, "the organisation has %d calls in flight, its limit", organisation.MaxInFlight)
	}
	r.inFlight[name]++
	return func() { r.leave(name) }, nil
}

func (r *Router) leave(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[organisation]--; r.inFlight[organisation] == 0 {
		delete(r.inFlight, organisation)
	}
}
