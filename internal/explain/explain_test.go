package explain_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/explain"
)

func openRecordedLog(g *WithT) *os.File {
	file, err := os.Open("testdata/recorded.log")
	g.Expect(err).NotTo(HaveOccurred())
	return file
}

func TestTimelineIsOrderedAndIncludesBoxEvents(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	g.Expect(explain.PrintTimeline(openRecordedLog(g), "aaaa000000000001", &out)).To(Succeed())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(4))
	g.Expect(lines[0]).To(And(HavePrefix("*"), ContainSubstring("try_lost"), ContainSubstring("server=i-1")))
	g.Expect(lines[1]).To(And(HavePrefix(" "), ContainSubstring("server_gone")))
	g.Expect(lines[2]).To(ContainSubstring("not_handed_over"))
	g.Expect(lines[3]).To(And(ContainSubstring("outcome=unknown"), ContainSubstring("reason=no_server_answered")))
}

func TestTimelineOfUnknownRequestFails(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	g.Expect(explain.PrintTimeline(openRecordedLog(g), "ffff", &out)).NotTo(Succeed())
}

func TestFailuresAreGroupedByCause(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	g.Expect(explain.PrintFailures(openRecordedLog(g), &out)).To(Succeed())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(4))
	g.Expect(strings.Fields(lines[1])).To(Equal([]string{"2", "refused", "no_server", "r-2", "aaaa000000000003"}))
	g.Expect(strings.Fields(lines[2])).To(Equal([]string{"1", "unknown", "no_server_answered", "r-1", "aaaa000000000001"}))
	g.Expect(lines[3]).To(Equal("4 calls in all"))
}
