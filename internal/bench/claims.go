package bench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/cometlock/cometlock/internal/claim"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/logservice"
)

// Rate limit of the log, and duration of each measurement of claims.
const (
	logAppendsPerSecond = 200
	claimSeconds        = 2
)

// pacedLog is a log with a limited rate of appends.
type pacedLog struct {
	logservice.Log
	mu         sync.Mutex
	nextAppend time.Time
}

// Append delays the append until the rate limit admits it.
func (p *pacedLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	p.mu.Lock()
	now := time.Now()
	if p.nextAppend.Before(now) {
		p.nextAppend = now
	}
	slot := p.nextAppend
	p.nextAppend = p.nextAppend.Add(time.Second / logAppendsPerSecond)
	p.mu.Unlock()
	time.Sleep(time.Until(slot))
	return p.Log.Append(ctx, stream, data)
}

// claims sends claims at increasing rates and prints throughput and latency by batch delay.
func claims(out io.Writer) error {
	fmt.Fprintf(out, "  %10s %12s %10s %10s %10s %14s\n", "delay ms", "offered /s", "won /s", "p50 ms", "p99 ms", "claims/append")
	for _, delay := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		for _, offered := range []int{100, 1000, 5000} {
			if err := claimsAt(out, delay, offered); err != nil {
				return err
			}
		}
	}
	return nil
}

func claimsAt(out io.Writer, delay time.Duration, offered int) error {
	log := &pacedLog{Log: fakelog.New()}
	service := claim.New(claim.Config{Log: log, Incarnation: "bench", BatchDelay: delay, Window: func() time.Duration { return time.Hour }})
	defer service.Close()
	service.Preload()
	time.Sleep(100 * time.Millisecond)
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var inFlight sync.WaitGroup
	began := time.Now()
	count := offered * claimSeconds
	for i := range count {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(offered))))
		inFlight.Go(func() {
			latency, ok := claimOne(service)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				_ = histogram.RecordValue(max(1, latency.Microseconds())) // the value is within the range of the histogram
			}
		})
	}
	inFlight.Wait()
	seconds := time.Since(began).Seconds()
	appends := int64(0)
	for _, stream := range service.State() {
		appends += stream.Appends
	}
	fmt.Fprintf(out, "  %10.0f %12d %10.0f %10.1f %10.1f %14.1f\n", float64(delay.Milliseconds()), offered, float64(histogram.TotalCount())/seconds,
		float64(histogram.ValueAtQuantile(50))/1e3, float64(histogram.ValueAtQuantile(99))/1e3, float64(count)/float64(appends))
	return nil
}

func claimOne(service *claim.Service) (time.Duration, bool) {
	key, err := uuid.NewV7()
	if err != nil {
		return 0, false
	}
	began := time.Now()
	decision, err := service.Claim(context.Background(), claim.Key{Organisation: "bench", Text: key.String()}, claim.Digest{})
	return time.Since(began), err == nil && decision.Verdict == claim.Granted
}
