package daemonmain

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/linelog"
	"github.com/cometlock/cometlock/internal/telemetry"
)

// shutOutput is an output that nobody reads.
type shutOutput struct{ opened chan struct{} }

func (o shutOutput) Write(line []byte) (int, error) {
	<-o.opened
	return len(line), nil
}

// Neither requests nor the end of the process wait for whoever reads the log.
func TestALogThatNobodyReadsHoldsNothingUp(t *testing.T) {
	g := NewWithT(t)
	output := shutOutput{make(chan struct{})}
	t.Cleanup(func() { close(output.opened) })
	lines := linelog.New(linelog.Config{Output: telemetry.KeyValueWriter(output)})
	logger, err := telemetry.NewLogger(lines, "info")
	g.Expect(err).NotTo(HaveOccurred())
	ended := make(chan struct{})
	go func() {
		end := writeLines(lines)
		for i := range 2 * linelog.DefaultCapacity {
			logger.Info().Int("number", i).Msg("call")
		}
		end()
		close(ended)
	}()
	g.Eventually(ended, 10*time.Second).Should(BeClosed())
	g.Expect(lines.Dropped()).To(BeNumerically(">", 0))
}

func TestLinesComeOutInOrderAsKeysAndValues(t *testing.T) {
	g := NewWithT(t)
	var output bytes.Buffer
	lines := linelog.New(linelog.Config{Output: telemetry.KeyValueWriter(&output)})
	logger, err := telemetry.NewLogger(lines, "info")
	g.Expect(err).NotTo(HaveOccurred())
	end := writeLines(lines)
	for i := range 10 {
		logger.Info().Int("number", i).Msg("call")
	}
	end()
	written := strings.Split(strings.TrimSpace(output.String()), "\n")
	g.Expect(written).To(HaveLen(10))
	for i, line := range written {
		g.Expect(line).To(MatchRegexp(fmt.Sprintf("^time=\\S+ level=info event=call number=%d$", i)))
	}
}
