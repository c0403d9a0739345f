package linelog_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/linelog"
)

// blockedOutput is an output whose writes block until unblocked is closed.
type blockedOutput struct {
	unblocked chan struct{}
	mu        sync.Mutex
	text      bytes.Buffer
}

func (g *blockedOutput) Write(p []byte) (int, error) {
	<-g.unblocked
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		output := &blockedOutput{unblocked: make(chan struct{})}
		writer := linelog.New(linelog.Config{Output: output, Capacity: 100})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			writer.Loop(ctx)
			close(ended)
		}()
		logger := zerolog.New(writer)
		for range 1000 {
			logger.Info().Msg("served")
		}
		for range 20 {
			logger.Warn().Msg("refused")
		}
		close(output.unblocked)
		cancel()
		<-ended
		text := output.text.String()
		g.Expect(strings.Count(text, `"refused"`)).To(Equal(20), "warnings are still queued when info lines are dropped")
		served := strings.Count(text, `"served"`)
		g.Expect(served).To(BeNumerically("~", 51, 2))
		g.Expect(writer.Dropped()).To(BeEquivalentTo(1000 - served))
		g.Expect(text).To(ContainSubstring("log_lines_dropped"))
	})
}

func BenchmarkLine(b *testing.B) {
	writer := linelog.New(linelog.Config{Output: io.Discard})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go writer.Loop(ctx)
	logger := zerolog.New(writer)
	b.ReportAllocs()
	for b.Loop() {
		logger.Info().Str("request", "9c41d07be2a35f68").Str("outcome", "served").Int("status", 200).Int("tries", 1).Msg("call")
	}
}
