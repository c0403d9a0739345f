// Package suspendtest plays a machine that is suspended: the runtime's clock, which tests
// pause, stands still while the boot clock goes on.
package suspendtest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Machine is the machine that a test's process believes to run on.
type Machine struct{ suspended atomic.Int64 }

// New makes one that has not been suspended, until the test ends. Tests that use it do not run
// beside others of their package.
func New(t testing.TB) *Machine {
	t.Helper()
	m := &Machine{}
	t.Cleanup(boottime.FakeSuspension(func() time.Duration { return time.Duration(m.suspended.Load()) }))
	return m
}

// Suspend has the machine be suspended for a time; nothing runs meanwhile.
func (m *Machine) Suspend(length time.Duration) { m.suspended.Add(int64(length)) }
