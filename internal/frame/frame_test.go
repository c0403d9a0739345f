package frame_test

import (
	"bytes"
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/frame"
)

type testMessage struct {
	Box   string
	Calls []int
}

// maxBytes bounds the messages of these tests.
const maxBytes = 1 << 20

func encoded(g *WithT, message testMessage) []byte {
	whole, err := frame.Encode(&message)
	g.Expect(err).NotTo(HaveOccurred())
	return whole
}

func TestMessagesAreReadAsWritten(t *testing.T) {
	g := NewWithT(t)
	long := testMessage{"b", make([]int, 200_000)}
	wire := bytes.NewReader(append(encoded(g, testMessage{"a", []int{1, 2}}), encoded(g, long)...))
	var got testMessage
	g.Expect(frame.Read(wire, &got, maxBytes)).To(Succeed())
	g.Expect(got).To(Equal(testMessage{"a", []int{1, 2}}))
	g.Expect(frame.Read(wire, &got, maxBytes)).To(Succeed())
	g.Expect(got).To(Equal(long))
	g.Expect(frame.Read(wire, &got, maxBytes)).To(MatchError(io.EOF))
}

func TestAnIncompleteOrInvalidMessageIsAnError(t *testing.T) {
	g := NewWithT(t)
	whole := encoded(g, testMessage{"a", []int{1}})
	tests := []struct {
		name  string
		bytes []byte
	}{
		{"nothing", nil},
		{"a truncated length prefix", whole[:2]},
		{"a truncated message", whole[:len(whole)-1]},
		{"longer than the limit", []byte{0xff, 0xff, 0xff, 0xff}},
		{"a length prefix without a message", []byte{0, 0x0f, 0xff, 0xff}},
		{"invalid msgpack", []byte{0, 0, 0, 2, 0xc1, 0xc1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(frame.Read(bytes.NewReader(test.bytes), &testMessage{}, maxBytes)).NotTo(Succeed())
		})
	}
}

// Guards against a length prefix that makes a small box allocate all of its memory: memory is
// allocated only as the bytes of the message are received.
func TestALengthPrefixAloneAllocatesLittleMemory(t *testing.T) {
	g := NewWithT(t)
	length := []byte{0x0f, 0xff, 0xff, 0xff} // 268 MB
	bytesEach := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			_ = frame.Read(bytes.NewReader(length), &testMessage{}, 1<<30)
		}
	}).AllocedBytesPerOp()
	g.Expect(bytesEach).To(BeNumerically("<", 1<<20))
}
