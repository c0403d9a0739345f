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

// The version was once published before its content, so that a call that arrived after the state
// dump had reported a new version was served with the one before. A spec of plain services failed
// once that way under load: the log of its box shows that the call was sent to the server's
// previous address after both of these lines:
//
//	config_in_force box=box-1 source=log version=1
//	server_known address=127.0.0.1:1 box=box-1 offset=2 server=booking/booking-zone-a-1
func TestVersionIsPublishedWithItsContent(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile("../../examples/lot-operations.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	file, err := config.Parse(text)
	g.Expect(err).NotTo(HaveOccurred())
	entries, err := file.Entries()
	g.Expect(err).NotTo(HaveOccurred())
	f := New(Config{Logger: zerolog.Nop()})
	var stop atomic.Bool
	withoutContent := 0
	var observer sync.WaitGroup
	observer.Go(func() {
		for !stop.Load() {
			reported, snapshot := f.Status().Version, f.Snapshot()
			if reported != config.NoVersion && (snapshot == nil || snapshot.Version() < reported) {
				withoutContent++
			}
		}
	})
	const versions = 200
	for version := range int64(versions) {
		g.Expect(f.reader.ApplySnapshot(configlog.State{Version: version, ReadTo: version, Digest: entries.Digest(), Entries: entries})).To(BeTrue())
		f.publish(SourcePeer)
	}
	stop.Store(true)
	observer.Wait()
	g.Expect(f.Snapshot().Version()).To(BeEquivalentTo(versions - 1))
	g.Expect(withoutContent).To(BeZero(), "reads that found a version without its content")
}
