package storebox_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakestore"
	"github.com/cometlock/cometlock/internal/prefix"
	"github.com/cometlock/cometlock/internal/storebox"
)

type box struct {
	store   *fakestore.Store
	client  *storebox.Client
	address string
}

func newBox(t *testing.T, capacity int64) box {
	store := fakestore.New(capacity)
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return box{store: store, client: storebox.NewClient(storebox.ClientConfig{}), address: server.Listener.Addr().String()}
}

func keyOf(i int) prefix.Key {
	return prefix.NewChain(prefix.NewSalt("o", "m", fmt.Sprint(i)), make([]byte, prefix.BlockBytes)).Keys()[0]
}

// block returns the content of a key's block, which differs from that of every other key.
func block(i int) []byte { return bytes.Repeat([]byte(fmt.Sprintf("block %d ", i)), 50) }

func TestOnlyTheCompleteNamedBlockIsRead(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name   string
		write  fakestore.Faults
		read   fakestore.Faults
		freed  bool
		reused bool
		hit    bool
	}{
		{name: "whole", hit: true},
		{name: "a torn write that the box notices", write: fakestore.Faults{TruncateWrites: true}},
		{name: "a torn write that the box does not notice", write: fakestore.Faults{TruncateWrites: true, SkipChecks: true}},
		{name: "wrong bytes", read: fakestore.Faults{CorruptReads: true}},
		{name: "freed", freed: true},
		{name: "freed, and the box still resolves the name", freed: true, read: fakestore.Faults{StaleNames: true}},
		{name: "freed and used for another block", freed: true, reused: true, read: fakestore.Faults{StaleNames: true}},
		{name: "freed and used for another block, from a box that checks nothing", freed: true, reused: true, read: fakestore.Faults{StaleNames: true, SkipChecks: true}},
		{name: "an unreachable box", read: fakestore.Faults{Down: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := newBox(t, 1<<20)
			b.store.SetFaults(c.write)
			_ = b.client.Put(ctx, b.address, keyOf(1), block(1)) // fails in some of the cases
			b.store.SetFaults(fakestore.Faults{})
			if c.freed {
				g.Expect(b.client.Free(ctx, b.address, keyOf(1))).To(Succeed())
			}
			if c.reused {
				g.Expect(b.client.Put(ctx, b.address, keyOf(2), block(2))).To(Succeed())
			}
			b.store.SetFaults(c.read)
			data, err := b.client.Get(ctx, b.address, keyOf(1))
			if c.hit {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(data).To(Equal(block(1)))
				return
			}
			g.Expect(err).To(MatchError(storebox.ErrMiss))
			g.Expect(data).To(BeNil())
		})
	}
}

func TestFullBoxIsReported(t *testing.T) {
	g := NewWithT(t)
	b := newBox(t, 400)
	ctx := context.Background()
	g.Expect(b.client.Put(ctx, b.address, keyOf(1), block(1))).To(Succeed())
	g.Expect(storebox.IsFull(b.client.Put(ctx, b.address, keyOf(2), block(2)))).To(BeTrue())
	g.Expect(b.client.Free(ctx, b.address, keyOf(1))).To(Succeed())
	g.Expect(b.client.Put(ctx, b.address, keyOf(2), block(2))).To(Succeed())
}

// Concurrent reads, writes and frees on a store box that checks nothing: every read is a miss or
// returns exactly the block of its name.
func TestReadsDuringFreesAreCorrectOrMiss(t *testing.T) {
	b := newBox(t, 1<<20)
	b.store.SetFaults(fakestore.Faults{SkipChecks: true, StaleNames: true})
	ctx := context.Background()
	const keys, rounds = 5, 60
	var ended sync.WaitGroup
	var mu sync.Mutex
	hits, misses := 0, 0
	for worker := range 4 {
		ended.Go(func() {
			for round := range rounds {
				i := (worker + round) % keys
				if worker%2 == 0 {
					_ = b.client.Put(ctx, b.address, keyOf(i), block(i))
					_ = b.client.Free(ctx, b.address, keyOf((i+1)%keys))
					continue
				}
				data, err := b.client.Get(ctx, b.address, keyOf(i))
				mu.Lock()
				if err != nil {
					misses++
				} else if hits++; !bytes.Equal(data, block(i)) {
					t.Errorf("key %d returned another block", i)
				}
				mu.Unlock()
			}
		})
	}
	ended.Wait()
	t.Logf("%d hits, %d misses, 0 wrong", hits, misses)
}
