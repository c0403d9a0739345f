package worth_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/worth"
)

func TestJournalIsListedByReason(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	for name, text := range map[string]string{
		"b": `{"at":["2026-12-03T10:00:00Z",""],"cmd":"run","site":"small","why":"second","ok":true,"days":[{"G":0.5,"rules":{}}]}`,
		"a": `{"at":["2026-12-02T10:00:00Z",""],"cmd":"run","site":"small","why":"first","ok":true,"days":[{"G":0.7,"rules":{"DRAIN":2}}]}`,
		"c": `{"at":["2026-12-02T11:00:00Z",""],"cmd":"run","site":"small","why":"first","ok":true,"days":[{"G":0.8,"rules":{"DRAIN":1}}]}`,
		"d": `{"at":["2026-12-03T11:00:00Z",""],"cmd":"hunt","argv":[".../large.toml","--days"],"why":"second","ok":false,"error":"given up","days":[]}`,
	} {
		g.Expect(os.WriteFile(filepath.Join(folder, name+".json"), []byte(text), 0o600)).To(Succeed())
	}
	var out bytes.Buffer
	g.Expect(worth.PrintJournal(&out, folder, "")).To(Succeed())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(4))
	g.Expect(lines[1]).To(MatchRegexp(`^2026-12-02T10:00:00Z +run +small +2 +2 days, worth 0.700 to 0.800, DRAIN 3 +first$`))
	g.Expect(lines[2]).To(MatchRegexp(`small +1 +1 days, worth 0.500 to 0.500, no rule broken +second$`))
	g.Expect(lines[3]).To(MatchRegexp(`hunt +large +1 +1 not finished +second$`))

	out.Reset()
	g.Expect(worth.PrintJournal(&out, folder, "fir")).To(Succeed())
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(2))

	g.Expect(os.WriteFile(filepath.Join(folder, "e.json"), []byte("{"), 0o600)).To(Succeed())
	g.Expect(worth.PrintJournal(&out, folder, "")).NotTo(Succeed())
}
