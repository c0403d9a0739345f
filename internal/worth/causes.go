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

// Causes of calls that were not served in time, as far as the log lines of their boxes show them.
const (
	causeRefused       = "refused"
	causeNoAnswer      = "no answer, or a failure"
	causeQueued        = "waited for room at its box"
	causePredictedLate = "placed though late was expected"
	causeFetch         = "first event later than expected, with a fetch"
	causeRunner        = "first event later than expected, without a fetch"
	causeInTime        = "in time"
	causeCallerLeft    = "the caller left"
	longWaitShare      = 0.1
	lateByShare        = 0.25
	windowSeconds      = 4
)

// Causes counts the calls with prompts in the logs of entry boxes, by the cause of their delay or
// failure and by the time window in which they arrived.
type Causes struct {
	first   time.Time
	counts  map[string]map[int]int
	windows int
}

// NewCauses returns an empty count.
func NewCauses() *Causes { return &Causes{counts: map[string]map[int]int{}} }

// Read counts the calls in a log.
func (c *Causes) Read(source io.Reader) error { return explain.ForEachCall(source, c.count) }

// count counts the call of one log line. Calls without an objective or a prompt are ignored.
func (c *Causes) count(call explain.Call) {
	if call.Objective == 0 || call.PromptTokens == 0 {
		return
	}
	if c.first.IsZero() || call.Time.Before(c.first) {
		c.first = call.Time
	}
	window := int(call.Time.Sub(c.first)/time.Second) / windowSeconds
	c.windows = max(c.windows, window+1)
	cause := causeOf(call)
	if c.counts[cause] == nil {
		c.counts[cause] = map[int]int{}
	}
	c.counts[cause][window]++
}

// causeOf classifies a call by the cause of its delay or failure.
func causeOf(call explain.Call) string {
	switch {
	case call.Outcome == "refused":
		return causeRefused + ": " + call.Reason
	case call.Outcome == "gone":
		return causeCallerLeft
	case call.FirstEvent == 0:
		return causeNoAnswer
	case call.FirstEvent <= call.Objective:
		return causeInTime
	case call.QueueTime > longWaitShare*call.Objective:
		return causeQueued
	case call.QueueTime+call.Expected > call.Objective:
		return causePredictedLate
	case call.FetchedFrom != "" && call.FirstEvent-call.QueueTime-call.Expected > lateByShare*call.Objective:
		return causeFetch
	default:
		return causeRunner
	}
}

// Print prints a table of the causes by time window.
func (c *Causes) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	var head strings.Builder
	for window := range c.windows {
		fmt.Fprintf(&head, "%d s\t", window*windowSeconds)
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
