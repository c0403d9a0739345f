package registry_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// A box sent calls to a backend server for 3 s after the server had been deleted. It had last read
// the servers' stream at offset 34, the server was deleted at 35, and then the box followed a
// reader that had just started with a full read. A full read lists only existing servers, so the
// reader did not know of record 35, but it sent its records from 36 on as if they were all that had
// been added since 34. All other boxes dropped the server, this one never did:
//
//	21.84  c-1  server_gone    offset=35
//	22.02  a-3  reader_followed reader=d-1
//	22.54  a-3  server_gone    offset=41
//	23.26  a-3  server_gone    offset=43
//	23.52  a-3  a call reaches the server that was deleted at offset 35
func TestReaderStartedAfterDeletionForwardsIt(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		b.log.Put(sharedlog.Servers, "leaves", []byte("ready"))
		time.Sleep(time.Second)
		position := b.registry.Position(sharedlog.Servers)
		b.log.Put(sharedlog.Servers, "leaves", nil)
		b.log.Put(sharedlog.Servers, "comes", []byte("ready"))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		reader, _ := b.startAnother(ctx)
		time.Sleep(10 * time.Millisecond)
		g.Expect(b.registry.Position(sharedlog.Servers)).To(Equal(position), "it has not read the stream again")

		reader.forward(b, func(update *registry.StreamUpdate) { g.Expect(update.Records).NotTo(BeEmpty()) })
		g.Expect(b.fleet.CountListed()).To(Equal(1))
		hold := b.fleet.Choose(fleet.Query{Service: "s", Exclude: []string{"comes"}})
		g.Expect(hold).To(BeNil(), "the deleted server gets no calls")
	})
}
