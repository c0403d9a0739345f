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
	"github.com/cometlock/cometlock/internal/fakestore"
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
	// AnyPort serves everything on ports of the system's choice and writes them
	// into File; tests use it to run beside each other.
	AnyPort bool
}

// anyPort asks the system for a free port.
const anyPort = "127.0.0.1:0"

// Set is a running set of stand-ins.
type Set struct {
	file     *config.File
	log      *fakelog.Log
	list     *fakeplatform.List
	logAt    string
	listAt   string
	engines  map[string]*fakeengine.Engine
	services map[string]*fakeservice.Service
	store    *fakeengine.WeightStore
	stores   map[string]*fakestore.Store
	servers  []*http.Server
	stop     context.CancelFunc
}

// Start starts all stand-ins. They run until Close.
func Start(cfg Config) (*Set, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &Set{file: cfg.File, log: fakelog.New(), engines: map[string]*fakeengine.Engine{}, services: map[string]*fakeservice.Service{}, stores: map[string]*fakestore.Store{}, stop: stop}
	if err := s.start(ctx, cfg); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Set) start(ctx context.Context, cfg Config) (err error) {
	if cfg.AnyPort {
		cfg.LogAddress, cfg.BoxListAddress = anyPort, anyPort
	}
	if s.logAt, err = s.serve(cfg.LogAddress, s.log.Handler()); err != nil {
		return err
	}
	s.list = fakeplatform.New(max(cfg.BoxListLag, minBoxListLag), cfg.Boxes)
	go s.list.Loop(ctx)
	if s.listAt, err = s.serve(cfg.BoxListAddress, s.list.Handler()); err != nil {
		return err
	}
	s.store = &fakeengine.WeightStore{Limit: cfg.File.WeightStore.ParallelLoads}
	for i := range cfg.File.BackendServers {
		server := &cfg.File.BackendServers[i]
		if cfg.AnyPort {
			server.Address = anyPort
		}
		if server.Address, err = s.startServer(cfg, server, s.store); err != nil {
			return err
		}
	}
	return nil
}

// minBoxListLag keeps the list from looking at the boxes all the time.
const minBoxListLag = 100 * time.Millisecond

// startServer starts the stand-in of a backend server and gives its address.
func (s *Set) startServer(cfg Config, server *config.BackendServer, store *fakeengine.WeightStore) (string, error) {
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
	case config.RoleStoreBox:
		started := fakestore.New(server.MemoryBytes)
		s.stores[server.Name] = started
		return s.serve(server.Address, started.Handler())
	default:
		return server.Address, nil
	}
}

func weightsOf(file *config.File, server *config.BackendServer) []engine.LoadedWeights {
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

// serve serves a stand-in and gives the address it has.
func (s *Set) serve(address string, handler http.Handler) (string, error) {
	if address == "" {
		return "", nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", merry.Prepend(err, "start a stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with Close
	return listener.Addr().String(), nil
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

// File gives the configuration with the addresses that the stand-ins have.
func (s *Set) File() *config.File { return s.file }

// Boxes gives the list of boxes.
func (s *Set) Boxes() *fakeplatform.List { return s.list }

// LogAddress gives where the log is served.
func (s *Set) LogAddress() string { return s.logAt }

// BoxListAddress gives where the list of boxes is served.
func (s *Set) BoxListAddress() string { return s.listAt }

// WeightStore gives the weight store that all engines share.
func (s *Set) WeightStore() *fakeengine.WeightStore { return s.store }

// Store gives a store box by the name of its backend server.
func (s *Set) Store(name string) *fakestore.Store { return s.stores[name] }
