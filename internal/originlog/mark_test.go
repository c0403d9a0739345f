package originlog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

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
