package boottime

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// A time of this clock differs from one of the runtime's clock by all suspensions so far, but both
// have the same type. So a package that uses this clock must use it for all times except connection
// deadlines, which use the runtime's clock.
func TestPackagesUseOneClock(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("../*/*.go")
	g.Expect(err).NotTo(HaveOccurred())
	uses := map[string]bool{}
	runtimes := map[string][]string{}
	direct := regexp.MustCompile(`\btime\.(Now|Since|Until)\(`)
	for _, file := range files {
		folder := filepath.Dir(file)
		if strings.HasSuffix(file, "_test.go") || folder == "../boottime" {
			continue
		}
		content, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		uses[folder] = uses[folder] || strings.Contains(string(content), `/internal/boottime"`)
		for line := range strings.SplitSeq(string(content), "\n") {
			if direct.MatchString(line) && !strings.Contains(line, "Deadline(time.Now()") {
				runtimes[folder] = append(runtimes[folder], file+": "+strings.TrimSpace(line))
			}
		}
	}
	count := 0
	for folder, used := range uses {
		if used {
			count++
			g.Expect(runtimes[folder]).To(BeEmpty())
		}
	}
	g.Expect(count).To(BeNumerically(">", 15), "packages that use it")
}
