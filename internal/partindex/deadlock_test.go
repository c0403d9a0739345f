package partindex_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/partindex"
)

// mayFree takes the lock under which reports to other boxes are composed, and these call the index. A box
// whose index waited for mayFree while it was locked stopped forever, with all of its calls.
func TestMayFreeThatWaitsForAnotherCallOfTheIndexBlocksIt(t *testing.T) {
	g := NewWithT(t)
	x := partindex.New(partindex.Config{})
	x.Configure(services())
	x.Replace(large, partindex.Report{AsOf: time.Now(), Epoch: 1, Changes: held("old", 100)})
	freeable := make(chan []partindex.Key, 1)
	go func() {
		parts, _ := x.Freeable(large, func(partindex.Key) bool {
			composed := make(chan struct{})
			go func() {
				defer close(composed)
				x.LinkSamplesSince(0, func(string) bool { return true })
			}()
			<-composed
			return true
		}, 10)
		freeable <- parts
	}()
	g.Eventually(freeable, "10s").Should(Receive(Equal([]partindex.Key{{Namespace: "m/1", ID: "old"}})))
}
