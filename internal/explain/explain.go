// Package explain reads the logs of entry boxes and tells the story of one call, or
// counts how calls failed.
//
// Lines may come from many boxes in any order, and with something before the JSON,
// as collectors put it there. What is no line of an entry box is passed over.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
)

// maxLineBytes bounds a line; those of entry boxes have some hundred bytes.
const maxLineBytes = 1 << 20

// line is one log line.
type line struct {
	Time    time.Time `json:"time"`
	Box     string    `json:"box"`
	Request string    `json:"request"`
	Event   string    `json:"message"`
	Outcome string    `json:"outcome"`
	Reason  string    `json:"reason"`
	Route   string    `json:"route"`
	// raw is the whole line's JSON.
	raw []byte
}

// Words of the lines: the event that ends a call's story, and the outcome of calls
// that got a whole answer.
const (
	eventCall     = "call"
	outcomeServed = "served"
)

// read gives each line of an entry box to take.
func read(source io.Reader, take func(line)) error {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		raw := scanner.Bytes()[start:]
		var decoded line
		if err := json.Unmarshal(raw, &decoded); err != nil || decoded.Event == "" {
			continue // another program's line
		}
		decoded.raw = slices.Clone(raw)
		take(decoded)
	}
	if err := scanner.Err(); err != nil {
		return merry.Prepend(err, "read log")
	}
	return nil
}

// beliefWindow is how far around a call changes of what its boxes believed are
// told: a lost server or a new configuration shows within seconds.
const beliefWindow = 2 * time.Second

// PrintTimeline prints the log lines of one call in order of time, together with the events that
// the boxes that handled it logged within eventWindow of them.
func PrintTimeline(source io.Reader, id string, out io.Writer) error {
	var own, beliefs []line
	err := read(source, func(l line) {
		switch {
		case l.Request == id:
			own = append(own, l)
		case l.Request == "":
			beliefs = append(beliefs, l)
		}
	})
	if err != nil {
		return err
	}
	if len(own) == 0 {
		return merry.Errorf("no line names request %s", id)
	}
	story := own
	for _, belief := range beliefs {
		if slices.ContainsFunc(own, func(l line) bool {
			return l.Box == belief.Box && l.Time.Sub(belief.Time).Abs() <= beliefWindow
		}) {
			story = append(story, belief)
		}
	}
	slices.SortStableFunc(story, func(a, b line) int { return a.Time.Compare(b.Time) })
	for _, l := range story {
		mark := " "
		if l.Request == id {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %s %s %s %s\n", mark, l.Time.Format("15:04:05.000"), l.Box, l.Event, details(l.raw)); err != nil {
			return err
		}
	}
	return nil
}

// details writes what a line says besides, as key=value pairs in its own order.
func details(raw []byte) string {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	var pairs []string
	for {
		token, err := decoder.Token()
		if err != nil {
			return strings.Join(pairs, " ")
		}
		key, isKey := token.(string)
		if !isKey {
			continue
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return strings.Join(pairs, " ")
		}
		switch key {
		case "time", "box", "zone", "message", "request":
		default:
			pairs = append(pairs, key+"="+strings.Trim(string(value), `"`))
		}
	}
}

// cause is what failed calls are counted by.
type cause struct {
	outcome, reason, route string
}

// failures counts calls that were not served.
type failures struct {
	// calls counts all calls, the served ones too.
	calls  int
	counts map[cause]int
	// examples names one request for each cause.
	examples map[cause]string
}

// PrintFailures counts the calls that were not served by outcome, reason and route, and prints the
// counts with the most frequent first.
func PrintFailures(source io.Reader, out io.Writer) error {
	f := failures{counts: map[cause]int{}, examples: map[cause]string{}}
	if err := read(source, f.count); err != nil {
		return err
	}
	return f.print(out)
}

// count takes in one line.
func (f *failures) count(l line) {
	if l.Event != eventCall {
		return
	}
	f.calls++
	if l.Outcome == outcomeServed {
		return
	}
	c := cause{l.Outcome, l.Reason, l.Route}
	f.counts[c]++
	if f.examples[c] == "" {
		f.examples[c] = l.Request
	}
}

// causes lists the causes, the most frequent first.
func (f *failures) causes() []cause {
	return slices.SortedFunc(maps.Keys(f.counts), func(a, b cause) int {
		return cmp.Or(f.counts[b]-f.counts[a], strings.Compare(a.outcome+a.reason+a.route, b.outcome+b.reason+b.route))
	})
}

func (f *failures) print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, "CALLS\tOUTCOME\tREASON\tROUTE\tFOR EXAMPLE"); err != nil {
		return err
	}
	for _, c := range f.causes() {
		if _, err := fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", f.counts[c], c.outcome, c.reason, c.route, f.examples[c]); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d calls in all\n", f.calls)
	return err
}
