// Package admin implements the admin HTTP server of an entry box: metrics, health checks, the state dump,
// profiles, and the drain request.
package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/labstack/echo/v4"
)

// HeaderLeaving is set on every response of the admin server while the box drains.
const HeaderLeaving = "Cometlock-Leaving"

// Config configures a Server.
type Config struct {
	// Metrics serves the metrics.
	Metrics http.Handler
	// State returns the state dump.
	State func() any
	// UnreadyReason returns why the box is not ready for requests, or "" if it is ready.
	UnreadyReason func() string
	// Leaving reports whether the box is draining.
	Leaving func() bool
	// Drain starts a graceful shutdown.
	Drain func()
	// OperatorKey is the SHA-256 of the operators' key in hexadecimal. If it is empty, no key is
	// required.
	OperatorKey string
}

// Server serves requests of operators, probes and metrics collectors.
type Server struct {
	cfg Config
}

// New returns a server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Handler returns the handler with all routes. Health checks and metrics require no key: probes and
// collectors have none, and these responses contain nothing about callers.
func (s *Server) Handler() http.Handler {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.Use(s.markLeaving)
	router.GET("/live", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	router.GET("/ready", s.serveReady)
	router.GET("/metrics", echo.WrapHandler(s.cfg.Metrics))
	guarded := router.Group("", s.checkKey)
	guarded.GET("/debug/state", func(c echo.Context) error { return c.JSONPretty(http.StatusOK, s.cfg.State(), "  ") })
	guarded.POST("/drain", s.serveDrain)
	guarded.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	guarded.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	guarded.GET("/debug/pprof/symbol", echo.WrapHandler(http.HandlerFunc(pprof.Symbol)))
	guarded.GET("/debug/pprof/trace", echo.WrapHandler(http.HandlerFunc(pprof.Trace)))
	return router
}

func (s *Server) markLeaving(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.cfg.Leaving() {
			c.Response().Header().Set(HeaderLeaving, "true")
		}
		return next(c)
	}
}

func (s *Server) checkKey(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.cfg.OperatorKey == "" {
			return next(c)
		}
		key := strings.TrimPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		digest := hex.EncodeToString(sum[:])
		if subtle.ConstantTimeCompare([]byte(digest), []byte(strings.ToLower(s.cfg.OperatorKey))) != 1 {
			return c.String(http.StatusUnauthorized, "the operators' key is missing or wrong\n")
		}
		return next(c)
	}
}

func (s *Server) serveReady(c echo.Context) error {
	if reason := s.cfg.UnreadyReason(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) serveDrain(c echo.Context) error {
	s.cfg.Drain()
	return c.String(http.StatusAccepted, "draining\n")
}
