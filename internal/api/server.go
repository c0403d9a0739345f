// Package api is the HTTP server of an entry box: it parses HTTP requests into flow.Requests (the
// accept stage) and writes the responses.
//
// It implements an OpenAI-compatible API, because callers have clients for it, and proxies calls of
// plain services. A request is parsed here, passes through the computing stages (package pipeline),
// is claimed if it must run at most once (package claim), and is then dispatched, relayed and settled
// in the HTTP server's goroutine for the request.
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
	"github.com/cometlock/cometlock/internal/membudget"
	"github.com/cometlock/cometlock/internal/pipeline"
	"github.com/cometlock/cometlock/internal/plainservice"
	"github.com/cometlock/cometlock/internal/relay"
	"github.com/cometlock/cometlock/internal/retrybudget"
	"github.com/cometlock/cometlock/internal/review"
	"github.com/cometlock/cometlock/internal/settle"
	"github.com/cometlock/cometlock/internal/zone"
)

// Config is the configuration of a Server.
type Config struct {
	// Snapshot returns the current configuration, or nil if none has been loaded yet.
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
	Offloader  *kept.Offloader
	Budget     *retrybudget.Budget
	// Memory bounds the memory that calls hold; nil means that there is no bound.
	Memory *membudget.Budget
	// BodyTimeout bounds the time in which a caller sends the body; 0 means 30 s.
	BodyTimeout time.Duration
}

// Server serves the API.
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
	offloader   *kept.Offloader
	budget      *retrybudget.Budget
	memory      *membudget.Budget
	bodyTimeout time.Duration
	rotation    atomic.Int64
}

// serverEntry is a shorter name for config.BackendServer.
type serverEntry = config.BackendServer

// New creates a server.
func New(cfg Config) *Server {
	if cfg.BodyTimeout == 0 {
		cfg.BodyTimeout = bodyTimeout
	}
	if cfg.Memory == nil {
		cfg.Memory = membudget.New(membudget.Limits{})
	}
	return &Server{
		snapshot: cfg.Snapshot, keys: cfg.Keys, pipeline: cfg.Pipeline, dispatcher: cfg.Dispatcher, relay: cfg.Relay,
		settle: cfg.Settle, claims: cfg.Claims, reviews: cfg.Reviews, services: cfg.Services, zone: cfg.Zone, offloader: cfg.Offloader, budget: cfg.Budget, memory: cfg.Memory, bodyTimeout: cfg.BodyTimeout,
	}
}

// Handler returns the HTTP handler with all routes.
func (s *Server) Handler() http.Handler {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = s.handleRouteError
	router.Use(releaseMemory)
	router.POST("/v1/chat/completions", s.serveChat)
	router.POST("/v1/completions", s.serveCompletion)
	router.GET("/v1/models", s.serveModels, s.dropBody)
	router.GET("/v1/answers/:id", s.serveAnswer, s.dropBody)
	router.DELETE("/v1/answers/:id", s.serveCancelAnswer, s.dropBody)
	router.POST("/v1/responses", s.serveCreateResponse)
	router.GET("/v1/responses/:id", s.serveGetResponse, s.dropBody)
	router.POST("/v1/responses/:id/cancel", s.serveCancelResponse, s.dropBody)
	router.DELETE("/v1/responses/:id", s.serveDeleteResponse, s.dropBody)
	router.Any("/services/:name", s.serveService)
	router.Any("/services/:name/*", s.serveService)
	return router
}

// handleRouteError responds to a request that matches no route.
func (s *Server) handleRouteError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := apierror.NotFound("not_found", "there is nothing at this path")
	if httpError, ok := errors.AsType[*echo.HTTPError](err); ok && httpError.Code == http.StatusMethodNotAllowed {
		refusal = apierror.BadRequest("method_not_allowed", "this path does not take %s", c.Request().Method)
		refusal.Status = http.StatusMethodNotAllowed
	}
	s.drain(c.Response(), c.Request())
	WriteError(c.Response(), refusal)
}
