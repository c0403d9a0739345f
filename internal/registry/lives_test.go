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

// lifeDecoder reads values of the form "LIFE WEIGHTS"; others are not understood.
type lifeDecoder struct{ decoder }

func (lifeDecoder) Server(record sharedlog.Record) (fleet.Update, error) {
	update := fleet.Update{Key: record.Key, Offset: record.Offset}
	if len(record.Value) == 0 {
		return update, nil
	}
	var life string
	var weights int
	if _, err := fmt.Sscanf(string(record.Value), "%s %d", &life, &weights); err != nil {
		return fleet.Update{}, errors.New("not understood")
	}
	update.Server = &fleet.Server{
		Incarnation: record.Key + "@" + life, Name: record.Key, Service: "s", Slots: 4, Weights: map[string]int{"m": weights},
	}
	return update, nil
}

// lines collects the lines of a log.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *lines) count(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), `"message":"`+message+`"`)
}

// followingLives runs a test with paused time on a box that follows servers, and gives the
// life that it hands calls to, if any, with a hold there.
func followingLives(t *testing.T, test func(g *WithT, log *fakesharedlog.Log, logged *lines, choose func() *fleet.Hold)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		logged := &lines{}
		log, known := fakesharedlog.New(), fleet.New(fleet.Config{Logger: zerolog.New(logged)})
		follower := registry.New(registry.Config{Log: log, Decoder: lifeDecoder{}, Fleet: known, Logger: zerolog.New(logged)})
		go follower.LoopServers(ctx)
		test(NewWithT(t), log, logged, func() *fleet.Hold { return known.Choose(fleet.Query{Service: "s"}) })
	})
}

// readTime is more than the time between two looks at the stream.
const readTime = 700 * time.Millisecond

// A server may start again under its name. It then holds and knows nothing of before: calls
// that its earlier life had must not count as work of the new one, and weights that a box
// found the earlier life to hold are not those of the new one.
func TestAServerThatStartsAgainIsAnotherOne(t *testing.T) {
	tests := []struct {
		name   string
		before func(log *fakesharedlog.Log)
	}{
		{"its entry went meanwhile", func(log *fakesharedlog.Log) {
			log.Put(sharedlog.Servers, "r", nil)
			time.Sleep(readTime)
		}},
		{"it is back between two reads", func(*fakesharedlog.Log) {}},
		{"its entry went and came between two reads", func(log *fakesharedlog.Log) { log.Put(sharedlog.Servers, "r", nil) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			followingLives(t, func(g *WithT, log *fakesharedlog.Log, _ *lines, choose func() *fleet.Hold) {
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
				first.Done(fleet.OutcomeUnreachable) // its failure is not one of the new life
				g.Expect(choose()).NotTo(BeNil(), "the new life is not suspected for the end of the old one")
				second.Done(fleet.OutcomeServed)
			})
		})
	}
}

// The same life may say the same again, in any number of entries.
func TestHeartbeatsOfOneLifeAreOneServer(t *testing.T) {
	followingLives(t, func(g *WithT, log *fakesharedlog.Log, logged *lines, _ func() *fleet.Hold) {
		for range 5 {
			log.Put(sharedlog.Servers, "r", []byte("1 7"))
			time.Sleep(readTime)
		}
		g.Expect(logged.count("server_known")).To(Equal(1))
		g.Expect(logged.count("server_restarted")).To(BeZero())
	})
}

// Others than servers write into the registry too. Such an entry names no server to use,
// the others hold, and a writer that goes on for long is told of once.
func TestAnEntryOfAnotherWriterNamesNoServer(t *testing.T) {
	followingLives(t, func(g *WithT, log *fakesharedlog.Log, logged *lines, choose func() *fleet.Hold) {
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
		g.Expect(logged.count("server_not_understood")).To(Equal(1))
		log.Put(sharedlog.Servers, "other", []byte("1 7"))
		log.Put(sharedlog.Servers, "r", nil)
		time.Sleep(readTime)
		g.Expect(choose().Server().Incarnation).To(Equal("other@1"), "it says of itself again")
		log.Put(sharedlog.Servers, "other", []byte("?"))
		time.Sleep(readTime)
		g.Expect(choose()).To(BeNil())
		g.Expect(logged.count("server_not_understood")).To(Equal(2))
	})
}
