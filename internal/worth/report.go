// Package worth reports where the days of the users' bench lost worth: by class of call, by time,
// by price and, from the logs of the entry boxes, by cause. A day is one run of that bench. The
// package reads the report that the bench writes for each day and the log lines of the boxes, so
// that one command reproduces each figure in docs/ on the limiting factors.
package worth

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
)

// Report holds the fields of a day's report that are used here.
type Report struct {
	Worth   float64       `json:"G"`
	Parts   []weightedRow `json:"parts"`
	Prices  []weightedRow `json:"prices"`
	Classes []callGroup   `json:"classes"`
	Zones   []callGroup   `json:"zones"`
	Windows []callGroup   `json:"windows"`
}

// callGroup is a group of calls: those of a class, of a zone, or first sent within a time window.
type callGroup struct {
	Name    string  `json:"name"`
	Calls   int     `json:"n"`
	InTime  int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
}

// weightedRow is a row of a report: a name, a quantity or weight, and the worth that it adds or
// costs.
type weightedRow struct {
	name     string
	quantity float64
	worth    float64
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *weightedRow) UnmarshalJSON(raw []byte) error {
	row := []any{&a.name, &a.quantity, &a.worth}
	return json.Unmarshal(raw, &row)
}

// minPriceShown is the smallest price, in worth, that gets a row in the table.
const minPriceShown = 0.0005

// ReadReport reads a day's report from a file.
func ReadReport(path string) (Report, error) {
	var report Report
	source, err := os.ReadFile(path)
	if err != nil {
		return report, merry.Prepend(err, "read report")
	}
	if err := json.Unmarshal(source, &report); err != nil {
		return report, merry.Prependf(err, "report %s", path)
	}
	return report, nil
}

// Print prints where the days lost worth, as means over their reports.
func Print(out io.Writer, reports []Report) error {
	if len(reports) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	worths := meanRows(reports, func(r Report) []weightedRow { return []weightedRow{{name: "worth", worth: r.Worth}} })
	rows := []string{fmt.Sprintf("%d days, mean worth %.3f", len(reports), worths[0].worth), "\nPART\tWEIGHT\tSHARE\t"}
	for _, part := range meanRows(reports, func(r Report) []weightedRow { return r.Parts }) {
		rows = append(rows, fmt.Sprintf("%s\t%.2f\t%.3f\t", part.name, part.quantity, part.worth))
	}
	rows = append(rows, "\nPRICE\tQUANTITY\tWORTH\t")
	prices := meanRows(reports, func(r Report) []weightedRow { return r.Prices })
	slices.SortStableFunc(prices, func(a, b weightedRow) int { return cmp.Compare(b.worth, a.worth) })
	for _, price := range prices {
		if price.worth >= minPriceShown {
			rows = append(rows, fmt.Sprintf("%s\t%.1f\t%.4f\t", price.name, price.quantity, price.worth))
		}
	}
	rows = append(rows, groupRows("KIND", reports, func(r Report) []callGroup { return r.Classes })...)
	rows = append(rows, groupRows("ZONE", reports, func(r Report) []callGroup { return r.Zones })...)
	rows = append(rows, groupRows("FROM SECOND", reports, func(r Report) []callGroup { return r.Windows })...)
	if _, err := fmt.Fprintln(table, strings.Join(rows, "\n")); err != nil {
		return err
	}
	return table.Flush()
}

// meanRows returns the means of the rows with the same name, in the order in which the names first
// occur.
func meanRows(reports []Report, rows func(Report) []weightedRow) []weightedRow {
	var means []weightedRow
	for _, report := range reports {
		for _, row := range rows(report) {
			at := slices.IndexFunc(means, func(m weightedRow) bool { return m.name == row.name })
			if at < 0 {
				at, means = len(means), append(means, weightedRow{name: row.name})
			}
			means[at].quantity += row.quantity / float64(len(reports))
			means[at].worth += row.worth / float64(len(reports))
		}
	}
	return means
}

// groupRows returns the rows of a table of call groups, summed over the reports.
func groupRows(title string, reports []Report, groups func(Report) []callGroup) []string {
	var sums []callGroup
	for _, report := range reports {
		for _, one := range groups(report) {
			at := slices.IndexFunc(sums, func(s callGroup) bool { return s.Name == one.Name })
			if at < 0 {
				at, sums = len(sums), append(sums, callGroup{Name: one.Name})
			}
			sums[at].add(one)
		}
	}
	rows := []string{"\n" + title + "\tCALLS\tIN TIME\tLATE\tREFUSED\tFAILED\tSHARE OF CREDIT\tP50 MS\tP99 MS\t"}
	for _, sum := range sums {
		calls := max(float64(sum.Calls), 1)
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.0f\t%.0f\t",
			sum.Name, sum.Calls, sum.InTime, sum.Late, sum.Refused, sum.Failed, sum.Worth/calls, sum.P50/calls, sum.P99/calls))
	}
	return rows
}

// add adds another group. Worth and latencies are weighted by the number of calls.
func (g *callGroup) add(other callGroup) {
	g.Calls += other.Calls
	g.InTime += other.InTime
	g.Late += other.Late
	g.Refused += other.Refused
	g.Failed += other.Failed
	g.Worth += other.Worth * float64(other.Calls)
	g.P50 += other.P50 * float64(other.Calls)
	g.P99 += other.P99 * float64(other.Calls)
}
