package engine

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func open(text string, next int) *Stream {
	return newStream(io.NopCloser(strings.NewReader(text)), streamConfig{streamed: true, next: next, maxBytes: 1 << 20})
}

// read returns the chunks of a stream joined by spaces, and the error that ended it.
func read(s *Stream) (string, error) {
	var parts []string
	for {
		chunk, err := s.Next()
		if err != nil {
			return strings.Join(parts, " "), err
		}
		parts = append(parts, string(chunk.Data))
		if chunk.Last {
			return strings.Join(parts, " "), nil
		}
	}
}

func TestStreamReturnsEachChunkOnceAndInOrder(t *testing.T) {
	long := `"` + strings.Repeat("x", 3*connectionBufferBytes) + `"`
	cases := []struct {
		name  string
		input string
		next  int
		want  string
		err   error
	}{
		{"whole", "id: 0\ndata: 1\n\nid: 1\ndata: [DONE]\n\n", 0, "1 [DONE]", nil},
		{"CRLF line endings", "id: 0\r\ndata: 1\r\n\r\nid: 1\r\ndata: [DONE]\r\n\r\n", 0, "1 [DONE]", nil},
		{"keep-alives and other fields", ": hello\n\nevent: x\nretry: 5\nid: 0\ndata: 1\n\nid: 1\ndata: [DONE]\n\n", 0, "1 [DONE]", nil},
		{"repeated", "id: 0\ndata: 1\n\nid: 0\ndata: 1\n\nid: 1\ndata: [DONE]\n\n", 0, "1 [DONE]", nil},
		{"older chunks first", "id: 0\ndata: 1\n\nid: 1\ndata: 2\n\nid: 2\ndata: [DONE]\n\n", 1, "2 [DONE]", nil},
		{"reordered", "id: 1\ndata: 2\n\nid: 0\ndata: 1\n\nid: 2\ndata: [DONE]\n\n", 0, "1 2 [DONE]", nil},
		{"reordered at the end", "id: 1\ndata: [DONE]\n\nid: 0\ndata: 1\n\n", 0, "1 [DONE]", nil},
		{"chunk missing until the end", "id: 0\ndata: 1\n\nid: 2\ndata: 3\n\n", 0, "1", ErrStreamBroken},
		{"chunk missing for more than maxEarlyChunks", "id: 0\ndata: 1\n\n" + manyEvents(2, 30), 0, "1", ErrMissingChunk},
		{"broken between chunks", "id: 0\ndata: 1\n\n", 0, "1", ErrStreamBroken},
		{"broken within a chunk", "id: 0\ndata: 1\n\nid: 1\nda", 0, "1", ErrStreamBroken},
		{"broken before the empty line", "id: 0\ndata: 1\n", 0, "", ErrStreamBroken},
		{"empty", "", 0, "", ErrStreamBroken},
		{"several data lines", "id: 0\ndata: [1,\ndata: 2]\n\nid: 1\ndata: [DONE]\n\n", 0, "[1,\n2] [DONE]", nil},
		{"a line longer than the buffer", "id: 0\ndata: " + long + "\n\nid: 1\ndata: [DONE]\n\n", 0, long + " [DONE]", nil},
		{"no id", "data: 1\n\n", 0, "", ErrProtocol},
		{"an id that is not a number", "id: one\ndata: 1\n\n", 0, "", ErrProtocol},
		{"a negative id", "id: -1\ndata: 1\n\n", 0, "", ErrProtocol},
		{"not an event stream", "<html>\n\n", 0, "", ErrProtocol},
		{"not JSON", "id: 0\ndata: {\n\n", 0, "", ErrProtocol},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got, err := read(open(c.input, c.next))
			g.Expect(got).To(Equal(c.want))
			if c.err == nil {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(errors.Is(err, c.err)).To(BeTrue(), "got %v", err)
				g.Expect(errors.Is(err, io.EOF)).To(BeFalse(), "a broken stream must not return io.EOF")
			}
		})
	}
}

func manyEvents(from, to int) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: 1\n\n", i)
	}
	return text.String()
}

func TestStreamRejectsOverlongLines(t *testing.T) {
	g := NewWithT(t)
	_, err := read(open("id: 0\ndata: "+strings.Repeat("x", 2*maxLineBytes), 0))
	g.Expect(errors.Is(err, ErrProtocol)).To(BeTrue(), "got %v", err)
}

func TestReadingAChunkDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	const chunks = 1000
	var text strings.Builder
	for range chunks {
		text.WriteString("id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n")
	}
	text.WriteString("id: 1\ndata: [DONE]\n\n")
	input := text.String()
	perStream := testing.AllocsPerRun(20, func() {
		s := open(input, 1) // all chunks but the last are older and skipped
		if _, err := read(s); err != nil {
			t.Fatal(err)
		}
		_ = s.Close()
	})
	g.Expect(perStream).To(BeNumerically("<", chunks/20), "allocations for %d chunks", chunks)
}

func FuzzStream(f *testing.F) {
	f.Add("id: 0\ndata: 1\n\nid: 1\ndata: [DONE]\n\n")
	f.Add(": x\nid: 2\r\n\n\ndata")
	f.Fuzz(func(t *testing.T, text string) {
		s := open(text, 0)
		want := 0
		for {
			chunk, err := s.Next()
			if err != nil {
				return
			}
			if chunk.Index != want {
				t.Fatalf("got chunk %d, want %d", chunk.Index, want)
			}
			want++
			if chunk.Last {
				return
			}
		}
	})
}
