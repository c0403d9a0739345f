// Package suspendtest simulates a machine that is suspended: the boot clock advances while the
// runtime's monotonic clock does not.
package suspendtest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Machine is the simulated machine of a test's process.
type Machine struct{ suspended atomic.Int64 }

// New simulates a machine that has not been suspended yet, until the test ends. The simulation
// affects the whole process, so tests that use it must not run in parallel with other tests of
// their package.
func New(t testing.TB) *Machine {
	t.Helper()
	m := &Machine{}
	t.Cleanup(boottime.FakeSuspension(func() time.Duration { return time.Duration(m.suspended.Load()) }))
	return m
}

// Suspend simulates a suspension of a given length, during which nothing runs.
func (m *Machine) Suspend(length time.Duration) { m.suspended.Add(int64(length)) }
