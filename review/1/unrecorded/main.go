// The command unrecorded plays one case on the loopback interface: streams begin at a second software version
// while the platform's store is down, and all entry boxes are killed before it is back. It starts a store,
// runners of two versions and entry boxes, lets callers take their streams up again, and counts the streams
// with events of both versions.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/platform/standin"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// The case. Times are counted from the start of the outage.
const (
	oldRunners, newRunners = 2, 6
	firstStreamAt          = 2 * time.Second
	streamCount            = 48
	streamInterval         = 40 * time.Millisecond
	killAt                 = 4200 * time.Millisecond
	outage                 = 4500 * time.Millisecond
	downTime               = 1100 * time.Millisecond
	// deadline is how long a caller waits, and events are the events of a stream, one each interval.
	deadline       = 10 * time.Second
	events         = 100
	interval       = 60 * time.Millisecond
	allowedStreams = 2
)

// retryAfter has the pauses before a caller's further tries.
var retryAfter = []time.Duration{100 * time.Millisecond, 900 * time.Millisecond, time.Second, time.Second, time.Second}

var zones = []string{"oslo-hall-a", "oslo-hall-b", "oslo-hall-c"}

type box struct {
	name, zone, ip, settings, log string
	process                       *exec.Cmd
}

type trial struct {
	program string
	dir     string
	store   *standin.Store
	// hidden is a store that no box reads: the stand-ins of runners write their own entries there.
	hidden *standin.Store
	boxes  []*box
	began  time.Time

	mu     sync.Mutex
	record *os.File
}

func main() {
	code, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "unrecorded:", err)
		code = exitNotRun
	}
	os.Exit(code)
}

// run plays the case. Without trouble ("0") there is no disruption, with "kill" the store stays up.
func run(program, recordPath, trouble string) (int, error) {
	dir, err := os.MkdirTemp("", "unrecorded-")
	if err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(recordPath)
	if err != nil {
		return exitNotRun, err
	}
	defer record.Close()
	t := &trial{program: program, dir: dir, record: record, began: time.Now()}
	defer t.stop()
	if err := t.start(); err != nil {
		return exitNotRun, err
	}
	if !t.await(20*time.Second, t.allReady) || !t.await(20*time.Second, t.hasBaseVersion) {
		return exitNotRun, fmt.Errorf("the boxes are not ready")
	}
	for i := range newRunners {
		if err := t.startRunner(fmt.Sprintf("i-new-%d", i), zones[i%len(zones)], "v2"); err != nil {
			return exitNotRun, err
		}
	}
	t.logf("%d runners of v2 serve beside %d of v1", newRunners, oldRunners)
	time.Sleep(6 * time.Second)
	return t.play(trouble)
}

// play sends the streams, and disturbs them.
func (t *trial) play(trouble string) (int, error) {
	start := time.Now()
	var work sync.WaitGroup
	var restartErr error
	if trouble != "0" && trouble != "kill" {
		t.logf("the store is down for %v: it answers 503", outage)
		t.store.Log.Underlying().SetFaults(fakelog.Faults{Down: true})
		work.Go(func() {
			time.Sleep(time.Until(start.Add(outage)))
			t.store.Log.Underlying().SetFaults(fakelog.Faults{})
			t.logf("the store is back")
		})
	}
	if trouble != "0" {
		work.Go(func() {
			time.Sleep(time.Until(start.Add(killAt)))
			t.killAll()
			time.Sleep(downTime)
			restartErr = t.startAll()
		})
	}
	results := make([]stream, streamCount)
	for i := range results {
		work.Go(func() {
			time.Sleep(time.Until(start.Add(firstStreamAt + time.Duration(i)*streamInterval)))
			results[i] = t.sendStream(i)
		})
	}
	work.Wait()
	if restartErr != nil {
		return exitNotRun, restartErr
	}
	return t.judge(results), nil
}

func (t *trial) judge(results []stream) int {
	mixed, complete, resumed := 0, 0, 0
	for _, s := range results {
		if len(s.versions) > 1 {
			mixed++
		}
		if s.complete {
			complete++
		}
		if s.resumed {
			resumed++
		}
		t.logf("%s: events of %s, last event %d, taken up again %v, complete %v", s.id, strings.Join(s.versions, " and then of "), s.last, s.resumed, s.complete)
	}
	t.logf("%d streams, %d complete, %d taken up again, %d with events of two software versions (%d allowed)", len(results), complete, resumed, mixed, allowedStreams)
	if complete == 0 {
		t.logf("result: not run, since no stream was served")
		return exitNotRun
	}
	if mixed > allowedStreams {
		t.logf("result: the rule ORDER was broken")
		return exitBroken
	}
	t.logf("result: the rule ORDER held")
	return exitHeld
}

// stream is what a caller got of one stream.
type stream struct {
	id                string
	versions          []string
	last              int
	resumed, complete bool
}

// sendStream sends a stream, and takes it up again where it breaks off, as callers do.
func (t *trial) sendStream(number int) stream {
	s := stream{id: fmt.Sprintf("%x", 0x5f000000+number)}
	end := time.Now().Add(deadline)
	pace := standin.Pace{Events: events, Interval: interval}
	began := ""
	for try := 0; ; try++ {
		call := standin.Call{Kind: standin.CallStream, ID: s.id, Key: "key-north", Timeout: time.Until(end)}
		if try > 0 {
			call.ID = fmt.Sprintf("%s%02x", s.id, try)
		}
		if began != "" {
			call.Resumes, call.ResumeAfter = began, s.last
		}
		to := t.boxes[(number+try)%len(t.boxes)]
		client := &http.Client{Transport: &http.Transport{}}
		result := standin.Send(context.Background(), client, to.ip+":8564", call, pace)
		client.CloseIdleConnections()
		t.logf("%s: try %d as %s at %s: status %d, last event %d of %v, error %v", s.id, try+1, call.ID, to.name, result.Status, result.LastEvent, result.Versions, result.Err)
		if result.LastEvent > s.last {
			s.last = result.LastEvent
			if began == "" {
				began = call.ID
			} else {
				s.resumed = true
			}
		}
		for _, version := range result.Versions {
			if !slices.Contains(s.versions, version) {
				s.versions = append(s.versions, version)
			}
		}
		s.complete = s.last == events
		if s.complete || try == len(retryAfter) || time.Until(end) < retryAfter[try]+100*time.Millisecond {
			return s
		}
		time.Sleep(retryAfter[try])
	}
}

// logf adds a line to the record.
func (t *trial) logf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.record, "%8.3f s  %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
}

func (t *trial) await(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

func (t *trial) start() error {
	var err error
	if t.store, err = standin.StartStore(); err != nil {
		return err
	}
	if t.hidden, err = standin.StartStore(); err != nil {
		return err
	}
	for i := range oldRunners {
		if err := t.startRunner(fmt.Sprintf("i-old-%d", i), zones[i], "v1"); err != nil {
			return err
		}
	}
	t.store.Log.Put(sharedlog.Operator, "config", configuration())
	t.store.Log.Put(sharedlog.Operator, "version/m", []byte(`{"model":"m","version":1}`))
	network := fmt.Sprintf("127.%d.%d", 60+os.Getpid()%100, 1+os.Getpid()/100%250)
	for i, zone := range zones {
		b := &box{name: "edge-" + zone + "-1", zone: zone, ip: fmt.Sprintf("%s.%d", network, 11+i)}
		b.settings, b.log = filepath.Join(t.dir, b.name+".conf"), filepath.Join(t.dir, b.name+".log")
		if err := os.WriteFile(b.settings, t.settings(b), 0o600); err != nil {
			return err
		}
		t.boxes = append(t.boxes, b)
	}
	return t.startAll()
}

// startRunner starts a runner of a software version, and writes its entry.
func (t *trial) startRunner(id, zone, version string) error {
	server, err := t.hidden.StartServer(id, "engines", 1)
	if err != nil {
		return err
	}
	server.SetPace(standin.Pace{Events: events, Interval: interval})
	server.SetSoftware(version)
	entry, err := json.Marshal(map[string]any{
		"service": "engines", "address": server.Address, "zone": zone, "version": version, "slots": 32, "state": "ready", "coldRemainingMs": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1}}, "sequence": 1,
	})
	if err != nil {
		return err
	}
	t.store.Log.Insert(sharedlog.Servers, id, entry)
	return nil
}

func configuration() []byte {
	value, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "review", "host": standin.Host, "pathPrefix": "/stream/", "kind": "streaming", "timeoutMs": deadline.Milliseconds(),
			"targetLatencyMs": 800, "priority": 1, "service": "engines", "maxAttempts": 2, "resumable": true, "gap_aim_ms": 500,
		}},
		"services": []any{map[string]any{
			"name": "engines", "healthCheckPath": "/health", "maxConnections": 240,
			"engine": map[string]any{"slots": 32, "kvCapacityTokens": 87295, "kvTokenBytes": 18432, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "north", "apiKeys": []string{"key-north"}}},
	})
	if err != nil {
		panic(err) // plain data
	}
	return value
}

func (t *trial) settings(b *box) []byte {
	return []byte(strings.Join([]string{
		"nodeName=" + b.name, "role=entry", "machineClass=edge", "serves=edge", "ip=" + b.ip, "zone=" + b.zone, "region=oslo",
		"zones.oslo-hall-a=oslo", "zones.oslo-hall-b=oslo", "zones.oslo-hall-c=oslo", "zones.oslo-hall-d=oslo",
		"listen.front=" + b.ip + ":8564", "listen.ready=" + b.ip + ":8563", "internalPortRange=7740,7755", "bootstrap=false",
		"limits.cpuShare=0.4", "limits.cpuCores=1", "limits.memoryMb=284", "limits.maxFds=4100", "heartbeatMs=1200",
		"bounds.contactMs=3000", "bounds.drainTimeoutMs=2000", "bounds.gracePeriodS=8", "bounds.configApplyMs=2000",
		"bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=56", "bounds.fencingEnforced=false",
		"bounds.leaseMs=3000", "bounds.thawSlackMs=300", "bounds.versionMs=12000", "bounds.versionAllMs=17000",
		"platform.address=" + t.store.Address, "platform.form=log", "platform.append_ms=4.0",
	}, "\n"))
}

// startAll starts the processes of the boxes.
func (t *trial) startAll() error {
	for _, b := range t.boxes {
		output, err := os.OpenFile(b.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		process := exec.Command(t.program, "--metrics", b.ip+":9102")
		process.Env = []string{"COMETLOCK_SETTINGS=" + b.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		process.Stdout, process.Stderr = output, output
		if err := process.Start(); err != nil {
			return err
		}
		b.process = process
	}
	t.logf("all boxes start")
	return nil
}

// killAll kills the processes of the boxes at once.
func (t *trial) killAll() {
	t.logf("all boxes are killed")
	for _, b := range t.boxes {
		if b.process != nil {
			_ = b.process.Process.Signal(syscall.SIGKILL) // fails only if it has ended
		}
	}
	for _, b := range t.boxes {
		if b.process != nil {
			_ = b.process.Wait() // reports the signal
		}
	}
}

func (t *trial) stop() {
	t.killAll()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, b := range t.boxes {
			if data, err := os.ReadFile(b.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, b.name+".log"), data, 0o600)
			}
		}
	}
}

func (t *trial) allReady() bool {
	client := http.Client{Timeout: time.Second}
	for _, b := range t.boxes {
		response, err := client.Get("http://" + b.ip + ":8563/-/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close() // the status is all that it says
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// hasBaseVersion reports whether the boxes have recorded the version of the runners so far.
func (t *trial) hasBaseVersion() bool {
	page, err := t.store.Log.NewestPage(context.Background(), sharedlog.BaseVersions, "")
	return err == nil && len(page.Records) > 0
}
