// Package linelog writes log lines asynchronously, so that a slow output does not delay requests.
//
// Lines are queued in a bounded ring, and one goroutine writes them. When the output falls behind,
// lines are dropped by level: lines of level info and below while the ring is more than half full, and
// all lines while it is full. Dropped lines are counted, and a log line with the count is written as
// soon as the output accepts lines again.
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

// Config configures a Writer.
type Config struct {
	Output io.Writer
	// Capacity is the maximum number of queued lines.
	Capacity int
}

// DefaultCapacity holds the lines of several seconds of a busy box, which logs one line for each of about
// 60 requests per second and few others. With 300 bytes per line it takes 600 KB.
const DefaultCapacity = 2048

// Writer queues lines and writes them to the output. It implements zerolog.LevelWriter.
type Writer struct {
	output   io.Writer
	capacity int
	lines    *ring.Ring[[]byte]
	waiting  atomic.Int64
	dropped  atomic.Uint64
	reported uint64
}

// New returns a writer. It writes nothing until Loop runs.
func New(cfg Config) *Writer {
	cfg.Capacity = cmp.Or(cfg.Capacity, DefaultCapacity)
	return &Writer{output: cfg.Output, capacity: cfg.Capacity, lines: ring.New[[]byte](ring.Config{Name: "log", Capacity: cfg.Capacity})}
}

// Write queues a line that has no level.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel queues a line or drops it. Lines of level info and below are routine and are dropped first.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	routine := level <= zerolog.InfoLevel
	if routine && w.waiting.Load() > int64(w.capacity/2) || !w.lines.TryPush(append([]byte(nil), line...)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.waiting.Add(1)
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Loop writes lines until ctx ends, and then the lines that are still queued.
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
	_, _ = w.output.Write(line) // there is no other place to report an error
	if dropped := w.dropped.Load(); dropped != w.reported {
		w.reported = dropped
		_, _ = fmt.Fprintf(w.output, "{\"level\":\"warn\",\"time\":%q,\"lines\":%d,\"message\":\"log_lines_dropped\"}\n",
			time.Now().Format(time.RFC3339Nano), dropped)
	}
}

// flush writes the queued lines without waiting for more.
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
