// Package api is the caller's side of an entry box: the accept stage, which
// turns an HTTP request into a flow.Request, and the end of the way, where the
// answer is written.
//
// It speaks the OpenAI-compatible protocol, because callers have clients for
// it, and passes calls of plain services through. A request is read here, goes
// through the computing stages (package pipeline), is claimed if it must run
// at most once (package claim), and is then dispatched, relayed and settled on
// the goroutine that reads it.
package api

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cometlock/cometlock/internal/answerid"
	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/claim"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/dispatch"
	"github.com/cometlock/cometlock/internal/kept"
	"github.com/cometlock/cometlock/internal/pipeline"
	"github.com/cometlock/cometlock/internal/plainservice"
	"github.com/cometlock/cometlock/internal/relay"
	"github.com/cometlock/cometlock/internal/retrybudget"
	"github.com/cometlock/cometlock/internal/review"
	"github.com/cometlock/cometlock/internal/settle"
	"github.com/cometlock/cometlock/internal/zone"
)

// Config sets up a Server.
type Config struct {
	// Snapshot gives the configuration in force, or nil.
	Snapshot   func() *config.Snapshot
	Keys       answerid.Keys
	Pipeline   *pipeline.Pipeline
	Dispatcher *dispatch.Dispatcher
	Relay      *relay.Relay
	Settle     *settle.Stage
	Claims     *claim.Service
	Reviews    *review.Service
	Services   *plainservice.Client
	Zone       *zone.View
	Keeper     *kept.Offloader
	Budget     *retrybudget.Budget
	// BodyTimeout is how long a caller may take to send a body; 0 means 30 s.
	BodyTimeout time.Duration
}

// Server answers callers.
type Server struct {
	snapshot    func() *config.Snapshot
	keys        answerid.Keys
	pipeline    *pipeline.Pipeline
	dispatcher  *dispatch.Dispatcher
	relay       *relay.Relay
	settle      *settle.Stage
	claims      *claim.Service
	reviews     *review.Service
	services    *plainservice.Client
	zone        *zone.View
	keeper      *kept.Offloader
	budget      *retrybudget.Budget
	bodyTimeout time.Duration
	turn        atomic.Int64
}

// serverEntry shortens signatures.
type serverEntry = config.BackendServer

// New makes a server.
func New(cfg Config) *Server {
	if cfg.BodyTimeout == 0 {
		cfg.BodyTimeout = bodyTimeout
	}
	return &Server{
		snapshot: cfg.Snapshot, keys: cfg.Keys, pipeline: cfg.Pipeline, dispatcher: cfg.Dispatcher, relay: cfg.Relay,
		settle: cfg.Settle, claims: cfg.Claims, reviews: cfg.Reviews, services: cfg.Services, zone: cfg.Zone, keeper: cfg.Keeper, budget: cfg.Budget, bodyTimeout: cfg.BodyTimeout,
	}
}

// Handler gives the routes.
func (s *Server) Handler() http.Handler {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = handleRouteError
	router.POST("/v1/chat/completions", s.serveChat)
	router.POST("/v1/completions", s.serveCompletion)
	router.GET("/v1/models", s.serveModels)
	router.GET("/v1/answers/:id", s.serveAnswer)
	router.DELETE("/v1/answers/:id", s.serveCancelAnswer)
	router.POST("/v1/responses", s.serveCreateResponse)
	router.GET("/v1/responses/:id", s.serveGetResponse)
	router.POST("/v1/responses/:id/cancel", s.serveCancelResponse)
	router.DELETE("/v1/responses/:id", s.serveDeleteResponse)
	router.Any("/services/:name", s.serveService)
	router.Any("/services/:name/*", s.serveService)
	return router
}

// handleRouteError answers a request that no route takes.
func handleRouteError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := apierror.Missing("not_found", "there is nothing at this path")
	if httpError, ok := errors.AsType[*echo.HTTPError](err); ok && httpError.Code == http.StatusMethodNotAllowed {
		refusal = apierror.BadRequest("method_not_allowed", "this path does not take %s", c.Request().Method)
		refusal.Status = http.StatusMethodNotAllowed
	}
	WriteError(c.Response(), refusal)
}
