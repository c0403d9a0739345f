// Package explain analyses the logs of entry boxes: it prints the timeline of one call, or counts failed
// calls by cause.
//
// The input may contain lines of many boxes in any order, and each line may have a prefix before the
// JSON, as log collectors add one. Lines that were not written by an entry box are skipped.
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

// maxLineBytes bounds the length of a line. Lines of entry boxes are a few hundred bytes long.
const maxLineBytes = 1 << 20

// line is one parsed log line.
type line struct {
	Time    time.Time `json:"time"`
	Box     string    `json:"box"`
	Request string    `json:"request"`
	Event   string    `json:"message"`
	Outcome string    `json:"outcome"`
	Reason  string    `json:"reason"`
	Route   string    `json:"route"`
	// raw is the complete JSON object of the line.
	raw []byte
}

// The event of a call's summary line, and the outcome of calls that received a complete answer.
const (
	callEvent     = "call"
	servedOutcome = "served"
)

// scanLines passes each line of an entry box to handle.
func scanLines(source io.Reader, handle func(line)) error {
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
			continue // written by another program
		}
		decoded.raw = slices.Clone(raw)
		handle(decoded)
	}
	if err := scanner.Err(); err != nil {
		return merry.Prepend(err, "read log")
	}
	return nil
}

// eventWindow is the maximum time between a line of a call and an event of the same box that is included
// in the call's timeline. A lost server or a new configuration affects calls within seconds.
const eventWindow = 2 * time.Second

// PrintTimeline prints the log lines of one call in order of time, together with the events that
// the boxes that handled it logged within eventWindow of them.
func PrintTimeline(source io.Reader, id string, out io.Writer) error {
	var requestLines, boxEvents []line
	err := scanLines(source, func(l line) {
		switch {
		case l.Request == id:
			requestLines = append(requestLines, l)
		case l.Request == "":
			boxEvents = append(boxEvents, l)
		}
	})
	if err != nil {
		return err
	}
	if len(requestLines) == 0 {
		return merry.Errorf("no line names request %s", id)
	}
	timeline := requestLines
	for _, event := range boxEvents {
		if slices.ContainsFunc(requestLines, func(l line) bool {
			return l.Box == event.Box && l.Time.Sub(event.Time).Abs() <= eventWindow
		}) {
			timeline = append(timeline, event)
		}
	}
	slices.SortStableFunc(timeline, func(a, b line) int { return a.Time.Compare(b.Time) })
	for _, l := range timeline {
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

// details returns the remaining fields of a line as key=value pairs, in the order of the line.
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

// cause is the key by which failed calls are counted.
type cause struct {
	outcome, reason, route string
}

// failures counts the calls that were not served, by cause.
type failures struct {
	// calls counts all calls, including served ones.
	calls  int
	counts map[cause]int
	// examples has the id of one request for each cause.
	examples map[cause]string
}

// PrintFailures counts the calls that were not served by outcome, reason and route, and prints the
// counts with the most frequent first.
func PrintFailures(source io.Reader, out io.Writer) error {
	f := failures{counts: map[cause]int{}, examples: map[cause]string{}}
	if err := scanLines(source, f.count); err != nil {
		return err
	}
	return f.print(out)
}

// count adds one line to the counts.
func (f *failures) count(l line) {
	if l.Event != callEvent {
		return
	}
	f.calls++
	if l.Outcome == servedOutcome {
		return
	}
	c := cause{l.Outcome, l.Reason, l.Route}
	f.counts[c]++
	if f.examples[c] == "" {
		f.examples[c] = l.Request
	}
}

// causes returns the causes, most frequent first.
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
