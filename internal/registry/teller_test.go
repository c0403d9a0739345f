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

// A box handed calls to a backend server for three seconds after the server's entry had
// gone. It had last read the servers' stream at offset 34; the entry went at 35; then it
// followed a box that had started just before and had read the stream whole. Such a reading
// names the servers that there are, so the other box had never heard of 35, but when it was
// asked for what had been added since 34 it gave what it had from 36 on as if that were
// all. All other boxes dropped the server; this one never did:
//
//	21.84  c-1  server_gone    offset=35
//	22.02  a-3  reader_followed reader=d-1
//	22.54  a-3  server_gone    offset=41
//	23.26  a-3  server_gone    offset=43
//	23.52  a-3  a call reaches the server whose entry went at offset 35
func TestAServerThatWentBeforeTheTellerStartedIsGoneForThoseItTells(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		w.log.Put(sharedlog.Servers, "leaves", []byte("ready"))
		time.Sleep(time.Second)
		known := w.registry.Position(sharedlog.Servers)
		w.log.Put(sharedlog.Servers, "leaves", nil)
		w.log.Put(sharedlog.Servers, "comes", []byte("ready"))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		teller, _ := w.another(ctx)
		time.Sleep(10 * time.Millisecond)
		g.Expect(w.registry.Position(sharedlog.Servers)).To(Equal(known), "it has not read again itself")

		teller.tell(w, func(word *registry.StreamUpdate) { g.Expect(word.Records).NotTo(BeEmpty()) })
		g.Expect(w.fleet.Known()).To(Equal(1))
		hold := w.fleet.Choose(fleet.Query{Service: "s", Exclude: []string{"comes"}})
		g.Expect(hold).To(BeNil(), "the server that left takes nothing")
	})
}
