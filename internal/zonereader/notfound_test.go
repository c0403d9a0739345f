package zonereader_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/zonereader"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(line)
}

// count returns the number of lines of an event.
func (b *logBuffer) count(event string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.data.String(), `"message":"`+event+`"`)
}

// A box that starts before the others tries one after the other as its reader. Each one that had not
// started yet was logged as followed and lost, again every two seconds.
func TestAReaderIsLostOnlyAfterItWasFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := start(ctx, 1)
		defer f.wait.Wait()
		defer cancel()
		running := f.list[0]
		others := []zonereader.Box{{Box: delegate.Box{Name: running.self.Name, Zone: "z", Cores: 2}, Address: running.self.Address}}
		for i := range 30 {
			name := fmt.Sprint("starting-", i)
			others = append(others, zonereader.Box{Box: delegate.Box{Name: name, Zone: "z", Cores: 2}, Address: name})
		}
		var log logBuffer
		var connected atomic.Bool
		newcomer := newBox(zonereader.Box{Box: delegate.Box{Name: "new", Zone: "z", Cores: 0.2}, Address: "new"})
		newcomer.log = &countingLog{Log: f.log}
		newcomer.registry = registry.New(registry.Config{
			Log: newcomer.log, Decoder: decoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(),
		})
		newcomer.member = zonereader.New(zonereader.Config{
			Registry: newcomer.registry, Parts: partindex.New(partindex.Config{}), Logger: zerolog.New(&log), Self: newcomer.self,
			Others: func() []zonereader.Box { return others },
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				if !connected.Load() {
					return nil, errors.New("connection refused")
				}
				return f.dial(ctx, address)
			},
		})
		f.run(ctx, newcomer)
		time.Sleep(8 * time.Second)
		g.Expect(log.count("reader_lost")).To(BeZero())
		g.Expect(log.count("reader_followed")).To(BeZero())
		g.Expect(log.count("readers_not_found")).To(Equal(2), "one in 5 s")
		g.Expect(log.count("direct_reading_started")).To(BeNumerically("<=", 5), "whenever all have been tried")
		connected.Store(true)
		time.Sleep(4 * time.Second)
		g.Expect(newcomer.member.Following()).To(Equal(running.self.Name))
		g.Expect(log.count("reader_followed")).To(Equal(1))
		running.crashed.Store(true)
		running.silent.Store(true)
		time.Sleep(2 * time.Second)
		g.Expect(log.count("reader_lost")).To(Equal(1))
	})
}

// A box that reached neither others nor the log, which had come back from a copy, logged 15 lines a second.
func TestABoxThatGetsNoViewLogsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := start(ctx, 0)
		defer f.wait.Wait()
		defer cancel()
		var log logBuffer
		var others []zonereader.Box
		for i := range 5 {
			others = append(others, zonereader.Box{Box: delegate.Box{Name: fmt.Sprint("lost-", i), Zone: "z", Cores: 2}})
		}
		isolated := newBox(zonereader.Box{Box: delegate.Box{Name: "isolated", Zone: "z", Cores: 0.2}})
		isolated.log = &countingLog{Log: f.log}
		isolated.log.cut.Store(true)
		isolated.eras.Note(logposition.New(1, 0))
		isolated.registry = registry.New(registry.Config{Log: isolated.log, Decoder: decoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop()})
		isolated.member = zonereader.New(zonereader.Config{
			Registry: isolated.registry, Parts: partindex.New(partindex.Config{}), Logger: zerolog.New(&log), Self: isolated.self, Eras: &isolated.eras,
			Others: func() []zonereader.Box { return others },
			Dial:   func(context.Context, string) (net.Conn, error) { return nil, errors.New("connection refused") },
		})
		f.run(ctx, isolated)
		time.Sleep(8 * time.Second)
		g.Expect(log.count("view_not_adopted")).To(And(BeNumerically(">", 0), BeNumerically("<=", 5)))
	})
}
