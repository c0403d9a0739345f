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

// zone is a zone of boxes in memory, the first of which is the largest and so the owner.
type zone struct {
	boxes []*box
}

// box is an entry box with what it knows of the runners.
type box struct {
	*Placer
	fleet   *fleet.Fleet
	self    Box
	accepts chan net.Conn
	closed  chan struct{}
	end     context.CancelFunc
	loops   sync.WaitGroup
	// said is when the owner last heard of this box's work.
	mu   sync.Mutex
	said time.Time
	// silent boxes take connections and say nothing.
	silent bool
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

func (b *box) setSaid(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.said = at
}

func (b *box) saidAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.said
}

// inZone runs a test in paused time with some boxes before some runners.
func inZone(t *testing.T, boxes, runners int, test func(g *WithT, z *zone)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		z := &zone{}
		for i := range boxes {
			z.boxes = append(z.boxes, z.newBox(i, runners))
		}
		for _, b := range z.boxes {
			b.begin(z)
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

// begin starts a life of the box.
func (b *box) begin(z *zone) {
	b.Placer = New(Config{
		Fleet: b.fleet, Logger: zerolog.Nop(), Self: b.self, Active: func() bool { return true }, Dial: z.dial,
		Others: func() []Box { return z.others(b) }, ReportedAt: z.said,
	})
	ctx, end := context.WithCancel(context.Background())
	b.end = end
	b.loops.Go(func() { b.LoopAccept(ctx, b) })
}

func (b *box) stop() {
	b.end()
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

func (z *zone) said(name string) time.Time {
	for _, b := range z.boxes {
		if b.self.Name == name {
			return b.saidAt()
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
		if b.silent {
			return near, nil // nobody reads what is written
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

// long asks for a place for a prompt of which a runner's memory takes four.
func (b *box) long(wait time.Duration) Request {
	const tokens = 20_000
	query := fleet.Query{
		Service: service, Model: model, Zone: "a", Load: placing.Query{Tokens: tokens, Memory: memory, PrefillLimit: 600},
		VersionCost: func(int) (float64, bool) { return 0, true }, PrefillWork: func(int) int { return 2000 },
		Fetch: func(int) (string, time.Duration) { return "a", 0 },
	}
	q := NewRequest(query, b.self.Name, b.fleet.HeldVersions(service, model))
	q.MaxWait = wait
	return q
}

// A burst of calls comes to as many boxes at the same moment, before any could hear of another
// one's call. Boxes that choose by themselves all see the same runners empty; on a day with
// 59 boxes runners had five times the prompts that fit into their memory.
func TestABurstOverManyBoxesFillsNoRunnerTwice(t *testing.T) {
	const boxes, runners, fit = 41, 5, 4
	inZone(t, boxes, runners, func(g *WithT, z *zone) {
		var mu sync.Mutex
		at := map[string]int{}
		var burst sync.WaitGroup
		for _, b := range z.boxes[1:] {
			burst.Go(func() {
				server, err := b.RequestPlace(context.Background(), "a", b.long(0))
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

// What the owner granted counts until the asker's own word can hold the call, and for
// grantLapse at most.
func TestAGrantCountsUntilItsCallIsToldOf(t *testing.T) {
	tests := []struct {
		name      string
		said      time.Duration // after the answer
		freeAfter time.Duration
	}{
		{"the word was said in time", 2 * takeTime, 100 * time.Millisecond},
		{"the word is from before the answer came", takeTime / 2, grantLapse},
		{"no word comes", -time.Hour, grantLapse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inZone(t, 2, 1, func(g *WithT, z *zone) {
				asker := z.boxes[1]
				const fit = 4
				for range fit {
					g.Expect(asker.RequestPlace(context.Background(), "a", asker.long(0))).To(Equal("runner-0"))
				}
				answered := time.Now()
				time.Sleep(100 * time.Millisecond)
				asker.setSaid(answered.Add(test.said))
				for time.Since(answered) < test.freeAfter {
					g.Expect(asker.RequestPlace(context.Background(), "a", asker.long(0))).To(BeEmpty())
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(20 * time.Millisecond)
				g.Expect(asker.RequestPlace(context.Background(), "a", asker.long(0))).To(Equal("runner-0"))
			})
		})
	}
}

// Grants were ended when the next question came, and not before: an owner that was asked once a
// minute kept its own calls away for as long from a runner where nothing ran any more.
func TestAGrantEndsThoughNobodyAsksAgain(t *testing.T) {
	inZone(t, 2, 1, func(g *WithT, z *zone) {
		asker, owner := z.boxes[1], z.boxes[0]
		held := func() int { return owner.fleet.Shortage(asker.long(0).query(nil)).HeldTokens }
		for range 2 {
			g.Expect(asker.RequestPlace(context.Background(), "a", asker.long(0))).To(Equal("runner-0"))
			time.Sleep(grantLapse / 3)
		}
		g.Expect(held()).To(Equal(40_000))
		time.Sleep(2 * grantLapse)
		g.Expect(held()).To(BeZero())
	})
}

// Calls wait at the owner for their turn, the more urgent first.
func TestCallsWaitAtTheOwnerInTheirOrder(t *testing.T) {
	inZone(t, 3, 1, func(g *WithT, z *zone) {
		const fit = 4
		var holds []*fleet.Grant
		for range fit {
			holds = append(holds, z.boxes[0].fleet.Grant(z.boxes[1].long(0).query(nil)))
		}
		var mu sync.Mutex
		var order []string
		var waiting sync.WaitGroup
		for i, urgency := range []int{1, 0} {
			waiting.Go(func() {
				asker := z.boxes[1+i]
				q := asker.long(500 * time.Millisecond)
				q.Urgency = urgency
				server, err := asker.RequestPlace(context.Background(), "a", q)
				mu.Lock()
				defer mu.Unlock()
				g.Expect(err).NotTo(HaveOccurred())
				order = append(order, fmt.Sprint(urgency, " ", server))
			})
			time.Sleep(10 * time.Millisecond)
		}
		// Between two looks: room that comes while the line is looked through goes to whoever is
		// looked at after that.
		time.Sleep(55 * time.Millisecond)
		holds[0].Release()
		time.Sleep(100 * time.Millisecond)
		holds[1].Release()
		waiting.Wait()
		g.Expect(order).To(Equal([]string{"0 runner-0", "1 runner-0"}))
	})
}

// An owner that gives no answer costs a box one short wait; then the box chooses by itself until
// the owner may be there again.
func TestASilentOwnerIsLeftAlone(t *testing.T) {
	inZone(t, 2, 1, func(g *WithT, z *zone) {
		asker := z.boxes[1]
		z.boxes[0].silent = true
		began := time.Now()
		_, err := asker.RequestPlace(context.Background(), "a", asker.long(0))
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<=", answerLimit))
		began = time.Now()
		_, err = asker.RequestPlace(context.Background(), "a", asker.long(0))
		g.Expect(err).To(MatchError(ErrOwnerUnresponsive))
		g.Expect(time.Since(began)).To(BeZero())
		z.boxes[0].silent = false
		time.Sleep(silentFor)
		g.Expect(asker.RequestPlace(context.Background(), "a", asker.long(0))).To(Equal("runner-0"))
	})
}

// A box that asks again after the owner has started anew finds its connection closed, which is
// no sign of silence.
func TestAnOwnerThatStartedAgainIsAskedOnANewConnection(t *testing.T) {
	inZone(t, 2, 1, func(g *WithT, z *zone) {
		asker, owner := z.boxes[1], z.boxes[0]
		g.Expect(asker.RequestPlace(context.Background(), "a", asker.long(0))).To(Equal("runner-0"))
		owner.stop()
		owner.closed = make(chan struct{})
		owner.begin(z)
		g.Expect(asker.RequestPlace(context.Background(), "a", asker.long(0))).To(Equal("runner-0"))
	})
}

// A box kept the connections to every box that had ever been an owner, though that one closes
// them after questionLimit: four descriptors for each box that is replaced, for good.
func TestConnectionsThatRestAreClosed(t *testing.T) {
	inZone(t, 2, 1, func(g *WithT, z *zone) {
		asker, owner := z.boxes[1], z.boxes[0]
		asker.giveBack("a box that is gone", &net.TCPConn{})
		time.Sleep(questionLimit)
		g.Expect(asker.RequestPlace(context.Background(), "a", asker.long(0))).To(Equal("runner-0"))
		g.Expect(asker.idle).To(HaveLen(1))
		g.Expect(asker.idle).To(HaveKey(owner.self.Address))
	})
}

// A place whose asker has left is free at once.
func TestThePlaceOfACallerThatLeftIsTakenBack(t *testing.T) {
	inZone(t, 2, 1, func(g *WithT, z *zone) {
		asker, owner := z.boxes[1], z.boxes[0]
		const fit = 4
		var holds []*fleet.Grant
		for range fit {
			holds = append(holds, owner.fleet.Grant(asker.long(0).query(nil)))
		}
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, leave)
		_, err := asker.RequestPlace(ctx, "a", asker.long(500*time.Millisecond))
		g.Expect(err).To(HaveOccurred())
		g.Expect(asker.isSilent(owner.self.Name)).To(BeFalse(), "the owner is not to blame")
		holds[0].Release()
		time.Sleep(50 * time.Millisecond)
		g.Expect(asker.RequestPlace(context.Background(), "a", asker.long(0))).To(Equal("runner-0"))
	})
}

// A box that is asked though it owns nothing, by what it knows, says so.
func TestABoxThatDoesNotOwnTheServersSaysSo(t *testing.T) {
	inZone(t, 3, 1, func(g *WithT, z *zone) {
		asker, other := z.boxes[1], z.boxes[2]
		answer, err := asker.askOther(context.Background(), other.self, asker.long(0))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.NotOwner).To(BeTrue())
	})
}
