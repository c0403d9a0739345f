package sharedlog_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// slowPages is a log that takes a while for each page of newest records.
type slowPages struct {
	sharedlog.Log
	delay time.Duration
}

func (l slowPages) NewestPage(ctx context.Context, stream sharedlog.Stream, after string) (sharedlog.Page, error) {
	select {
	case <-time.After(l.delay):
	case <-ctx.Done():
		return sharedlog.Page{}, sharedlog.ErrUnknown
	}
	return l.Log.NewestPage(ctx, stream, after)
}

// One timeout for all pages was enough for a few hundred servers. With 10,000 servers in 50 pages a
// full read exceeded it, so the box started again from the first page and never finished.
func TestAFullReadOfManyPagesIsNotAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := fakesharedlog.New()
		log.SetPageRecords(4)
		for i := range 200 {
			log.Put(sharedlog.Servers, fmt.Sprint("server-", i), []byte("up"))
		}
		page, full, err := sharedlog.ReadNext(t.Context(), slowPages{log, 50 * time.Millisecond}, sharedlog.Servers, sharedlog.FromNewest, 0, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(full).To(BeTrue())
		g.Expect(page.Records).To(HaveLen(200))
	})
}

// A single page that gets no response must still end the read.
func TestAPageWithoutResponseEndsTheRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		began := time.Now()
		_, _, err := sharedlog.ReadNext(t.Context(), slowPages{fakesharedlog.New(), time.Hour}, sharedlog.Servers, sharedlog.FromNewest, 0, time.Second)
		g.Expect(err).To(MatchError(sharedlog.ErrUnknown))
		g.Expect(time.Since(began)).To(BeNumerically("<=", 2*time.Second))
	})
}

// restoredPages is a log that comes back from a copy after the first page of newest records.
type restoredPages struct {
	*fakesharedlog.Log
	from fakelog.Copy
	done bool
}

func (l *restoredPages) NewestPage(ctx context.Context, stream sharedlog.Stream, after string) (sharedlog.Page, error) {
	page, err := l.Log.NewestPage(ctx, stream, after)
	if !l.done {
		l.done = true
		l.Restore(l.from)
	}
	return page, err
}

// Pages of two eras made up a view that the log never had.
func TestAFullReadBeginsAgainInALaterEra(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	log.SetPageRecords(2)
	for i := range 5 {
		log.Put(sharedlog.Servers, fmt.Sprint("server-", i), []byte("copied"))
	}
	copied := log.Copy()
	for i := range 5 {
		log.Put(sharedlog.Servers, fmt.Sprint("server-", i), []byte("lost"))
	}
	page, err := sharedlog.Newest(t.Context(), &restoredPages{Log: log, from: copied}, sharedlog.Servers)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page.Next).To(Equal(logposition.New(1, 5)))
	for _, record := range page.Records {
		g.Expect(string(record.Value)).To(Equal("copied"))
		g.Expect(logposition.Era(record.Offset)).To(BeEquivalentTo(1))
	}
}
