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
	churnBoxes   = 8
	churnServers = 12
	churnLength  = 40 * time.Second
	// removedWithin is below the 2 s after which a server that has left must get no new calls, so
	// that a call has time to arrive.
	removedWithin = 1900 * time.Millisecond
)

// churn is a random history of boxes that start and stop while servers come and go.
type churn struct {
	boxes  *testFleet
	random *rand.Rand
	stops  []context.CancelFunc
	// leftAt is when each missing server was deleted, by its number.
	leftAt map[int]time.Time
}

func (c *churn) upTo(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// restart replaces a box by one that starts.
func (c *churn) restart(ctx context.Context, i int) {
	name := fmt.Sprint("box-", i)
	next := newBox(zonereader.Box{Box: delegate.Box{Name: name, Zone: "z"}, Address: name})
	c.boxes.assemble(next)
	c.boxes.mu.Lock()
	c.boxes.list[i] = next
	c.boxes.mu.Unlock()
	if c.stops[i] != nil {
		c.stops[i]()
	}
	ctx, c.stops[i] = context.WithCancel(ctx)
	c.boxes.run(ctx, next)
}

// step restarts a box, deletes a server that has not announced that it is leaving, or adds one.
func (c *churn) step(ctx context.Context) {
	server := c.random.IntN(churnServers)
	name := fmt.Sprint("server-", server)
	_, gone := c.leftAt[server]
	switch {
	case c.random.IntN(4) == 0:
		c.restart(ctx, c.random.IntN(churnBoxes))
	case gone:
		delete(c.leftAt, server)
		c.boxes.log.Put(sharedlog.Servers, name, []byte("ready"))
	case c.random.IntN(2) == 0:
		c.leftAt[server] = time.Now()
		c.boxes.log.Put(sharedlog.Servers, name, nil)
	default:
		c.boxes.log.Put(sharedlog.Servers, name, []byte("ready")) // a heartbeat
	}
}

// lateUse describes a box that still uses a server which was deleted too long ago; it is empty if
// there is none.
func (c *churn) lateUse() string {
	for server, leftAt := range c.leftAt {
		if time.Since(leftAt) < removedWithin {
			continue
		}
		for _, b := range c.boxes.all() {
			if b.uses(fmt.Sprint("server-", server)) {
				return fmt.Sprintf("%s uses server-%d %v after it left", b.self.Name, server, time.Since(leftAt))
			}
		}
	}
	return ""
}

// uses reports whether a box sends calls to a server.
func (b *testBox) uses(server string) bool {
	others := []string{"server"}
	for i := range churnServers {
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

// Boxes that all start together, and servers that say that they are leaving, do not show this
// fault: a reader that had just started forwarded less than all changes, so that its followers kept
// sending calls to a server that was deleted meanwhile, until it refused connections.
func TestDeletedServersAreUnusedWhileBoxesStart(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			c := &churn{
				boxes: start(ctx, 0), random: rand.New(rand.NewPCG(seed, 0)),
				stops: make([]context.CancelFunc, churnBoxes), leftAt: map[int]time.Time{},
			}
			defer c.boxes.wait.Wait()
			defer cancel()
			c.boxes.list = make([]*testBox, churnBoxes)
			for i := range churnBoxes {
				c.restart(ctx, i)
			}
			for end := time.Now().Add(churnLength); time.Now().Before(end); {
				time.Sleep(c.upTo(300 * time.Millisecond))
				synctest.Wait()
				if late := c.lateUse(); late != "" {
					t.Fatalf("seed %d: %s", seed, late)
				}
				c.step(ctx)
			}
		})
	}
}
