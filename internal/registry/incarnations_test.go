package registry_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// incarnationDecoder decodes values of the form "INCARNATION WEIGHTS" and rejects others.
type incarnationDecoder struct{ decoder }

func (incarnationDecoder) Server(record sharedlog.Record) (fleet.Update, error) {
	update := fleet.Update{Key: record.Key, Offset: record.Offset}
	if len(record.Value) == 0 {
		return update, nil
	}
	var incarnation string
	var weights int
	if _, err := fmt.Sscanf(string(record.Value), "%s %d", &incarnation, &weights); err != nil {
		return fleet.Update{}, errors.New("cannot be decoded")
	}
	update.Server = &fleet.Server{
		Incarnation: record.Key + "@" + incarnation, Name: record.Key, Service: "s", Slots: 4, Weights: map[string]int{"m": weights},
	}
	return update, nil
}

// logLines collects the lines of a log.
type logLines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logLines) count(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), `"message":"`+message+`"`)
}

// withServers runs a test with fake time on a box that reads the servers' stream. choose returns a
// hold on the server that the box would send a call to, or nil.
func withServers(t *testing.T, test func(g *WithT, log *fakesharedlog.Log, logged *logLines, choose func() *fleet.Hold)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		logged := &logLines{}
		log, servers := fakesharedlog.New(), fleet.New(fleet.Config{Logger: zerolog.New(logged)})
		r := registry.New(registry.Config{Log: log, Decoder: incarnationDecoder{}, Fleet: servers, Logger: zerolog.New(logged)})
		go r.LoopServers(ctx)
		test(NewWithT(t), log, logged, func() *fleet.Hold { return servers.Choose(fleet.Query{Service: "s"}) })
	})
}

// readTime is more than the time between two reads of the stream.
const readTime = 700 * time.Millisecond

// A server may restart under its name, and then has none of its earlier state: calls of the earlier
// incarnation must not count as work of the new one, nor do the weights that the earlier one had
// loaded.
func TestRestartedServerIsANewServer(t *testing.T) {
	tests := []struct {
		name   string
		before func(log *fakesharedlog.Log)
	}{
		{"its record is deleted meanwhile", func(log *fakesharedlog.Log) {
			log.Put(sharedlog.Servers, "r", nil)
			time.Sleep(readTime)
		}},
		{"it restarts between two reads", func(*fakesharedlog.Log) {}},
		{"its record is deleted and written between two reads", func(log *fakesharedlog.Log) { log.Put(sharedlog.Servers, "r", nil) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withServers(t, func(g *WithT, log *fakesharedlog.Log, _ *logLines, choose func() *fleet.Hold) {
				log.Put(sharedlog.Servers, "r", []byte("1 7"))
				time.Sleep(readTime)
				first := choose()
				g.Expect(first.Server().Incarnation).To(Equal("r@1"))
				test.before(log)
				log.Put(sharedlog.Servers, "r", []byte("2 6"))
				time.Sleep(readTime)
				second := choose()
				g.Expect(second.Server().Incarnation).To(Equal("r@2"))
				g.Expect(second.Server().TargetName()).To(Equal("r"))
				g.Expect(second.Server().Weights).To(Equal(map[string]int{"m": 6}))
				first.Done(fleet.OutcomeUnreachable) // must not count as a failure of the new incarnation
				g.Expect(choose()).NotTo(BeNil(), "the new incarnation is not suspected for the failure of the old one")
				second.Done(fleet.OutcomeServed)
			})
		})
	}
}

// An incarnation may write the same content in any number of records.
func TestHeartbeatsOfOneIncarnationAreOneServer(t *testing.T) {
	withServers(t, func(g *WithT, log *fakesharedlog.Log, logged *logLines, _ func() *fleet.Hold) {
		for range 5 {
			log.Put(sharedlog.Servers, "r", []byte("1 7"))
			time.Sleep(readTime)
		}
		g.Expect(logged.count("server_known")).To(Equal(1))
		g.Expect(logged.count("server_restarted")).To(BeZero())
	})
}

// Other writers than servers write to the registry too. Such a record names no server to use, the
// other servers stay, and a writer that keeps writing such records is logged once.
func TestUndecodableRecordNamesNoServer(t *testing.T) {
	withServers(t, func(g *WithT, log *fakesharedlog.Log, logged *logLines, choose func() *fleet.Hold) {
		log.Put(sharedlog.Servers, "r", []byte("1 7"))
		log.Put(sharedlog.Servers, "other", []byte("1 7"))
		time.Sleep(readTime)
		for range 4 {
			log.Put(sharedlog.Servers, "other", []byte{0xff, 0x00})
			time.Sleep(readTime)
		}
		for range 8 {
			hold := choose()
			g.Expect(hold.Server().Incarnation).To(Equal("r@1"))
		}
		g.Expect(logged.count("server_entry_invalid")).To(Equal(1))
		log.Put(sharedlog.Servers, "other", []byte("1 7"))
		log.Put(sharedlog.Servers, "r", nil)
		time.Sleep(readTime)
		g.Expect(choose().Server().Incarnation).To(Equal("other@1"), "it has a valid record again")
		log.Put(sharedlog.Servers, "other", []byte("?"))
		time.Sleep(readTime)
		g.Expect(choose()).To(BeNil())
		g.Expect(logged.count("server_entry_invalid")).To(Equal(2))
	})
}
