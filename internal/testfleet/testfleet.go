// Package testfleet runs a small fleet in the process of a test: stand-ins for all
// external systems, and entry boxes that connect to them and to each other over
// loopback.
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

// API keys of the organisations in examples/local.yaml.
const (
	KeyNordlys = "sk-fjordlinje-demo"
	KeyLot     = "sk-lot-demo"
)

// Config configures a Fleet.
type Config struct {
	// Engine configures every engine.
	Engine fakeengine.Config
	// Zones has the zone of each entry box to start.
	Zones []string
	// EditConfig changes the configuration before it is applied.
	EditConfig func(*config.File)
	// File is the path of the configuration file; the default is that of
	// examples/local.yaml, relative to a package of internal/.
	File string
	// NoConfig starts the fleet without a configuration in the log.
	NoConfig bool
	// LogOutput receives the log output of the boxes; nil discards it.
	LogOutput io.Writer
	// EditSettings changes the settings of every box before it starts.
	EditSettings func(*settings.Settings)
}

// Fleet is a running fleet.
type Fleet struct {
	cfg      Config
	standIns *standins.Set
	logger   zerolog.Logger

	mu    sync.Mutex
	boxes []*Box
}

// Box is a running entry box.
type Box struct {
	*daemon.Daemon
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// answerKey is the key with which all boxes authenticate answer IDs.
var answerKey = []byte("0123456789abcdef0123456789abcdef")

// Start starts a fleet.
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
	standIns, err := standins.Start(standins.Config{File: file, AnyPort: true, Engine: cfg.Engine})
	if err != nil {
		return nil, err
	}
	f := &Fleet{cfg: cfg, standIns: standIns, logger: zerolog.Nop()}
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

// Apply applies a configuration file and returns its version.
func (f *Fleet) Apply(file *config.File) (int64, error) {
	return configlog.Apply(context.Background(), configlog.ApplyConfig{Log: f.standIns.Log(), ApplyID: uuid.NewString(), ReadBackTimeout: 5 * time.Second}, file)
}

// AddBox starts one more entry box.
func (f *Fleet) AddBox(zone string) (*Box, error) { return f.addBox(zone, f.standIns.LogAddress()) }

// closedAddress is an address at which nothing listens.
const closedAddress = "127.0.0.1:1"

// AddBoxWithoutLog starts an entry box that cannot reach the log.
func (f *Fleet) AddBoxWithoutLog(zone string) (*Box, error) { return f.addBox(zone, closedAddress) }

func (f *Fleet) addBox(zone, logAddress string) (*Box, error) {
	f.mu.Lock()
	name := fmt.Sprintf("box-%d", len(f.boxes)+1)
	f.mu.Unlock()
	cfg := settings.Settings{
		Box: name, Zone: zone, Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0",
		Log: logAddress, BoxList: f.standIns.BoxListAddress(), AnswerKeys: [][]byte{answerKey},
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
	box := &Box{Daemon: started, cancel: cancel, done: make(chan struct{})}
	go box.run(ctx)
	f.standIns.Boxes().Add(boxlist.Box{
		Name: name, Zone: zone, Peer: started.PeerAddress(), Admin: started.AdminAddress(), Caller: started.CallerAddress(),
	})
	f.mu.Lock()
	f.boxes = append(f.boxes, box)
	f.mu.Unlock()
	return box, nil
}

func (b *Box) run(ctx context.Context) {
	defer close(b.done)
	b.err = b.Run(ctx)
}

// Stop starts a graceful stop, as SIGTERM does.
func (b *Box) Stop() { b.cancel() }

// Kill stops the box like a crash: it closes all ports and stops all work.
func (b *Box) Kill() { b.Abort() }

// Wait waits until a graceful stop has finished.
func (b *Box) Wait() error {
	select {
	case <-b.done:
		return b.err
	case <-time.After(time.Minute):
		return errors.New("the box did not stop within a minute")
	}
}

// StandIns returns the stand-ins.
func (f *Fleet) StandIns() *standins.Set { return f.standIns }

// Box returns the i-th box that was started, from 0.
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
		<-box.done
	}
	f.standIns.Close()
}

// Call is an HTTP request to a box.
type Call struct {
	Method string // default: POST with a body, else GET
	Host   string // default: the box's address
	Path   string
	Key    string // default: KeyNordlys
	Body   string
	Header map[string]string
}

// Response is the response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   string
	// Broken reports whether the body ended early.
	Broken bool
}

// client keeps no idle connections, so that none are left at the end of a test.
var client = &http.Client{Timeout: time.Minute, Transport: &http.Transport{DisableKeepAlives: true}}

// Do sends a call to the box and reads the whole response.
func (b *Box) Do(call Call) (Response, error) {
	response, err := b.Send(context.Background(), call)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: string(body), Broken: err != nil}, nil
}

// Send sends a call to the box. The caller reads and closes the response body.
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

// EventData returns the data of each event of a stream, without the [DONE] event.
func EventData(body string) []string {
	var data []string
	for line := range strings.SplitSeq(body, "\n") {
		if text, ok := strings.CutPrefix(line, "data: "); ok && text != "[DONE]" {
			data = append(data, text)
		}
	}
	return data
}

// IsComplete reports whether a stream ends with the [DONE] event.
func IsComplete(body string) bool { return strings.HasSuffix(body, "data: [DONE]\n\n") }
