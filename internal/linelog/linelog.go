// Package linelog keeps logging from holding up requests.
//
// Lines go into a bounded ring; one goroutine writes them. When the ring fills up,
// lines are left out by class: successes from half full on, everything when it is
// full. What was left out is counted, and told in a line of its own as soon as
// there is room.
package linelog

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/ring"
)

// Config sets up a Writer.
type Config struct {
	Output io.Writer
	// Capacity is the number of lines that wait at most.
	Capacity int
}

// DefaultCapacity holds some seconds of a busy box: about 60 requests a second,
// each with one line, and few of the rest. At 300 bytes a line it is 600 KB.
const DefaultCapacity = 2048

// Writer is the ring with its goroutine; it implements zerolog.LevelWriter.
type Writer struct {
	output   io.Writer
	capacity int
	lines    *ring.Ring[[]byte]
	waiting  atomic.Int64
	dropped  atomic.Uint64
	told     uint64
}

// New makes a writer; Loop must run for anything to be written.
func New(cfg Config) *Writer {
	cfg.Capacity = cmp.Or(cfg.Capacity, DefaultCapacity)
	return &Writer{output: cfg.Output, capacity: cfg.Capacity, lines: ring.New[[]byte](ring.Config{Name: "log", Capacity: cfg.Capacity})}
}

// Write takes a line without a level.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel takes a line, or leaves it out. Routine lines are those of level info
// and below.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	routine := level <= zerolog.InfoLevel
	if routine && w.waiting.Load() > int64(w.capacity/2) || !w.lines.TryPush(append([]byte(nil), line...)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.waiting.Add(1)
	return len(line), nil
}

// Dropped counts the lines that were left out.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Loop writes lines until ctx ends, and then those that wait.
func (w *Writer) Loop(ctx context.Context) {
	for {
		line, err := w.lines.Pop(ctx)
		if err != nil {
			w.flush()
			return
		}
		w.write(line)
	}
}

func (w *Writer) write(line []byte) {
	w.waiting.Add(-1)
	_, _ = w.output.Write(line) // there is nowhere else to report it
	if dropped := w.dropped.Load(); dropped != w.told {
		w.told = dropped
		_, _ = fmt.Fprintf(w.output, "{\"level\":\"warn\",\"time\":%q,\"lines\":%d,\"message\":\"log_lines_dropped\"}\n",
			time.Now().Format(time.RFC3339Nano), dropped)
	}
}

// flush writes what waits at the end.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines.Items():
			w.write(line)
		default:
			return
		}
	}
}
