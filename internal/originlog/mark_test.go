package originlog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
)

// Each call of the log has a price, so only one box appends records without origins, and only while it has no origins
// to append.
func TestEachWriterMarksTheTime(t *testing.T) {
	tests := []struct {
		name     string
		isMarker bool
		// origins is how many origins are added, one a second.
		origins, want int
	}{
		{"a marker", true, 0, 15},
		{"a marker that records", true, 60, 60},
		{"another box", false, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				log := fakesharedlog.New()
				writer := NewWriter(WriterConfig{Log: log, Logger: zerolog.Nop(), IsMarker: func() bool { return test.isMarker }})
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { writer.Loop(ctx); close(done) }()
				for number := range 60 {
					if number < test.origins {
						writer.Add([]Origin{{Key: Key{byte(number)}}})
					}
					time.Sleep(time.Second)
				}
				stop()
				<-done
				g.Expect(log.Underlying().Appends()).To(BeNumerically("~", test.want, 1))
			})
		})
	}
}

// After all boxes had crashed, the box that marks the time did so only 4 s after its start. Where the log keeps 20 s,
// records did not reach back far enough some 20 s later, and streams without one were refused if boxes crashed then.
func TestABoxThatStartsMarksLate(t *testing.T) {
	const kept, down = 20 * time.Second, 2 * time.Second
	for ran := 30 * time.Second; ran < 34*time.Second; ran += time.Second {
		t.Run(ran.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				log := fakesharedlog.New()
				run := func(duration time.Duration, inTurn func()) {
					elected := time.Now().Add(300 * time.Millisecond)
					writer := NewWriter(WriterConfig{Log: log, Logger: zerolog.Nop(), IsMarker: func() bool { return time.Now().After(elected) }})
					ctx, stop := context.WithCancel(t.Context())
					done := make(chan struct{})
					go func() { writer.Loop(ctx); close(done) }()
					for began := time.Now(); time.Since(began) < duration; time.Sleep(100 * time.Millisecond) {
						log.Underlying().ExpireOlder(kept)
						inTurn()
					}
					stop()
					<-done
				}
				run(ran-time.Millisecond, func() {})
				time.Sleep(down)
				least := kept
				run(30*time.Second, func() {
					result, err := newReader(log).Find(t.Context(), keyOf(99), service)
					g.Expect(err).NotTo(HaveOccurred())
					least = min(least, result.CompleteFor)
				})
				g.Expect(least).To(BeNumerically(">=", kept-markInterval-down-2*time.Second))
			})
		})
	}
}

// The box that marks the time refused the first origins after the log had been away, since its last mark had failed, so
// that the first event of a stream was sent without its record.
func TestAMarkThatFailedMakesTheNextOriginsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := fakesharedlog.New()
		writer := NewWriter(WriterConfig{Log: log, Logger: zerolog.Nop(), IsMarker: func() bool { return true }})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { writer.Loop(ctx); close(done) }()
		defer func() { stop(); <-done }()
		log.Underlying().SetFaults(fakelog.Faults{Down: true})
		time.Sleep(10*time.Second - time.Millisecond)
		log.Underlying().SetFaults(fakelog.Faults{})
		for number := range 3 {
			time.Sleep(200 * time.Millisecond)
			g.Expect(writer.Await(t.Context(), []Origin{originOf(number)})).To(BeTrue())
		}
	})
}
