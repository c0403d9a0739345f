// Package standins starts stand-ins for everything outside cometlock: the
// platform's log and list of boxes, and every backend server of a configuration
// file at the address the file gives it. It is for trying cometlock out and for
// tests; nothing of the product depends on it.
package standins

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/boxlist"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakeplatform"
	"github.com/cometlock/cometlock/internal/fakeservice"
)

// Config sets up a Set.
type Config struct {
	// File names the backend servers.
	File *config.File
	// LogAddress and BoxListAddress are where to serve the platform's parts;
	// an empty one is not served.
	LogAddress     string
	BoxListAddress string
	// Boxes are the entry boxes that the list knows.
	Boxes []boxlist.Box
	// BoxListLag is how far the list is behind.
	BoxListLag time.Duration
	// Engine is the model of every engine; weights and slots come from File.
	Engine fakeengine.Config
}

// Set is a running set of stand-ins.
type Set struct {
	log      *fakelog.Log
	engines  map[string]*fakeengine.Engine
	services map[string]*fakeservice.Service
	servers  []*http.Server
	stop     context.CancelFunc
}

// Start starts all stand-ins. They run until Close.
func Start(cfg Config) (*Set, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &Set{log: fakelog.New(), engines: map[string]*fakeengine.Engine{}, services: map[string]*fakeservice.Service{}, stop: stop}
	if err := s.start(ctx, cfg); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Set) start(ctx context.Context, cfg Config) error {
	if err := s.serve(cfg.LogAddress, s.log.Handler()); err != nil {
		return err
	}
	list := fakeplatform.New(max(cfg.BoxListLag, 100*time.Millisecond), cfg.Boxes)
	go list.Loop(ctx)
	if err := s.serve(cfg.BoxListAddress, list.Handler()); err != nil {
		return err
	}
	store := &fakeengine.WeightStore{Limit: cfg.File.WeightStore.ParallelLoads}
	for _, server := range cfg.File.BackendServers {
		if err := s.startServer(cfg, server, store); err != nil {
			return err
		}
	}
	return nil
}

func (s *Set) startServer(cfg Config, server config.BackendServer, store *fakeengine.WeightStore) error {
	switch server.Role {
	case config.RoleRunner:
		engineConfig := cfg.Engine
		engineConfig.Name, engineConfig.Slots, engineConfig.WeightStore = server.Name, server.Slots, store
		engineConfig.Weights = weightsOf(cfg.File, server)
		started := fakeengine.New(engineConfig)
		s.engines[server.Name] = started
		return s.serve(server.Address, started.Handler())
	case config.RolePlainService:
		started := fakeservice.New(server.Name)
		s.services[server.Name] = started
		return s.serve(server.Address, started.Handler())
	default:
		return nil
	}
}

func weightsOf(file *config.File, server config.BackendServer) []engine.LoadedWeights {
	var weights []engine.LoadedWeights
	for _, name := range server.Models {
		for _, model := range file.Models {
			if model.Name == name {
				weights = append(weights, engine.LoadedWeights{Model: name, Version: model.Weights})
			}
		}
	}
	return weights
}

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

func (s *Set) serve(address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Prepend(err, "start a stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with Close
	return nil
}

// Close ends all stand-ins.
func (s *Set) Close() {
	s.stop()
	for _, started := range s.engines {
		started.Close()
	}
	for _, server := range s.servers {
		_ = server.Close() // a stand-in has nothing to lose
	}
}

// Log gives the log.
func (s *Set) Log() *fakelog.Log { return s.log }

// Engine gives an engine by the name of its backend server.
func (s *Set) Engine(name string) *fakeengine.Engine { return s.engines[name] }

// Service gives a plain service by the name of its backend server.
func (s *Set) Service(name string) *fakeservice.Service { return s.services[name] }
