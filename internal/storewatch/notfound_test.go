package storewatch_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/storewatch"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(line)
}

// count returns the number of lines of an event.
func (b *logBuffer) count(event string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.data.String(), `"message":"`+event+`"`)
}

// When the whole system starts, boxes poll store boxes that have not started yet. Each box logged each
// of them as lost.
func TestStoreBoxesAreLostOnlyAfterTheyWereFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const storeBoxes = 71
		ctx, cancel := context.WithCancel(context.Background())
		var services []catalog.Service
		for i := range storeBoxes {
			services = append(services, catalog.Service{Name: fmt.Sprint("s-", i), Store: &catalog.Store{Address: fmt.Sprint("10.0.0.", i, ":1"), CapacityTokens: 1000}})
		}
		index := partindex.New(partindex.Config{})
		index.Configure(services)
		s, log := &stores{epoch: 1, down: true}, &logBuffer{}
		watcher := storewatch.New(storewatch.Config{Stores: s, Index: index, Logger: zerolog.New(log)})
		watcher.Configure(ctx)
		defer watcher.Wait()
		defer cancel()
		time.Sleep(8 * time.Second)
		g.Expect(log.count("store_box_lost")).To(BeZero())
		g.Expect(log.count("store_boxes_not_found")).To(BeZero(), "they may still be starting")
		time.Sleep(time.Minute)
		g.Expect(log.count("store_box_lost")).To(BeZero())
		g.Expect(log.count("store_boxes_not_found")).To(Equal(1))
		s.set(func(s *stores) { s.down = false })
		time.Sleep(5 * time.Second)
		g.Expect(log.count("store_box_listed")).To(BeNumerically(">=", storeBoxes), "some are due to be listed again")
		s.set(func(s *stores) { s.down = true })
		time.Sleep(5 * time.Second)
		g.Expect(log.count("store_box_lost")).To(Equal(storeBoxes))
		s.set(func(s *stores) { s.down = false })
		time.Sleep(5 * time.Second)
		g.Expect(log.count("store_box_recovered")).To(Equal(storeBoxes))
	})
}
