package sharedlog_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/sharedlog"
)

// fixedResultLog is a log whose calls all have the same outcome.
type fixedResultLog struct{ err error }

func (l fixedResultLog) NewestPage(context.Context, sharedlog.Stream, string) (sharedlog.Page, error) {
	return sharedlog.Page{}, l.err
}

func (l fixedResultLog) Read(context.Context, sharedlog.Stream, int64, time.Duration) (sharedlog.Page, error) {
	return sharedlog.Page{}, l.err
}

func (l fixedResultLog) Bounds(context.Context, sharedlog.Stream) (first, end int64, err error) {
	return 0, 0, l.err
}

func (l fixedResultLog) Append(context.Context, sharedlog.Stream, int64, sharedlog.Record) (int64, error) {
	return 0, l.err
}

func TestCallsAreCountedByKindStreamAndOutcome(t *testing.T) {
	tests := []struct {
		name string
		err  error
	}{
		{"done", nil},
		{"refused", sharedlog.ErrRefused},
		{"conflict", sharedlog.ErrConflict},
		{"unknown", sharedlog.ErrUnknown},
		{"unknown", errors.New("anything else")},
		{"expired", &sharedlog.RecordsExpiredError{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			scope := tally.NewTestScope("", nil)
			log := sharedlog.NewMeasured(fixedResultLog{test.err}, scope)
			ctx := context.Background()
			for _, err := range []error{
				errorOf(log.NewestPage(ctx, sharedlog.Servers, "")), errorOf(log.Read(ctx, sharedlog.Operator, 0, time.Second)),
				errorOf(log.Read(ctx, sharedlog.Servers, 0, 0)), errorOf(log.Append(ctx, sharedlog.Orders, 0, sharedlog.Record{})),
			} {
				if test.err == nil {
					g.Expect(err).NotTo(HaveOccurred())
				} else {
					g.Expect(err).To(MatchError(test.err))
				}
			}
			counted := map[string]int64{}
			for _, counter := range scope.Snapshot().Counters() {
				tags := counter.Tags()
				counted[tags["kind"]+" "+tags["stream"]+" "+tags["end"]] += counter.Value()
			}
			g.Expect(counted).To(Equal(map[string]int64{
				"newest servers " + test.name: 1, "held_read operator " + test.name: 1, "read servers " + test.name: 1, "append orders " + test.name: 1,
			}))
		})
	}
}

func errorOf[T any](_ T, err error) error { return err }
