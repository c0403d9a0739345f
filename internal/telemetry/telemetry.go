// Package telemetry sets up logs and metrics.
//
// A log event is one line of key=value pairs. Metrics are collected with tally and served in the
// Prometheus text format. Neither logs nor metrics contain API keys, prompts or answers: none of these is
// ever passed to this package.
package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// NewLogger returns a logger that writes JSON lines, the input of KeyValueWriter.
func NewLogger(lines io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, merry.Errorf("%q is not a log level", level)
	}
	return zerolog.New(lines).Level(parsed).With().Timestamp().Logger(), nil
}

// KeyValueWriter returns a writer that converts the JSON lines of a logger to key=value lines.
func KeyValueWriter(output io.Writer) io.Writer {
	return zerolog.ConsoleWriter{
		Out: output, NoColor: true, TimeFormat: time.RFC3339Nano,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp: func(value any) string { return fmt.Sprintf("time=%v", value) },
		FormatLevel:     func(value any) string { return fmt.Sprintf("level=%v", value) },
		FormatMessage:   func(value any) string { return fmt.Sprintf("event=%v", value) },
	}
}

// Metrics holds the root scope of a process's metrics.
type Metrics struct {
	scope    tally.Scope
	reporter prometheus.Reporter
	closer   io.Closer
}

// reportInterval is the interval at which tally passes its counts to the reporter.
const reportInterval = time.Second

// NewMetrics returns metrics whose root scope tags every metric with the zone and the box.
func NewMetrics(box, zone string) *Metrics {
	// Each box has a separate registry, since tests run several boxes in one process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "cometlock", Tags: map[string]string{"box": box, "zone": zone},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, reporter: reporter, closer: closer}
}

// Scope returns the root scope.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler returns the handler that serves the metrics to collectors.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close passes the remaining counts to the reporter and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// LatencyBuckets returns the histogram buckets for latencies: exponential, from half a millisecond to
// about one minute.
func LatencyBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 18)
}
