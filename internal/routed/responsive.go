// Probes that check whether a server responds at all, however busy it is.

package routed

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cometlock/cometlock/internal/fleet"
)

// isResponsive reports whether a server answers a request that does nothing: OPTIONS * (RFC 9110,
// 9.3.7). Any status counts as an answer.
func (r *Router) isResponsive(ctx context.Context, server fleet.Server) bool {
	request := (&http.Request{
		Method: http.MethodOptions, URL: &url.URL{Scheme: "http", Host: server.Address, Opaque: "*"}, Header: http.Header{}, Close: true,
	}).WithContext(ctx)
	response, err := r.probeClient.Do(request)
	if err != nil {
		r.cfg.Logger.Debug().Str("server", server.Incarnation).Str("error", err.Error()).Msg("server_unresponsive")
		return false
	}
	_ = response.Body.Close() // the body is not needed
	return true
}
