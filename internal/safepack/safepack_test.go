package safepack

import (
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

type message struct {
	Name string    `msgpack:"n"`
	At   time.Time `msgpack:"a"`
}

func TestUnmarshalReturnsWhatWasMarshalled(t *testing.T) {
	g := NewWithT(t)
	data, err := msgpack.Marshal(message{"one", time.Unix(5, 0)})
	g.Expect(err).NotTo(HaveOccurred())
	var read message
	g.Expect(Unmarshal(data, &read)).To(Succeed())
	g.Expect(read.Name).To(Equal("one"))
	g.Expect(read.At.Equal(time.Unix(5, 0))).To(BeTrue())
}

func TestBytesThatDoNotMatchTheTypeAreAnError(t *testing.T) {
	tests := []struct {
		name string
		data []byte
	}{
		{"nothing", nil},
		{"a truncated value", []byte{0x82, 0xa1, 'n'}},
		{"a number for the name", []byte{0x81, 0xa1, 'n', 0x01}},
		{"nil for the time, on which the library panics", []byte{0x81, 0xa1, 'a', 0xc0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var read message
			g.Expect(Unmarshal(test.data, &read)).To(HaveOccurred())
		})
	}
}

// Guards against a false count that ends the process. A message of 23 bytes had a list with a count
// of 808 million. The library allocated memory for all elements before it read the first, and the
// runtime ended the process, since running out of memory is not a panic. Fuzzing in CI reproduces
// it in only one run of several:
//
//	fatal error: runtime: out of memory
//	reflect.MakeSlice({0x8f0ba8, 0x7fb780}, 0x303030c2, 0x303030c2)
//	msgpack/v5.growSliceValue(...) decode_slice.go:129
func TestAFalseCountAllocatesNoMemory(t *testing.T) {
	const maxBytes = 1 << 20
	manyElements := []byte{0x02, 0x00, 0x00, 0x00} // 33 million, 2 GB of times
	tests := []struct {
		name string
		data []byte
		into any
	}{
		{"a list", append([]byte{0xdd}, manyElements...), new([]time.Time)},
		{"a list in a list", append([]byte{0x91, 0xdd}, manyElements...), new([][]time.Time)},
		{"a list in a message", append([]byte{0x81, 0xa1, 'n', 0xdd}, manyElements...), new(struct {
			N []time.Time `msgpack:"n"`
		})},
		{"a map", append([]byte{0xdf}, manyElements...), new(map[string]string)},
		{"a string", append([]byte{0xdb}, manyElements...), new(string)},
		{"bytes", append([]byte{0xc6}, manyElements...), new([]byte)},
		{"an extension", append([]byte{0xc9}, manyElements...), new(any)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			before := allocated()
			g.Expect(Unmarshal(test.data, test.into)).To(HaveOccurred())
			g.Expect(allocated() - before).To(BeNumerically("<", maxBytes))
		})
	}
}

// allocated returns the total bytes that the process has allocated so far.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// Guards against nesting that ends the process: each level of nested lists uses a stack frame of
// the decoder, and a stack overflow ends the process as well.
func TestListsNestedTooDeepAreAnError(t *testing.T) {
	g := NewWithT(t)
	var read any
	g.Expect(Unmarshal([]byte(strings.Repeat("\x91", 1000)+"\xc0"), &read)).To(MatchError(ContainSubstring("too deep")))
}

// All values that the library encodes have a valid shape, in each of the encodings' sizes.
func TestAllEncodingsOfTheLibraryAreDecoded(t *testing.T) {
	tests := []any{
		true, 1, -1, 200, -200, 70_000, -70_000, 1 << 40, -(1 << 40), float32(1.5), 2.5,
		"", "short", strings.Repeat("x", 40), strings.Repeat("x", 300), strings.Repeat("x", 70_000),
		[]byte{},
		make([]byte, 300), make([]byte, 70_000),
		[]int{},
		[]int{1, 2},
		make([]int, 40), make([]int, 70_000),
		map[string]int{},
		map[string]int{"a": 1},
		manyEntries(40), manyEntries(70_000),
		time.Unix(5, 0), time.Unix(5, 7), time.Unix(1<<35, 7),
		[]message{{"one", time.Unix(5, 0)}},
		[][]string{{"x"}, {}},
	}
	for _, test := range tests {
		g := NewWithT(t)
		data, err := msgpack.Marshal(test)
		g.Expect(err).NotTo(HaveOccurred())
		read := reflect.New(reflect.TypeOf(test))
		g.Expect(Unmarshal(data, read.Interface())).To(Succeed())
		g.Expect(read.Elem().Interface()).To(BeEquivalentTo(test))
	}
}

func manyEntries(count int) map[string]int {
	entries := make(map[string]int, count)
	for i := range count {
		entries[strings.Repeat("k", 1+i%7)+time.Duration(i).String()] = i
	}
	return entries
}

func FuzzUnmarshal(f *testing.F) {
	data, err := msgpack.Marshal([]any{map[string]any{"a": []any{1, "x", nil}}, []string{"y"}, time.Unix(5, 0)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = Unmarshal(data, new(any)) // must not crash the process
		_ = Unmarshal(data, new([]message))
	})
}

// Measures the cost of the shape check for 2,000 parts in columns, as boxes of a zone send them to
// each other.
func BenchmarkUnmarshal(b *testing.B) {
	parts := struct {
		IDs    []string
		Tokens []int
	}{}
	for i := range 2000 {
		parts.IDs = append(parts.IDs, time.Duration(i*1e9).String())
		parts.Tokens = append(parts.Tokens, i)
	}
	data, err := msgpack.Marshal(parts)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("shape", func(b *testing.B) {
		for b.Loop() {
			_ = checkShape(data)
		}
	})
	b.Run("whole", func(b *testing.B) {
		read := parts
		for b.Loop() {
			_ = Unmarshal(data, &read)
		}
	})
}
