package worth

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
)

// journalEntry holds the fields of a journal entry, which describes one run, that are used here.
type journalEntry struct {
	// At holds the start and the end of the run, as text that sorts by time.
	At      []string `json:"at"`
	Command string   `json:"cmd"`
	Site    string   `json:"site"`
	Why     string   `json:"why"`
	OK      bool     `json:"ok"`
	Error   string   `json:"error"`
	Days    []struct {
		Worth float64        `json:"G"`
		Rules map[string]int `json:"rules"`
	} `json:"days"`
	// Argv are the command-line arguments, which include the path of the site's file.
	Argv []string `json:"argv"`
}

// site returns the name of the site that the run used, or "-" if the entry has none.
func (e *journalEntry) site() string {
	if e.Site != "" {
		return e.Site
	}
	for _, argument := range e.Argv {
		if name, found := strings.CutSuffix(filepath.Base(argument), ".toml"); found {
			return name
		}
	}
	return "-"
}

// runGroup summarizes the runs with the same reason, command and site.
type runGroup struct {
	why, command, site string
	started            string
	runs, failed       int
	worth              []float64
	rules              map[string]int
}

func (g *runGroup) add(e *journalEntry) {
	g.runs++
	if !e.OK {
		g.failed++
	}
	if len(e.At) > 0 && (g.started == "" || e.At[0] < g.started) {
		g.started = e.At[0]
	}
	for _, day := range e.Days {
		g.worth = append(g.worth, day.Worth)
		for rule, times := range day.Rules {
			g.rules[rule] += times
		}
	}
}

// outcome summarizes the results of the runs in a few words.
func (g *runGroup) outcome() string {
	var parts []string
	if len(g.worth) > 0 {
		parts = append(parts, fmt.Sprintf("%d days, worth %.3f to %.3f", len(g.worth), slices.Min(g.worth), slices.Max(g.worth)))
	}
	for _, rule := range slices.Sorted(maps.Keys(g.rules)) {
		parts = append(parts, fmt.Sprintf("%s %d", rule, g.rules[rule]))
	}
	if len(g.rules) == 0 && len(g.worth) > 0 {
		parts = append(parts, "no rule broken")
	}
	if g.failed > 0 {
		parts = append(parts, fmt.Sprintf("%d not finished", g.failed))
	}
	return strings.Join(parts, ", ")
}

// PrintJournal lists the journal entries in a folder, grouped by reason, command and site and
// ordered by the start of the first run. Only entries whose reason contains the given text are
// listed.
func PrintJournal(out io.Writer, folder, containing string) error {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return merry.Wrap(err)
	}
	rows := map[string]*runGroup{}
	for _, path := range paths {
		e, err := readJournalEntry(path)
		if err != nil {
			return err
		}
		if !strings.Contains(e.Why, containing) {
			continue
		}
		key := strings.Join([]string{e.Why, e.Command, e.site()}, "\x00")
		if rows[key] == nil {
			rows[key] = &runGroup{why: e.Why, command: e.Command, site: e.site(), rules: map[string]int{}}
		}
		rows[key].add(e)
	}
	return printRunGroups(out, slices.Collect(maps.Values(rows)))
}

func readJournalEntry(path string) (*journalEntry, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	e := &journalEntry{}
	if err := json.Unmarshal(raw, e); err != nil {
		return nil, merry.Wrap(err, merry.AppendMessage(path))
	}
	return e, nil
}

func printRunGroups(out io.Writer, rows []*runGroup) error {
	slices.SortFunc(rows, func(a, b *runGroup) int {
		return cmp.Or(strings.Compare(a.started, b.started), strings.Compare(a.why, b.why), strings.Compare(a.site, b.site))
	})
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, "BEGUN\tRUN\tSITE\tRUNS\tOUTCOME\tWHY"); err != nil {
		return err
	}
	for _, row := range rows {
		if _, err := fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\n", row.started, row.command, row.site, row.runs, row.outcome(), row.why); err != nil {
			return err
		}
	}
	return table.Flush()
}
