package worth

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cometlock/cometlock/internal/explain"
)

// Causes of calls that were not served in time, as far as their boxes' lines tell.
const (
	causeRefused   = "refused"
	causeNoAnswer  = "no answer, or a failure"
	causeWaited    = "waited for room at its box"
	causeForeseen  = "placed though late was expected"
	causeFetch     = "first event later than expected, with a fetch"
	causeRunner    = "first event later than expected, without a fetch"
	causeInTime    = "in time"
	causeGone      = "the caller left"
	waitedLong     = 0.1
	overdueLeast   = 0.25
	secondsOfTable = 4
)

// Causes counts the calls with prompts in boxes' log lines by why they were not in time,
// and by the seconds in which they came.
type Causes struct {
	first   time.Time
	counts  map[string]map[int]int
	windows int
}

// NewCauses makes a count of nothing.
func NewCauses() *Causes { return &Causes{counts: map[string]map[int]int{}} }

// Read takes in the lines of a log.
func (c *Causes) Read(source io.Reader) error { return explain.ForEachCall(source, c.take) }

// take takes in the line that ended a call.
func (c *Causes) take(call explain.Call) {
	if call.Objective == 0 || call.PromptTokens == 0 {
		return
	}
	if c.first.IsZero() || call.Time.Before(c.first) {
		c.first = call.Time
	}
	window := int(call.Time.Sub(c.first)/time.Second) / secondsOfTable
	c.windows = max(c.windows, window+1)
	cause := causeOf(call)
	if c.counts[cause] == nil {
		c.counts[cause] = map[int]int{}
	}
	c.counts[cause][window]++
}

// causeOf says why a call was late or not served.
func causeOf(call explain.Call) string {
	switch {
	case call.Outcome == "refused":
		return causeRefused + ": " + call.Reason
	case call.Outcome == "gone":
		return causeGone
	case call.FirstEvent == 0:
		return causeNoAnswer
	case call.FirstEvent <= call.Objective:
		return causeInTime
	case call.QueueTime > waitedLong*call.Objective:
		return causeWaited
	case call.QueueTime+call.Expected > call.Objective:
		return causeForeseen
	case call.FetchedFrom != "" && call.FirstEvent-call.QueueTime-call.Expected > overdueLeast*call.Objective:
		return causeFetch
	default:
		return causeRunner
	}
}

// Print prints a table of causes by time.
func (c *Causes) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	var head strings.Builder
	for window := range c.windows {
		fmt.Fprintf(&head, "%d s\t", window*secondsOfTable)
	}
	if _, err := fmt.Fprintln(table, "CALLS WITH PROMPTS\tALL\t"+head.String()); err != nil {
		return err
	}
	total := func(cause string) (sum int) {
		for _, count := range c.counts[cause] {
			sum += count
		}
		return sum
	}
	causes := slices.SortedFunc(maps.Keys(c.counts), func(a, b string) int { return cmp.Or(total(b)-total(a), strings.Compare(a, b)) })
	for _, cause := range causes {
		var row strings.Builder
		for window := range c.windows {
			fmt.Fprintf(&row, "%d\t", c.counts[cause][window])
		}
		if _, err := fmt.Fprintf(table, "%s\t%d\t%s\n", cause, total(cause), row.String()); err != nil {
			return err
		}
	}
	return table.Flush()
}
