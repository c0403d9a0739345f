package zonereader_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/zonereader"
)

const (
	startsBoxes   = 8
	startsServers = 12
	startsLength  = 40 * time.Second
	// knownWithin is less than the two seconds after which nothing new may reach a server
	// that has left, by the time that a call is on its way.
	knownWithin = 1900 * time.Millisecond
)

// starts is a random history of boxes that start and stop while servers come and go.
type starts struct {
	boxes  *boxes
	random *rand.Rand
	stops  []context.CancelFunc
	// leftAt is when each server's entry went, by its number; those that are there have none.
	leftAt map[int]time.Time
}

func (s *starts) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// begin starts a box in a place, for the one that was there.
func (s *starts) begin(ctx context.Context, at int) {
	name := fmt.Sprint("box-", at)
	next := newBox(zonereader.Box{Box: delegate.Box{Name: name, Zone: "z"}, Address: name})
	s.boxes.assemble(next)
	s.boxes.mu.Lock()
	s.boxes.list[at] = next
	s.boxes.mu.Unlock()
	if s.stops[at] != nil {
		s.stops[at]()
	}
	ctx, s.stops[at] = context.WithCancel(ctx)
	s.boxes.run(ctx, next)
}

// step has a box start anew, a server go without a word, or one
// come.
func (s *starts) step(ctx context.Context) {
	server := s.random.IntN(startsServers)
	name := fmt.Sprint("server-", server)
	_, gone := s.leftAt[server]
	switch {
	case s.random.IntN(4) == 0:
		s.begin(ctx, s.random.IntN(startsBoxes))
	case gone:
		delete(s.leftAt, server)
		s.boxes.log.Put(sharedlog.Servers, name, []byte("ready"))
	case s.random.IntN(2) == 0:
		s.leftAt[server] = time.Now()
		s.boxes.log.Put(sharedlog.Servers, name, nil)
	default:
		s.boxes.log.Put(sharedlog.Servers, name, []byte("ready")) // a heartbeat
	}
}

// late gives a box that still uses a server which left too long ago; empty when none does.
func (s *starts) late() string {
	for server, leftAt := range s.leftAt {
		if time.Since(leftAt) < knownWithin {
			continue
		}
		for _, b := range s.boxes.all() {
			if b.uses(fmt.Sprint("server-", server)) {
				return fmt.Sprintf("%s uses server-%d %v after it left", b.self.Name, server, time.Since(leftAt))
			}
		}
	}
	return ""
}

// uses reports whether a box hands calls to a server.
func (b *box) uses(server string) bool {
	others := []string{"server"}
	for i := range startsServers {
		if name := fmt.Sprint("server-", i); name != server {
			others = append(others, name)
		}
	}
	hold := b.fleet.Choose(fleet.Query{Service: "s", Exclude: others})
	if hold == nil {
		return false
	}
	hold.Done(fleet.OutcomeServed)
	return true
}

// Boxes were tested from their common beginning on, and with a server that said that it
// leaves. So nobody saw that a box which had just started told others less than all, and
// that a server which went without a word meanwhile got calls until it refused connections.
func TestNobodyUsesAServerThatLeftWhileBoxesStart(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			s := &starts{
				boxes: start(ctx, 0), random: rand.New(rand.NewPCG(seed, 0)),
				stops: make([]context.CancelFunc, startsBoxes), leftAt: map[int]time.Time{},
			}
			defer s.boxes.wait.Wait()
			defer cancel()
			s.boxes.list = make([]*box, startsBoxes)
			for i := range startsBoxes {
				s.begin(ctx, i)
			}
			for end := time.Now().Add(startsLength); time.Now().Before(end); {
				time.Sleep(s.upTo(300 * time.Millisecond))
				synctest.Wait()
				if late := s.late(); late != "" {
					t.Fatalf("seed %d: %s", seed, late)
				}
				s.step(ctx)
			}
		})
	}
}
