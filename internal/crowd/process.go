// Running a program of the system as a process with limits, and reading what it uses from /proc.

package crowd

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// Build builds programs of the system into a directory, without the race detector, which multiplies the
// memory of a process.
func Build(dir string, programs ...string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, program := range programs {
		args = append(args, "github.com/cometlock/cometlock/cmd/"+program)
	}
	if output, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return merry.Errorf("go build: %s: %s", err.Error(), output)
	}
	return nil
}

// ProcessConfig configures a process.
type ProcessConfig struct {
	Path string
	Args []string
	// Env is added to the environment of the test.
	Env []string
	// Descriptors is the limit of open files.
	Descriptors int
}

// Process is a running program.
type Process struct {
	command *exec.Cmd
	ended   chan struct{}

	mu     sync.Mutex
	output bytes.Buffer
}

// Start starts a process.
func Start(cfg ProcessConfig) (*Process, error) {
	limited := append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, cfg.Descriptors), cfg.Path}, cfg.Args...)
	p := &Process{command: exec.Command("sh", limited...), ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), cfg.Env...)
	p.command.Stdout, p.command.Stderr = p, p
	if err := p.command.Start(); err != nil {
		return nil, merry.Wrap(err)
	}
	go p.run()
	return p, nil
}

// run waits for the end of the process.
func (p *Process) run() {
	defer close(p.ended)
	_ = p.command.Wait() // Output has the reason
}

// Write implements io.Writer for the output of the process.
func (p *Process) Write(lines []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(lines)
}

// Output returns what the process has written.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// IsRunning reports whether the process has not ended.
func (p *Process) IsRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// peakMemory returns the largest resident memory of the process since its start, in bytes.
func (p *Process) peakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, merry.Wrap(err)
	}
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, errors.New("no VmHWM of the process")
}

// openDescriptors returns the number of open descriptors of the process.
func (p *Process) openDescriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries), err
}

const (
	// idleInterval is the time between two readings of the processor time, maxIdleTicks what a process without
	// work may use of it in between, in ticks of the kernel, and idleReadings how many in a row must show that.
	idleInterval = 100 * time.Millisecond
	maxIdleTicks = 2
	idleReadings = 4
	// maxIdleWait bounds the wait. A crowd that connects again and again leaves no idle time.
	maxIdleWait = 20 * time.Second
)

// AwaitIdle waits until the process has handled what it has received.
func (p *Process) AwaitIdle() {
	last, idle := int64(0), 0
	for end := time.Now().Add(maxIdleWait); idle < idleReadings && time.Now().Before(end) && p.IsRunning(); {
		ticks, err := p.processorTicks()
		if err != nil {
			return // Check reports it
		}
		idle++
		if ticks-last > maxIdleTicks {
			idle = 0
		}
		last = ticks
		time.Sleep(idleInterval)
	}
}

// processorTicks returns the processor time that the process has used.
func (p *Process) processorTicks() (int64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, merry.Wrap(err)
	}
	// The fields after the name, which may contain spaces, begin with the third one.
	const userTime, systemTime, firstField = 14, 15, 3
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTime-firstField {
		return 0, merry.Errorf("unexpected content of stat: %q", stat)
	}
	user, userErr := strconv.ParseInt(fields[userTime-firstField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemTime-firstField], 10, 64)
	return user + system, errors.Join(userErr, systemErr)
}

// Bounds are the limits of a process.
type Bounds struct {
	Memory      int64
	Descriptors int
}

// Check returns an error if the process has ended or uses more than the bounds allow.
func (p *Process) Check(bounds Bounds) error {
	if !p.IsRunning() {
		return merry.Errorf("the process has ended: %s", p.lastOutput())
	}
	memory, descriptors, err := p.usage()
	if err != nil {
		return err
	}
	if memory > bounds.Memory || descriptors > bounds.Descriptors {
		return merry.Errorf("%s; at most %d MB and %d descriptors", p.Usage(), bounds.Memory>>20, bounds.Descriptors)
	}
	return nil
}

// Usage describes the peak memory and the open descriptors of the process.
func (p *Process) Usage() string {
	memory, descriptors, err := p.usage()
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("peak memory %d MB, %d descriptors", memory>>20, descriptors)
}

func (p *Process) usage() (memory int64, descriptors int, err error) {
	if memory, err = p.peakMemory(); err != nil {
		return 0, 0, err
	}
	descriptors, err = p.openDescriptors()
	return memory, descriptors, merry.Wrap(err)
}

// lastOutputBytes bounds the output in an error.
const lastOutputBytes = 2000

func (p *Process) lastOutput() string {
	output := p.Output()
	return output[max(0, len(output)-lastOutputBytes):]
}

// stopTimeout is the time that a process has to stop after SIGTERM before it is killed.
const stopTimeout = 2 * time.Second

// Stop ends the process.
func (p *Process) Stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM) // fails only if it has ended
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill() // likewise
		<-p.ended
	}
}
