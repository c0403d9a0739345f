// Package standins starts stand-ins for all systems outside cometlock: the
// platform's log and list of boxes, and every backend server of a configuration
// file at its address in the file. It is for trials and tests of cometlock; no
// production code depends on it.
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

// Config configures a Set.
type Config struct {
	// File is the configuration with the backend servers.
	File *config.File
	// LogAddress and BoxListAddress are the addresses at which to serve the log and
	// the list of boxes; one with an empty address is not served.
	LogAddress     string
	BoxListAddress string
	// Boxes are the entry boxes in the list.
	Boxes []boxlist.Box
	// BoxListLag is the interval at which the list probes the boxes.
	BoxListLag time.Duration
	// Engine configures every engine; weights and slots come from File.
	Engine fakeengine.Config
	// AnyPort serves everything on free loopback ports and writes the addresses of
	// the backend servers into File, so that tests can run in parallel.
	AnyPort bool
}

// anyPort is the address that has the system choose a free port.
const anyPort = "127.0.0.1:0"

// Set is a running set of stand-ins.
type Set struct {
	file           *config.File
	log            *fakelog.Log
	list           *fakeplatform.List
	logAddress     string
	boxListAddress string
	engines        map[string]*fakeengine.Engine
	services       map[string]*fakeservice.Service
	weightStore    *fakeengine.WeightStore
	stores         map[string]*fakestore.Store
	servers        []*http.Server
	stop           context.CancelFunc
}

// Start starts all stand-ins, which run until Close.
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
	if s.logAddress, err = s.serve(cfg.LogAddress, s.log.Handler()); err != nil {
		return err
	}
	s.list = fakeplatform.New(max(cfg.BoxListLag, minBoxListLag), cfg.Boxes)
	go s.list.Loop(ctx)
	if s.boxListAddress, err = s.serve(cfg.BoxListAddress, s.list.Handler()); err != nil {
		return err
	}
	s.weightStore = &fakeengine.WeightStore{Limit: cfg.File.WeightStore.ParallelLoads}
	for i := range cfg.File.BackendServers {
		server := &cfg.File.BackendServers[i]
		if cfg.AnyPort {
			server.Address = anyPort
		}
		if server.Address, err = s.startServer(cfg, server, s.weightStore); err != nil {
			return err
		}
	}
	return nil
}

// minBoxListLag is the minimum interval between probes, so that the list does not
// probe the boxes all the time.
const minBoxListLag = 100 * time.Millisecond

// startServer starts the stand-in of a backend server and returns its address.
func (s *Set) startServer(cfg Config, server *config.BackendServer, weightStore *fakeengine.WeightStore) (string, error) {
	switch server.Role {
	case config.RoleRunner:
		engineConfig := cfg.Engine
		engineConfig.Name, engineConfig.Slots, engineConfig.WeightStore = server.Name, server.Slots, weightStore
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

// headerTimeout is the timeout for reading the header of a request.
const headerTimeout = 10 * time.Second

// serve serves a stand-in and returns its address.
func (s *Set) serve(address string, handler http.Handler) (string, error) {
	if address == "" {
		return "", nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", merry.Prepend(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }() // returns after Close
	return listener.Addr().String(), nil
}

// Close stops all stand-ins.
func (s *Set) Close() {
	s.stop()
	for _, started := range s.engines {
		started.Close()
	}
	for _, server := range s.servers {
		_ = server.Close() // stand-ins have no state to save
	}
}

// Log returns the log.
func (s *Set) Log() *fakelog.Log { return s.log }

// Engine returns an engine by the name of its backend server.
func (s *Set) Engine(name string) *fakeengine.Engine { return s.engines[name] }

// Service returns a plain service by the name of its backend server.
func (s *Set) Service(name string) *fakeservice.Service { return s.services[name] }

// File returns the configuration with the addresses of the stand-ins.
func (s *Set) File() *config.File { return s.file }

// Boxes returns the list of boxes.
func (s *Set) Boxes() *fakeplatform.List { return s.list }

// LogAddress returns the address of the log.
func (s *Set) LogAddress() string { return s.logAddress }

// BoxListAddress returns the address of the list of boxes.
func (s *Set) BoxListAddress() string { return s.boxListAddress }

// WeightStore returns the weight store that all engines share.
func (s *Set) WeightStore() *fakeengine.WeightStore { return s.weightStore }

// Store returns a store box by the name of its backend server.
func (s *Set) Store(name string) *fakestore.Store { return s.stores[name] }
