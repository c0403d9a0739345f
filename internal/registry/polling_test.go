package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A new root was in a long poll of 0.8 s that it had begun as the reader of its zone. Its view became
// older than the readers of other zones accept, and they left it.
func TestALongPollDoesNotPostponeMoreFrequentPolling(t *testing.T) {
	const (
		pollInterval = 300 * time.Millisecond
		longPoll     = 500 * time.Millisecond
		readTime     = 50 * time.Millisecond
	)
	for moment := time.Duration(0); moment < time.Second; moment += 100 * time.Millisecond {
		inBubble(t, func(g *WithT, b *testBox) {
			time.Sleep(2*time.Second + moment)
			setAt := time.Now()
			b.registry.SetPolling(pollInterval, longPoll)
			time.Sleep(readTime)
			g.Expect(b.registry.OperatorReadAt()).To(BeTemporally(">=", setAt), "moment %v", moment)
			g.Expect(b.registry.ServersAge()).To(BeNumerically("<=", readTime), "moment %v", moment)
		})
	}
}
