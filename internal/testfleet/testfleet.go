// Package testfleet runs a small fleet inside a test: stand-ins for everything
// outside, and entry boxes that talk to them and to each other over loopback.
package testfleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boxlist"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/daemon"
	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/settings"
	"github.com/cometlock/cometlock/internal/standins"
)

// The organisations of examples/local.yaml and their keys.
const (
	KeyNordlys = "sk-fjordlinje-demo"
	KeyLot     = "sk-lot-demo"
)

// Config sets up a Fleet.
type Config struct {
	// Engine is the behaviour of every engine.
	Engine fakeengine.Config
	// Zones is the zone of each entry box to start.
	Zones []string
	// EditConfig alters the configuration before it is applied.
	EditConfig func(*config.File)
	// File is the configuration file; empty is the sample one, as seen from a
	// package of internal/.
	File string
	// NoConfig leaves the log without any configuration.
	NoConfig bool
	// LogOutput takes the boxes' logs; nil drops them.
	LogOutput io.Writer
	// EditSettings alters the settings of every box.
	EditSettings func(*settings.Settings)
}

// Fleet is a running fleet.
type Fleet struct {
	cfg    Config
	set    *standins.Set
	logger zerolog.Logger

	mu    sync.Mutex
	boxes []*Box
}

// Box is one running entry box.
type Box struct {
	*daemon.Daemon
	cancel context.CancelFunc
	ended  chan struct{}
	err    error
}

// answerKey is the key that all boxes authenticate answer names with.
var answerKey = []byte("0123456789abcdef0123456789abcdef")

// Start starts a fleet with the sample configuration.
func Start(cfg Config) (*Fleet, error) {
	if cfg.File == "" {
		cfg.File = "../../examples/local.yaml"
	}
	source, err := os.ReadFile(cfg.File)
	if err != nil {
		return nil, err
	}
	file, err := config.Parse(source)
	if err != nil {
		return nil, err
	}
	if cfg.EditConfig != nil {
		cfg.EditConfig(file)
	}
	set, err := standins.Start(standins.Config{File: file, AnyPort: true, Engine: cfg.Engine})
	if err != nil {
		return nil, err
	}
	f := &Fleet{cfg: cfg, set: set, logger: zerolog.Nop()}
	if cfg.LogOutput != nil {
		f.logger = zerolog.New(zerolog.ConsoleWriter{Out: cfg.LogOutput, NoColor: true})
	}
	if !cfg.NoConfig {
		if _, err := f.Apply(file); err != nil {
			f.Close()
			return nil, err
		}
	}
	for _, zone := range cfg.Zones {
		if _, err := f.AddBox(zone); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Apply puts a file into force.
func (f *Fleet) Apply(file *config.File) (int64, error) {
	return configlog.Apply(context.Background(), configlog.ApplyConfig{Log: f.set.Log(), ApplyID: uuid.NewString(), ReadBackTimeout: 5 * time.Second}, file)
}

// AddBox starts one more entry box.
func (f *Fleet) AddBox(zone string) (*Box, error) { return f.addBox(zone, f.set.LogAddress()) }

// nowhere is an address at which nothing listens.
const nowhere = "127.0.0.1:1"

// AddBoxWithoutLog starts an entry box that is cut off from the log.
func (f *Fleet) AddBoxWithoutLog(zone string) (*Box, error) { return f.addBox(zone, nowhere) }

func (f *Fleet) addBox(zone, logAddress string) (*Box, error) {
	f.mu.Lock()
	name := fmt.Sprintf("box-%d", len(f.boxes)+1)
	f.mu.Unlock()
	cfg := settings.Settings{
		Box: name, Zone: zone, Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0",
		Log: logAddress, BoxList: f.set.BoxListAddress(), AnswerKeys: [][]byte{answerKey},
		LogRetention: 24 * time.Hour, StopTimeout: time.Minute, RingCapacity: 1024,
	}
	if f.cfg.EditSettings != nil {
		f.cfg.EditSettings(&cfg)
	}
	started, err := daemon.New(cfg, f.logger)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	box := &Box{Daemon: started, cancel: cancel, ended: make(chan struct{})}
	go box.run(ctx)
	f.set.Boxes().Add(boxlist.Box{
		Name: name, Zone: zone, Peer: started.PeerAddress(), Admin: started.AdminAddress(), Caller: started.CallerAddress(),
	})
	f.mu.Lock()
	f.boxes = append(f.boxes, box)
	f.mu.Unlock()
	return box, nil
}

func (b *Box) run(ctx context.Context) {
	defer close(b.ended)
	b.err = b.Run(ctx)
}

// Stop begins a planned stop, as SIGTERM does.
func (b *Box) Stop() { b.cancel() }

// Kill ends the box as a crash does: no port answers and no duty goes on.
func (b *Box) Kill() { b.Abort() }

// Wait waits for the end of a planned stop.
func (b *Box) Wait() error {
	select {
	case <-b.ended:
		return b.err
	case <-time.After(time.Minute):
		return errors.New("the box did not stop within a minute")
	}
}

// Set gives the stand-ins.
func (f *Fleet) StandIns() *standins.Set { return f.set }

// Box gives a box by the order of its start, from 0.
func (f *Fleet) Box(i int) *Box {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boxes[i]
}

// Close stops everything.
func (f *Fleet) Close() {
	f.mu.Lock()
	boxes := f.boxes
	f.mu.Unlock()
	for _, box := range boxes {
		box.Stop()
	}
	for _, box := range boxes {
		<-box.ended
	}
	f.set.Close()
}

// Call is one HTTP call of a box.
type Call struct {
	Method string // POST where there is a body, else GET
	Host   string // the box's address where empty
	Path   string
	Key    string // KeyNordlys where empty
	Body   string
	Header map[string]string
}

// Response is the answer to a call.
type Response struct {
	Status int
	Header http.Header
	Body   string
	// Broken says that the body broke off.
	Broken bool
}

// client keeps no connections, so that a test's end leaves none behind.
var client = &http.Client{Timeout: time.Minute, Transport: &http.Transport{DisableKeepAlives: true}}

// Do makes a call of the box and reads the whole answer.
func (b *Box) Do(call Call) (Response, error) {
	response, err := b.Send(context.Background(), call)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: string(body), Broken: err != nil}, nil
}

// Send makes a call and leaves its answer to be read.
func (b *Box) Send(ctx context.Context, call Call) (*http.Response, error) {
	if call.Method == "" {
		call.Method = http.MethodGet
		if call.Body != "" {
			call.Method = http.MethodPost
		}
	}
	if call.Key == "" {
		call.Key = KeyNordlys
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+b.CallerAddress()+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	request.Host = call.Host
	request.Header.Set("Authorization", "Bearer "+call.Key)
	for name, value := range call.Header {
		request.Header.Set(name, value)
	}
	return client.Do(request)
}

// EventData gives the data of the events of a stream, one a line, without the
// event that ends it.
func EventData(body string) []string {
	var data []string
	for line := range strings.SplitSeq(body, "\n") {
		if text, ok := strings.CutPrefix(line, "data: "); ok && text != "[DONE]" {
			data = append(data, text)
		}
	}
	return data
}

// IsComplete reports whether a stream came to its end.
func IsComplete(body string) bool { return strings.HasSuffix(body, "data: [DONE]\n\n") }
