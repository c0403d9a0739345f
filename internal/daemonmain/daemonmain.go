// Package daemonmain is the program cometlockd: settings, signals, exit codes.
package daemonmain

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boxlist"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/daemon"
	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/linelog"
	"github.com/cometlock/cometlock/internal/settings"
	"github.com/cometlock/cometlock/internal/standins"
	"github.com/cometlock/cometlock/internal/telemetry"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Main runs the daemon until a signal ends it, and gives the exit code.
func Main(args []string, getenv func(string) string, output io.Writer) int {
	cfg, err := settings.Parse(args, getenv)
	if err != nil {
		fmt.Fprintln(output, "cometlockd:", err)
		return exitSettings
	}
	lines := linelog.New(linelog.Config{Output: telemetry.KeyValueWriter(output)})
	logger, err := telemetry.NewLogger(lines, cfg.LogLevel)
	if err != nil {
		fmt.Fprintln(output, "cometlockd: --log-level:", err)
		return exitSettings
	}
	defer writeLines(lines)()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// The first signal begins a planned stop; from then on a second one ends the
	// process at once, as by default.
	context.AfterFunc(ctx, stop)
	if err := run(ctx, cfg, logger); err != nil {
		logger.Error().Str("error", err.Error()).Msg("failed")
		return exitFailed
	}
	return exitOK
}

// flushLimit is how long the end waits for the last lines: a pipe takes thousands in some
// milliseconds, and one that nobody reads takes none.
const flushLimit = 500 * time.Millisecond

// writeLines begins to write lines, and gives what ends that with the last of them.
func writeLines(lines *linelog.Writer) (end func()) {
	ctx, stop := context.WithCancel(context.Background())
	written := make(chan struct{})
	go loopWrite(ctx, lines, written)
	return func() {
		stop()
		select {
		case <-written:
		case <-time.After(flushLimit):
		}
	}
}

func loopWrite(ctx context.Context, lines *linelog.Writer, written chan<- struct{}) {
	lines.Loop(ctx)
	close(written)
}

func run(ctx context.Context, cfg settings.Settings, logger zerolog.Logger) error {
	if cfg.Standins != "" {
		set, err := startStandins(ctx, cfg, logger)
		if err != nil {
			return err
		}
		defer set.Close()
	}
	d, err := daemon.New(cfg, logger)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// Behaviour of the stand-in engines that are started for trying out.
const (
	tryPrefillRate    = 20_000
	tryDecodeInterval = 15 * time.Millisecond
	tryLoadTime       = time.Second
	tryBoxListLag     = time.Second
	applyTimeout      = 5 * time.Second
)

// startStandins starts stand-ins for all that the file names and applies it.
func startStandins(ctx context.Context, cfg settings.Settings, logger zerolog.Logger) (*standins.Set, error) {
	source, err := os.ReadFile(cfg.Standins)
	if err != nil {
		return nil, err
	}
	file, err := config.Parse(source)
	if err != nil {
		return nil, err
	}
	set, err := standins.Start(standins.Config{
		File: file, LogAddress: cfg.Log, BoxListAddress: cfg.BoxList, BoxListLag: tryBoxListLag,
		Boxes:  []boxlist.Box{{Name: cfg.Box, Zone: cfg.Zone, Peer: cfg.Peer, Admin: cfg.Admin, Caller: cfg.Listen}},
		Engine: fakeengine.Config{PrefillTokensPerSecond: tryPrefillRate, DecodeInterval: tryDecodeInterval, LoadTime: tryLoadTime},
	})
	if err != nil {
		return nil, err
	}
	version, err := configlog.Apply(ctx, configlog.ApplyConfig{Log: set.Log(), ApplyID: uuid.NewString(), ReadBackTimeout: applyTimeout}, file)
	if err != nil {
		set.Close()
		return nil, err
	}
	logger.Info().Int64("version", version).Str("file", cfg.Standins).Msg("standins_started")
	return set, nil
}
