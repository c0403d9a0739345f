// Package daemonmain implements the main function of cometlockd: settings, signals and exit codes.
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

// Main runs the daemon until a signal stops it, and returns the exit code.
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
	defer startLogWriter(lines)()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// The first signal starts a graceful shutdown. stop then restores the default signal handling, so
	// that a second signal kills the process.
	context.AfterFunc(ctx, stop)
	if err := run(ctx, cfg, logger); err != nil {
		logger.Error().Str("error", err.Error()).Msg("failed")
		return exitFailed
	}
	return exitOK
}

// flushTimeout bounds the wait for the last log lines at exit. A pipe takes thousands of lines in a few
// milliseconds, and a pipe without an active reader takes none at all.
const flushTimeout = 500 * time.Millisecond

// startLogWriter starts the goroutine that writes log lines, and returns a function that stops it after
// it has written the queued lines or flushTimeout has passed.
func startLogWriter(lines *linelog.Writer) (flush func()) {
	ctx, stop := context.WithCancel(context.Background())
	written := make(chan struct{})
	go runLogWriter(ctx, lines, written)
	return func() {
		stop()
		select {
		case <-written:
		case <-time.After(flushTimeout):
		}
	}
}

func runLogWriter(ctx context.Context, lines *linelog.Writer, written chan<- struct{}) {
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

// Settings of the stand-ins that --standins starts for local trials.
const (
	standinPrefillRate    = 20_000
	standinDecodeInterval = 15 * time.Millisecond
	standinLoadTime       = time.Second
	standinBoxListLag     = time.Second
	applyTimeout          = 5 * time.Second
)

// startStandins starts stand-ins for all servers in the configuration file, and applies the file.
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
		File: file, LogAddress: cfg.Log, BoxListAddress: cfg.BoxList, BoxListLag: standinBoxListLag,
		Boxes:  []boxlist.Box{{Name: cfg.Box, Zone: cfg.Zone, Peer: cfg.Peer, Admin: cfg.Admin, Caller: cfg.Listen}},
		Engine: fakeengine.Config{PrefillTokensPerSecond: standinPrefillRate, DecodeInterval: standinDecodeInterval, LoadTime: standinLoadTime},
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
