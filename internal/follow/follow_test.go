package follow

import (
	"os"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/configlog"
)

// A call that came after the state dump had told of a new version was served by the one before:
// the version was told before its content could be looked up. A spec of plain services failed by
// it once beside other work; the log of its box shows the call answered by the server's address
// of before, after both of these lines:
//
//	config_in_force box=box-1 source=log version=1
//	server_known address=127.0.0.1:1 box=box-1 offset=2 server=booking/booking-zone-a-1
func TestAVersionIsToldOnlyWithItsContent(t *testing.T) {
	g := NewWithT(t)
	source, err := os.ReadFile("../../examples/lot-operations.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	file, err := config.Parse(source)
	g.Expect(err).NotTo(HaveOccurred())
	entries, err := file.Entries()
	g.Expect(err).NotTo(HaveOccurred())
	f := New(Config{Logger: zerolog.Nop()})
	var stop atomic.Bool
	ahead := 0
	var looking sync.WaitGroup
	looking.Go(func() {
		for !stop.Load() {
			told, snapshot := f.Status().Version, f.Snapshot()
			if told != config.NoVersion && (snapshot == nil || snapshot.Version() < told) {
				ahead++
			}
		}
	})
	const versions = 200
	for version := range int64(versions) {
		g.Expect(f.reader.Adopt(configlog.State{Version: version, ReadTo: version, Digest: entries.Digest(), Entries: entries})).To(BeTrue())
		f.publish(SourcePeer)
	}
	stop.Store(true)
	looking.Wait()
	g.Expect(f.Snapshot().Version()).To(BeEquivalentTo(versions - 1))
	g.Expect(ahead).To(BeZero(), "looks that found a version without its content")
}
