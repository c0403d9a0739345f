// Package telemetry sets up logs and metrics.
//
// Logs are one line of key=value pairs for each event. Metrics are kept by
// tally and served in the text format that common collectors scrape. Neither
// ever holds a key, a prompt or an answer: nothing in this module is given any.
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

// Metrics is the root of all metrics of a process.
type Metrics struct {
	scope    tally.Scope
	reporter prometheus.Reporter
	closer   io.Closer
}

// reportInterval is how often tally hands its counts to the reporter.
const reportInterval = time.Second

// NewMetrics makes the root, with the zone and box as tags of every metric.
func NewMetrics(box, zone string) *Metrics {
	// A registry of its own keeps two boxes in one test process apart.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "cometlock", Tags: map[string]string{"box": box, "zone": zone},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, reporter: reporter, closer: closer}
}

// Scope gives the root scope.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler serves the metrics to a collector.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close hands over what was counted last.
func (m *Metrics) Close() error { return m.closer.Close() }

// LatencyBuckets are the buckets of times, from half a millisecond to two
// minutes.
func LatencyBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 18)
}
