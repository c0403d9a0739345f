// Simulated entry boxes for the retirement tests. Each one follows a log over a link that a test
// can cut, and receives messages of the other boxes when a test delivers them.

package retire_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/evacuation"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// decoder takes the length of a record as the version of the weights of model "m".
type decoder struct{}

func (decoder) Declaration(record sharedlog.Record) (*registry.Declaration, error) {
	return &registry.Declaration{Weights: &registry.WeightsDeclaration{Model: "m", Version: len(record.Value)}}, nil
}

func (decoder) Rank(sharedlog.Stream, sharedlog.Record) (registry.Rank, bool) {
	return registry.Rank{}, false
}

func (decoder) Evacuation(sharedlog.Record) (evacuation.Change, bool) {
	return evacuation.Change{}, false
}

func (decoder) Server(sharedlog.Record) (fleet.Update, error) { return fleet.Update{}, nil }

// link is a box's connection to the log, which a test can cut.
type link struct {
	sharedlog.Log
	mu  sync.Mutex
	cut bool
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) broken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// Read implements sharedlog.Log. While the link is cut no answer arrives, not even for a read
// that was sent before the cut.
func (l *link) Read(ctx context.Context, stream sharedlog.Stream, from int64, wait time.Duration) (sharedlog.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, wait)
	if l.broken() {
		<-ctx.Done()
		return sharedlog.Page{}, sharedlog.ErrUnknown
	}
	return page, err
}

func (l *link) NewestPage(ctx context.Context, stream sharedlog.Stream, after string) (sharedlog.Page, error) {
	if l.broken() {
		return sharedlog.Page{}, sharedlog.ErrUnknown
	}
	return l.Log.NewestPage(ctx, stream, after)
}

// box is the part of an entry box that decides on retirement.
type box struct {
	link     *link
	registry *registry.Registry
	policy   *retire.Policy
	stop     context.CancelFunc

	mu      sync.Mutex
	reports map[int]retire.Peer
}

func (b *box) peers() []retire.Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var peers []retire.Peer
	for _, peer := range b.reports {
		peers = append(peers, peer)
	}
	return peers
}

// message is what one box sends another about weights.
type message struct {
	weights map[string][]registry.PeerWeights
	named   map[string]int
	// echoAt is the time of the echo in the message, so the message was sent after it.
	echoAt time.Time
}

// echoLag is the age of an echo when its message is sent.
const echoLag = 100 * time.Millisecond

func (b *box) send() message {
	return message{weights: b.registry.WeightsForPeers(), named: b.registry.NewestVersions(), echoAt: time.Now().Add(-echoLag)}
}

// receive processes the message of another box, which may have been in transit for a long time.
func (b *box) receive(from int, m message) {
	b.registry.MergeWeights(m.weights, m.echoAt)
	b.mu.Lock()
	defer b.mu.Unlock()
	since := time.Now()
	if before := b.reports[from]; before.Weights["m"] == m.named["m"] && !before.SentAfter.IsZero() {
		since = before.KnownSince["m"]
	}
	b.reports[from] = retire.Peer{SentAfter: m.echoAt, Weights: m.named, KnownSince: map[string]time.Time{"m": since}}
}

// awaitRead waits until a long-poll read of the operators' stream has just ended.
func (b *box) awaitRead() {
	for time.Since(b.registry.OperatorReadAt()) > 100*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
}

const boxes = 5

func startBox(ctx context.Context, log sharedlog.Log) *box {
	ctx, stop := context.WithCancel(ctx)
	b := &box{link: &link{Log: log}, reports: map[int]retire.Peer{}, stop: stop}
	b.registry = registry.New(registry.Config{
		Log: b.link, Decoder: decoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(),
	})
	b.policy = retire.New(retire.Config{Registry: b.registry, Peers: b.peers, Boxes: func() int { return boxes }})
	go b.registry.LoopOperator(ctx)
	return b
}

// simulate runs a test with paused time, on a log in which the first weights of model "m" are
// declared. Its boxes run until the test ends.
func simulate(t *testing.T, test func(ctx context.Context, g *WithT, log *fakesharedlog.Log)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		log := fakesharedlog.New()
		declare(log, 1)
		test(ctx, NewWithT(t), log)
	})
}

// declare appends a version of the weights of model "m" to the log.
func declare(log *fakesharedlog.Log, version int) {
	log.Put(sharedlog.Operator, "m", make([]byte, version))
}

func startBoxes(ctx context.Context, log sharedlog.Log) []*box {
	all := make([]*box, boxes)
	for i := range all {
		all[i] = startBox(ctx, log)
	}
	return all
}
