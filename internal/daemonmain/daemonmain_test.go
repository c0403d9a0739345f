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

// blockedOutput is an output whose writes block until unblocked is closed.
type blockedOutput struct{ unblocked chan struct{} }

func (o blockedOutput) Write(line []byte) (int, error) {
	<-o.unblocked
	return len(line), nil
}

// A reader that does not read the log must not block requests or the exit of the process.
func TestBlockedLogOutputDoesNotBlockProcess(t *testing.T) {
	g := NewWithT(t)
	output := blockedOutput{make(chan struct{})}
	t.Cleanup(func() { close(output.unblocked) })
	lines := linelog.New(linelog.Config{Output: telemetry.KeyValueWriter(output)})
	logger, err := telemetry.NewLogger(lines, "info")
	g.Expect(err).NotTo(HaveOccurred())
	ended := make(chan struct{})
	go func() {
		flush := startLogWriter(lines)
		for i := range 2 * linelog.DefaultCapacity {
			logger.Info().Int("number", i).Msg("call")
		}
		flush()
		close(ended)
	}()
	g.Eventually(ended, 10*time.Second).Should(BeClosed())
	g.Expect(lines.Dropped()).To(BeNumerically(">", 0))
}

func TestLogLinesAreOrderedKeyValuePairs(t *testing.T) {
	g := NewWithT(t)
	var output bytes.Buffer
	lines := linelog.New(linelog.Config{Output: telemetry.KeyValueWriter(&output)})
	logger, err := telemetry.NewLogger(lines, "info")
	g.Expect(err).NotTo(HaveOccurred())
	flush := startLogWriter(lines)
	for i := range 10 {
		logger.Info().Int("number", i).Msg("call")
	}
	flush()
	written := strings.Split(strings.TrimSpace(output.String()), "\n")
	g.Expect(written).To(HaveLen(10))
	for i, line := range written {
		g.Expect(line).To(MatchRegexp(fmt.Sprintf("^time=\\S+ level=info event=call number=%d$", i)))
	}
}
