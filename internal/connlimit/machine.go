// The limits of the ports of an entry box, by the machine that it runs on.

package connlimit

import (
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// The fractions of the descriptors for the connections of callers, of other boxes, and of operators, balancers
// and collectors of metrics. The rest is for connections that the process opens itself, at least one for each
// call in progress.
const (
	callerDescriptors   = 0.4
	boxDescriptors      = 0.3
	operatorDescriptors = 0.02
	// minOperatorConnections leaves room for a few operators and collectors where descriptors are few.
	minOperatorConnections = 16
)

const (
	// connectionBytes is the memory of a connection: its goroutine and its buffers. callerConnectionBytes is that of
	// one with an unfinished request that does not count.
	connectionBytes       = 20 << 10
	callerConnectionBytes = connectionBytes + freeBytes
	// The fractions of the memory for the connections of the ports, and for unfinished requests of each. Boxes have
	// many connections that they rarely use.
	callerMemory   = 0.2
	boxMemory      = 0.15
	operatorMemory = 0.05
	requestMemory  = 0.06
	// minRequestBytes is more than the weight of the largest head with the shortest lines.
	minRequestBytes = 4 << 20
)

// Machine is what a process may use. Zero values mean no limit.
type Machine struct {
	MemoryBytes int64
	Descriptors int
}

// ThisMachine returns the memory of this machine, or that of the control group of the process if it is less, and
// the limit of open files.
func ThisMachine() Machine {
	var m Machine
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err == nil {
		m.MemoryBytes = int64(uint64(info.Totalram) * uint64(info.Unit))
	}
	if text, err := os.ReadFile("/sys/fs/cgroup/memory.max"); err == nil {
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && limit > 0 {
			m.MemoryBytes = min(m.MemoryBytes, limit)
		}
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil && files.Cur <= maxDescriptors {
		m.Descriptors = int(files.Cur)
	}
	return m
}

// maxDescriptors is the limit of open files from which on there is practically none.
const maxDescriptors = 1 << 30

// Within returns the machine with other limits where they are set and lower.
func (m Machine) Within(memoryBytes int64, descriptors int) Machine {
	if memoryBytes > 0 && (m.MemoryBytes <= 0 || memoryBytes < m.MemoryBytes) {
		m.MemoryBytes = memoryBytes
	}
	if descriptors > 0 && (m.Descriptors <= 0 || descriptors < m.Descriptors) {
		m.Descriptors = descriptors
	}
	return m
}

// Callers returns the limits of the ports for callers.
func (m Machine) Callers() Config {
	return m.share("callers", callerDescriptors, callerMemory/callerConnectionBytes)
}

// Boxes returns the limits of the ports for other boxes. maxMessageBytes is the largest message.
func (m Machine) Boxes(maxMessageBytes int64) Config {
	cfg := m.share("boxes", boxDescriptors, boxMemory/connectionBytes)
	if cfg.MaxRequestBytes > 0 {
		cfg.MaxRequestBytes = max(cfg.MaxRequestBytes, messageBytesPerByte*maxMessageBytes)
	}
	return cfg
}

// Operators returns the limits of the ports for operators, balancers and collectors of metrics.
func (m Machine) Operators() Config {
	cfg := m.share("operators", operatorDescriptors, operatorMemory/callerConnectionBytes)
	if cfg.MaxConnections > 0 {
		cfg.MaxConnections = max(cfg.MaxConnections, minOperatorConnections)
	}
	return cfg
}

// share returns limits of a fraction of the descriptors, or of a number of connections for each byte of memory if
// that is less.
func (m Machine) share(ports string, descriptors, perByte float64) Config {
	cfg := Config{Ports: ports, MaxConnections: int(descriptors * float64(m.Descriptors))}
	if m.MemoryBytes > 0 {
		byMemory := int(perByte * float64(m.MemoryBytes))
		if cfg.MaxConnections == 0 || byMemory < cfg.MaxConnections {
			cfg.MaxConnections = byMemory
		}
		cfg.MaxRequestBytes = max(int64(requestMemory*float64(m.MemoryBytes)), minRequestBytes)
	}
	return cfg
}
