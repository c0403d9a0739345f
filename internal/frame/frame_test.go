package frame_test

import (
	"bytes"
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/frame"
)

type word struct {
	Box   string
	Calls []int
}

// most bounds the messages of these tests.
const most = 1 << 20

func encoded(g *WithT, message word) []byte {
	whole, err := frame.Encode(&message)
	g.Expect(err).NotTo(HaveOccurred())
	return whole
}

func TestMessagesComeAsTheyWereSent(t *testing.T) {
	g := NewWithT(t)
	long := word{"b", make([]int, 200_000)}
	wire := bytes.NewReader(append(encoded(g, word{"a", []int{1, 2}}), encoded(g, long)...))
	var got word
	g.Expect(frame.Read(wire, &got, most)).To(Succeed())
	g.Expect(got).To(Equal(word{"a", []int{1, 2}}))
	g.Expect(frame.Read(wire, &got, most)).To(Succeed())
	g.Expect(got).To(Equal(long))
	g.Expect(frame.Read(wire, &got, most)).To(MatchError(io.EOF))
}

func TestWhatIsNoWholeMessageIsAnError(t *testing.T) {
	g := NewWithT(t)
	whole := encoded(g, word{"a", []int{1}})
	tests := []struct {
		name  string
		bytes []byte
	}{
		{"nothing", nil},
		{"half a length", whole[:2]},
		{"half a message", whole[:len(whole)-1]},
		{"longer than any", []byte{0xff, 0xff, 0xff, 0xff}},
		{"a length alone", []byte{0, 0x0f, 0xff, 0xff}},
		{"no message", []byte{0, 0, 0, 2, 0xc1, 0xc1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(frame.Read(bytes.NewReader(test.bytes), &word{}, most)).NotTo(Succeed())
		})
	}
}

// A length is believed only as far as its bytes come: whoever sends one could otherwise have a
// small box take its whole memory.
func TestALengthAloneTakesLittleMemory(t *testing.T) {
	g := NewWithT(t)
	length := []byte{0x0f, 0xff, 0xff, 0xff} // 268 MB
	bytesEach := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			_ = frame.Read(bytes.NewReader(length), &word{}, 1<<30)
		}
	}).AllocedBytesPerOp()
	g.Expect(bytesEach).To(BeNumerically("<", 1<<20))
}
