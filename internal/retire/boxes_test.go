// Entry boxes as far as retirement goes, for the tests: each follows a log through a
// link that a test may cut, and hears the others when a test lets it.

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

// decoder reads the version of model "m" from the length of a record.
type decoder struct{}

func (decoder) Declaration(record sharedlog.Record) (*registry.Declaration, error) {
	return &registry.Declaration{Weights: &registry.WeightsNamed{Model: "m", Version: len(record.Value)}}, nil
}

func (decoder) Evacuation(sharedlog.Record) (evacuation.Change, bool) {
	return evacuation.Change{}, false
}

func (decoder) Server(sharedlog.Record) (fleet.Update, error) { return fleet.Update{}, nil }

// link is a box's way to the log, which a test may cut.
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

// Read implements sharedlog.Log. Through a cut nothing comes back, also of a read
// that was asked before.
func (l *link) Read(ctx context.Context, stream sharedlog.Stream, from int64, wait time.Duration) (sharedlog.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, wait)
	if l.broken() {
		<-ctx.Done()
		return sharedlog.Page{}, sharedlog.ErrUnknown
	}
	return page, err
}

func (l *link) Newest(ctx context.Context, stream sharedlog.Stream) (sharedlog.Page, error) {
	if l.broken() {
		return sharedlog.Page{}, sharedlog.ErrUnknown
	}
	return l.Log.Newest(ctx, stream)
}

// box is one entry box as far as retirement goes.
type box struct {
	link     *link
	registry *registry.Registry
	policy   *retire.Policy
	stop     context.CancelFunc

	mu    sync.Mutex
	heard map[int]retire.Peer
}

func (b *box) peers() []retire.Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var peers []retire.Peer
	for _, peer := range b.heard {
		peers = append(peers, peer)
	}
	return peers
}

// word is what a box told another.
type word struct {
	told  map[string][]registry.Heard
	named map[string]int
	// asOf is the echo that came with it: it was said after that.
	asOf time.Time
}

// echoLag is how old an echo is when its message is sent.
const echoLag = 100 * time.Millisecond

func (b *box) say() word {
	return word{told: b.registry.Tell(), named: b.registry.Named(), asOf: time.Now().Add(-echoLag)}
}

// hear takes in the word of another box, which may have been on its way for long.
func (b *box) hear(from int, w word) {
	b.registry.Hear(w.told, w.asOf)
	b.mu.Lock()
	defer b.mu.Unlock()
	since := time.Now()
	if before := b.heard[from]; before.Weights["m"] == w.named["m"] && !before.SentAfter.IsZero() {
		since = before.KnownSince["m"]
	}
	b.heard[from] = retire.Peer{SentAfter: w.asOf, Weights: w.named, KnownSince: map[string]time.Time{"m": since}}
}

// awaitRead waits until a held read of the operators' stream has just ended.
func (b *box) awaitRead() {
	for time.Since(b.registry.OperatorReadAt()) > 100*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
}

const boxes = 5

func startBox(ctx context.Context, log sharedlog.Log) *box {
	ctx, stop := context.WithCancel(ctx)
	b := &box{link: &link{Log: log}, heard: map[int]retire.Peer{}, stop: stop}
	b.registry = registry.New(registry.Config{
		Log: b.link, Decoder: decoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(),
	})
	b.policy = retire.New(retire.Config{Registry: b.registry, Peers: b.peers, Boxes: func() int { return boxes }})
	go b.registry.LoopOperator(ctx)
	return b
}

// playing runs a test with paused time, on a log in which the first weights of model
// "m" are named. Its boxes run until it ends.
func playing(t *testing.T, test func(ctx context.Context, g *WithT, log *fakesharedlog.Log)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		log := fakesharedlog.New()
		name(log, 1)
		test(ctx, NewWithT(t), log)
	})
}

// name names a version of the weights of model "m".
func name(log *fakesharedlog.Log, version int) {
	log.Put(sharedlog.Operator, "m", make([]byte, version))
}

func startBoxes(ctx context.Context, log sharedlog.Log) []*box {
	all := make([]*box, boxes)
	for i := range all {
		all[i] = startBox(ctx, log)
	}
	return all
}
