package places

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/placing"
)

const (
	service = "s"
	model   = "m"
	memory  = 86_000
)

// zone is an in-memory zone of boxes. The first box is the largest, and so the owner.
type zone struct {
	boxes []*box
}

// box is an entry box with its view of the runners.
type box struct {
	*Placer
	fleet   *fleet.Fleet
	self    Box
	accepts chan net.Conn
	closed  chan struct{}
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	// reportedAt is when the owner last received this box's load report.
	mu         sync.Mutex
	reportedAt time.Time
	// unresponsive boxes accept connections and send nothing.
	unresponsive bool
}

// Accept implements net.Listener.
func (b *box) Accept() (net.Conn, error) {
	select {
	case connection := <-b.accepts:
		return connection, nil
	case <-b.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (b *box) Close() error {
	close(b.closed)
	return nil
}

// Addr implements net.Listener.
func (b *box) Addr() net.Addr { return &net.TCPAddr{} }

func (b *box) setReported(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reportedAt = at
}

func (b *box) reported() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reportedAt
}

// inZone runs a test under a synctest clock with a number of boxes and runners.
func inZone(t *testing.T, boxes, runners int, test func(g *WithT, z *zone)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		z := &zone{}
		for i := range boxes {
			z.boxes = append(z.boxes, z.newBox(i, runners))
		}
		for _, b := range z.boxes {
			b.start(z)
		}
		defer func() {
			for _, b := range z.boxes {
				b.stop()
			}
		}()
		test(NewWithT(t), z)
	})
}

func (z *zone) newBox(number, runners int) *box {
	b := &box{accepts: make(chan net.Conn), closed: make(chan struct{})}
	b.self = Box{Box: delegate.Box{Name: fmt.Sprint("box-", number), Zone: "a", Cores: 1 / float64(1+number)}, Address: fmt.Sprint(number)}
	if number > 0 {
		b.self.Cores = 0.1
	}
	b.fleet = fleet.New(fleet.Config{Logger: zerolog.Nop()})
	for i := range runners {
		name := fmt.Sprint("runner-", i)
		b.fleet.Apply([]fleet.Update{{Key: name, Offset: 1, Server: &fleet.Server{
			Incarnation: name, Service: service, Zone: "a", Slots: 12, Weights: map[string]int{model: 1},
		}}})
	}
	return b
}

// start starts or restarts the box's placer.
func (b *box) start(z *zone) {
	b.Placer = New(Config{
		Fleet: b.fleet, Logger: zerolog.Nop(), Self: b.self, Active: func() bool { return true }, Dial: z.dial,
		Others: func() []Box { return z.others(b) }, ReportedAt: z.reportedAt,
	})
	ctx, end := context.WithCancel(context.Background())
	b.cancel = end
	b.loops.Go(func() { b.LoopAccept(ctx, b) })
}

func (b *box) stop() {
	b.cancel()
	b.loops.Wait()
	b.Wait()
	for _, idle := range b.idle {
		for _, connection := range idle {
			_ = connection.Close()
		}
	}
}

func (z *zone) others(but *box) []Box {
	var others []Box
	for _, b := range z.boxes {
		if b != but {
			others = append(others, b.self)
		}
	}
	return others
}

func (z *zone) reportedAt(name string) time.Time {
	for _, b := range z.boxes {
		if b.self.Name == name {
			return b.reported()
		}
	}
	return time.Time{}
}

func (z *zone) dial(ctx context.Context, address string) (net.Conn, error) {
	for _, b := range z.boxes {
		if b.self.Address != address {
			continue
		}
		near, far := net.Pipe()
		if b.unresponsive {
			return near, nil // nothing reads from the other end
		}
		select {
		case b.accepts <- far:
			return near, nil
		case <-b.closed:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, errors.New("no such box")
}

// longPrompt returns a request for a prompt of which four fit into a runner's memory.
func (b *box) longPrompt(wait time.Duration) Request {
	const tokens = 20_000
	query := fleet.Query{
		Service: service, Model: model, Zone: "a", Load: placing.Query{Tokens: tokens, Memory: memory, PrefillLimit: 600},
		VersionCost: func(int) (float64, bool) { return 0, true }, PrefillWork: func(int) int { return 2000 },
		Fetch: func(int) (string, time.Duration) { return "a", 0 },
	}
	request := NewRequest(query, b.self.Name, b.fleet.HeldVersions(service, model))
	request.MaxWait = wait
	return request
}

// A burst reaches many boxes at the same moment, before any box can have the others' load reports.
// If each box chooses by itself, all see the same runners empty; with 59 boxes, runners got five
// times the prompts that fit into their memory.
func TestBurstDoesNotOverfillRunners(t *testing.T) {
	const boxes, runners, fit = 41, 5, 4
	inZone(t, boxes, runners, func(g *WithT, z *zone) {
		var mu sync.Mutex
		at := map[string]int{}
		var burst sync.WaitGroup
		for _, b := range z.boxes[1:] {
			burst.Go(func() {
				server, err := b.RequestPlace(context.Background(), "a", b.longPrompt(0))
				mu.Lock()
				defer mu.Unlock()
				g.Expect(err).NotTo(HaveOccurred())
				at[server]++
			})
		}
		burst.Wait()
		g.Expect(at[""]).To(Equal(boxes-1-runners*fit), "refused")
		for i := range runners {
			g.Expect(at[fmt.Sprint("runner-", i)]).To(Equal(fit))
		}
	})
}

// A granted call counts until the requesting box's own report can include it, and for grantTimeout
// at most.
func TestGrantCountsUntilCallIsReported(t *testing.T) {
	tests := []struct {
		name      string
		sent      time.Duration // relative to the response
		freeAfter time.Duration
	}{
		{"report sent after the grant", 2 * responseDelay, 100 * time.Millisecond},
		{"report sent before the response arrived", responseDelay / 2, grantTimeout},
		{"no report", -time.Hour, grantTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inZone(t, 2, 1, func(g *WithT, z *zone) {
				requester := z.boxes[1]
				const fit = 4
				for range fit {
					g.Expect(requester.RequestPlace(context.Background(), "a", requester.longPrompt(0))).To(Equal("runner-0"))
				}
				answered := time.Now()
				time.Sleep(100 * time.Millisecond)
				requester.setReported(answered.Add(test.sent))
				for time.Since(answered) < test.freeAfter {
					g.Expect(requester.RequestPlace(context.Background(), "a", requester.longPrompt(0))).To(BeEmpty())
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(20 * time.Millisecond)
				g.Expect(requester.RequestPlace(context.Background(), "a", requester.longPrompt(0))).To(Equal("runner-0"))
			})
		})
	}
}

// Grants were released only by the next request. So an owner that got one request a minute kept its
// own calls away from an idle runner for a minute.
func TestGrantExpiresWithoutFurtherRequests(t *testing.T) {
	inZone(t, 2, 1, func(g *WithT, z *zone) {
		requester, owner := z.boxes[1], z.boxes[0]
		held := func() int { return owner.fleet.Shortage(requester.longPrompt(0).query(nil)).HeldTokens }
		for range 2 {
			g.Expect(requester.RequestPlace(context.Background(), "a", requester.longPrompt(0))).To(Equal("runner-0"))
			time.Sleep(grantTimeout / 3)
		}
		g.Expect(held()).To(Equal(40_000))
		time.Sleep(2 * grantTimeout)
		g.Expect(held()).To(BeZero())
	})
}

// Calls wait in the owner's queue, the most urgent first.
func TestCallsQueueAtOwnerByUrgency(t *testing.T) {
	inZone(t, 3, 1, func(g *WithT, z *zone) {
		const fit = 4
		var holds []*fleet.Grant
		for range fit {
			holds = append(holds, z.boxes[0].fleet.Grant(z.boxes[1].longPrompt(0).query(nil)))
		}
		var mu sync.Mutex
		var order []string
		var waiting sync.WaitGroup
		for i, urgency := range []int{1, 0} {
			waiting.Go(func() {
				requester := z.boxes[1+i]
				request := requester.longPrompt(500 * time.Millisecond)
				request.Urgency = urgency
				server, err := requester.RequestPlace(context.Background(), "a", request)
				mu.Lock()
				defer mu.Unlock()
				g.Expect(err).NotTo(HaveOccurred())
				order = append(order, fmt.Sprint(urgency, " ", server))
			})
			time.Sleep(10 * time.Millisecond)
		}
		// Release between two checks of the queue: capacity that is freed during a check goes to
		// the call that is checked next, whatever its urgency.
		time.Sleep(55 * time.Millisecond)
		holds[0].Release()
		time.Sleep(100 * time.Millisecond)
		holds[1].Release()
		waiting.Wait()
		g.Expect(order).To(Equal([]string{"0 runner-0", "1 runner-0"}))
	})
}

// An owner that doesn't respond costs a box one short wait. After that the box chooses servers
// itself until the owner may be back.
func TestUnresponsiveOwnerGetsNoRequests(t *testing.T) {
	inZone(t, 2, 1, func(g *WithT, z *zone) {
		requester := z.boxes[1]
		z.boxes[0].unresponsive = true
		began := time.Now()
		_, err := requester.RequestPlace(context.Background(), "a", requester.longPrompt(0))
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<=", responseTimeout))
		began = time.Now()
		_, err = requester.RequestPlace(context.Background(), "a", requester.longPrompt(0))
		g.Expect(err).To(MatchError(ErrOwnerUnresponsive))
		g.Expect(time.Since(began)).To(BeZero())
		z.boxes[0].unresponsive = false
		time.Sleep(unresponsiveTime)
		g.Expect(requester.RequestPlace(context.Background(), "a", requester.longPrompt(0))).To(Equal("runner-0"))
	})
}

// After the owner has restarted, the requesting box finds its pooled connection closed. That
// doesn't make the owner unresponsive.
func TestRestartedOwnerGetsNewConnection(t *testing.T) {
	inZone(t, 2, 1, func(g *WithT, z *zone) {
		requester, owner := z.boxes[1], z.boxes[0]
		g.Expect(requester.RequestPlace(context.Background(), "a", requester.longPrompt(0))).To(Equal("runner-0"))
		owner.stop()
		owner.closed = make(chan struct{})
		owner.start(z)
		g.Expect(requester.RequestPlace(context.Background(), "a", requester.longPrompt(0))).To(Equal("runner-0"))
	})
}

// A box kept its connections to every box that had ever been an owner, although that box closes
// them after idleTimeout. That leaked four descriptors for each replaced box.
func TestExpiredIdleConnectionsAreClosed(t *testing.T) {
	inZone(t, 2, 1, func(g *WithT, z *zone) {
		requester, owner := z.boxes[1], z.boxes[0]
		requester.putIdle("a removed box", &net.TCPConn{})
		time.Sleep(idleTimeout)
		g.Expect(requester.RequestPlace(context.Background(), "a", requester.longPrompt(0))).To(Equal("runner-0"))
		g.Expect(requester.idle).To(HaveLen(1))
		g.Expect(requester.idle).To(HaveKey(owner.self.Address))
	})
}

// If the caller leaves, its grant is revoked at once.
func TestGrantIsRevokedWhenCallerLeaves(t *testing.T) {
	inZone(t, 2, 1, func(g *WithT, z *zone) {
		requester, owner := z.boxes[1], z.boxes[0]
		const fit = 4
		var holds []*fleet.Grant
		for range fit {
			holds = append(holds, owner.fleet.Grant(requester.longPrompt(0).query(nil)))
		}
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, leave)
		_, err := requester.RequestPlace(ctx, "a", requester.longPrompt(500*time.Millisecond))
		g.Expect(err).To(HaveOccurred())
		g.Expect(requester.isUnresponsive(owner.self.Name)).To(BeFalse(), "the caller left, the owner was responsive")
		holds[0].Release()
		time.Sleep(50 * time.Millisecond)
		g.Expect(requester.RequestPlace(context.Background(), "a", requester.longPrompt(0))).To(Equal("runner-0"))
	})
}

// A box that gets a request without owning the servers, by its own list of boxes, rejects it.
func TestNonOwnerRejectsRequest(t *testing.T) {
	inZone(t, 3, 1, func(g *WithT, z *zone) {
		requester, other := z.boxes[1], z.boxes[2]
		answer, err := requester.requestRemote(context.Background(), other.self, requester.longPrompt(0))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.NotOwner).To(BeTrue())
	})
}
