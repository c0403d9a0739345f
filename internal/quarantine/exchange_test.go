package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/safepack"
)

// Boxes of the previous program version reject a crash with a further field, and with it the whole message.
func TestBoxesOfThePreviousVersionExchangeCrashes(t *testing.T) {
	g := NewWithT(t)
	type previous struct {
		_msgpack struct{} `msgpack:",as_array"`

		Incarnation uint64
		Age         time.Duration
		Excused     bool
	}
	sent, err := msgpack.Marshal([]previous{{Incarnation: 1, Age: second}, {Incarnation: 2, Excused: true}})
	g.Expect(err).NotTo(HaveOccurred())
	var received []quarantine.CrashRecord
	g.Expect(safepack.Unmarshal(sent, &received)).To(Succeed())
	g.Expect(received).To(Equal([]quarantine.CrashRecord{{Incarnation: 1, Age: second}, {Incarnation: 2, Excused: true}}))

	sent, err = msgpack.Marshal([]quarantine.CrashRecord{{Incarnation: 1, Age: second, Running: 3 * second}, {Incarnation: 2, Excused: true}})
	g.Expect(err).NotTo(HaveOccurred())
	var old []previous
	g.Expect(safepack.Unmarshal(sent, &old)).To(Succeed())
	g.Expect(old).To(Equal([]previous{{Incarnation: 1, Age: second}, {Incarnation: 2, Excused: true}}))
}
