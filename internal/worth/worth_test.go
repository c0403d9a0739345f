package worth_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/worth"
)

// dayReport is a report as the users' bench writes it, reduced to the fields that are read.
const dayReport = `{"G": 0.5, "parts": [["whole day", 0.32, 0.9]], "prices": [["calls", 100.0, 0.02], ["small", 1.0, 0.0001]],
"classes": [{"name": "letters", "n": 10, "in_aim": 6, "late": 3, "refused": 1, "failed": 0, "worth": 0.7, "p50_ms": 100, "p99_ms": 900}], "zones": [], "windows": []}`

func TestReportsAreAveraged(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "day.json")
	g.Expect(os.WriteFile(path, []byte(dayReport), 0o600)).To(Succeed())
	one, err := worth.ReadReport(path)
	g.Expect(err).NotTo(HaveOccurred())
	other := one
	other.Worth = 0.7
	var out strings.Builder
	g.Expect(worth.Print(&out, []worth.Report{one, other})).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("2 days, mean worth 0.600"))
	g.Expect(out.String()).To(MatchRegexp(`calls +100\.0 +0\.0200`))
	g.Expect(out.String()).NotTo(ContainSubstring("small"), "prices below the threshold get no row")
	g.Expect(out.String()).To(MatchRegexp(`letters +20 +12 +6 +2 +0 +0\.700`))
}

func TestCausesOfLateCalls(t *testing.T) {
	line := func(fields string) string {
		return `  3.1 box-1 {"time":"2026-01-02T03:04:05Z","message":"call","prompt_tokens":9,"objective":1000,` + fields + "}\n"
	}
	tests := []struct{ name, fields, want string }{
		{"in time", `"outcome":"served","first_event":900`, "in time"},
		{"refused", `"outcome":"refused","reason":"no_server"`, "refused: no_server"},
		{"no answer", `"outcome":"unknown"`, "no answer, or a failure"},
		{"queued", `"outcome":"served","first_event":1100,"waited":240`, "waited for room at its box"},
		{"predicted late", `"outcome":"served","first_event":1200,"expected":1100`, "placed though late was expected"},
		{"slow fetch", `"outcome":"served","first_event":1200,"expected":300,"fetched_from":"s"`, "first event later than expected, with a fetch"},
		{"slow runner", `"outcome":"served","first_event":1200,"expected":300`, "first event later than expected, without a fetch"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			causes := worth.NewCauses()
			g.Expect(causes.Read(strings.NewReader(line(test.fields)))).To(Succeed())
			var out strings.Builder
			g.Expect(causes.Print(&out)).To(Succeed())
			g.Expect(out.String()).To(MatchRegexp(`(?m)^ *` + test.want + ` +1`))
		})
	}
}

func TestAblationComparesEqualDays(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	write := func(off, day string, worth string) {
		path := filepath.Join(folder, off, "site")
		g.Expect(os.MkdirAll(path, 0o700)).To(Succeed())
		g.Expect(os.WriteFile(filepath.Join(path, day+".json"), []byte(`{"G": `+worth+`}`), 0o600)).To(Succeed())
	}
	write("none", "one-0", "0.7")
	write("none", "two-0", "0.5")
	write("homes", "one-0", "0.6")
	write("homes", "two-0", "0.45")
	var out strings.Builder
	g.Expect(worth.PrintAblation(&out, folder)).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`homes +0\.525 +\+0\.075 +\+0\.050 to \+0\.100`))
}
