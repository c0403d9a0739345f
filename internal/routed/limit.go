// The limit on an organisation's calls in flight. There is no queue, so a call above the limit is
// refused at once.

package routed

import (
	"net/http"
	"time"

	"github.com/cometlock/cometlock/internal/api"
	"github.com/cometlock/cometlock/internal/apierror"
)

// limitRetryAfter is the delay after which a caller above its organisation's limit should
// retry. Calls of web services commonly take less.
const limitRetryAfter = time.Second

// admit counts a call for the organisation that owns its key, and returns a function that releases
// it, or a refusal when the organisation is at its limit. Calls without a known key are checked
// later, by their route.
func (r *Router) admit(header http.Header) (release func(), refusal *apierror.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	organisation, found := r.snapshot.OrganisationByKey(api.BearerKey(header))
	if !found {
		return func() {}, nil
	}
	name := organisation.Name
	if r.inFlight[name] >= organisation.MaxInFlight {
		return nil, apierror.TooManyRequests("organisation_limit", limitRetryAfter, "the organisation has %d calls in flight, its limit", organisation.MaxInFlight)
	}
	r.inFlight[name]++
	return func() { r.release(name) }, nil
}

func (r *Router) release(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[organisation]--; r.inFlight[organisation] == 0 {
		delete(r.inFlight, organisation)
	}
}
