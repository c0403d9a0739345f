// Package worth says where the worth of days was lost: by kind of call, by moment, by price
// and, from the logs of the entry boxes, by cause. It reads the reports that the users'
// bench writes of a day and the boxes' own log lines, so that each figure in docs/ about
// what binds can be made anew by one command.
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

// Report is what a report of a day says, as far as it is used here.
type Report struct {
	Worth   float64  `json:"G"`
	Parts   []amount `json:"parts"`
	Prices  []amount `json:"prices"`
	Classes []group  `json:"classes"`
	Zones   []group  `json:"zones"`
	Windows []group  `json:"windows"`
}

// group is a group of calls: a kind, a zone, or those first sent in some seconds.
type group struct {
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

// amount is a row of a name, a quantity or weight, and what it adds or takes.
type amount struct {
	name     string
	quantity float64
	worth    float64
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *amount) UnmarshalJSON(raw []byte) error {
	row := []any{&a.name, &a.quantity, &a.worth}
	return json.Unmarshal(raw, &row)
}

// leastShown is the least price that has a row, in worth.
const leastShown = 0.0005

// ReadReport reads the report of a day from a file.
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

// Print prints where the worth of days was lost, as means over their reports.
func Print(out io.Writer, reports []Report) error {
	if len(reports) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	worths := collect(reports, func(r Report) []amount { return []amount{{name: "worth", worth: r.Worth}} })
	rows := []string{fmt.Sprintf("%d days, mean worth %.3f", len(reports), worths[0].worth), "\nPART\tWEIGHT\tSHARE\t"}
	for _, part := range collect(reports, func(r Report) []amount { return r.Parts }) {
		rows = append(rows, fmt.Sprintf("%s\t%.2f\t%.3f\t", part.name, part.quantity, part.worth))
	}
	rows = append(rows, "\nPRICE\tQUANTITY\tWORTH\t")
	prices := collect(reports, func(r Report) []amount { return r.Prices })
	slices.SortStableFunc(prices, func(a, b amount) int { return cmp.Compare(b.worth, a.worth) })
	for _, price := range prices {
		if price.worth >= leastShown {
			rows = append(rows, fmt.Sprintf("%s\t%.1f\t%.4f\t", price.name, price.quantity, price.worth))
		}
	}
	rows = append(rows, groupRows("KIND", reports, func(r Report) []group { return r.Classes })...)
	rows = append(rows, groupRows("ZONE", reports, func(r Report) []group { return r.Zones })...)
	rows = append(rows, groupRows("FROM SECOND", reports, func(r Report) []group { return r.Windows })...)
	if _, err := fmt.Fprintln(table, strings.Join(rows, "\n")); err != nil {
		return err
	}
	return table.Flush()
}

// collect gives the means of rows with the same name, in the order of the first report.
func collect(reports []Report, rows func(Report) []amount) []amount {
	var means []amount
	for _, report := range reports {
		for _, row := range rows(report) {
			at := slices.IndexFunc(means, func(m amount) bool { return m.name == row.name })
			if at < 0 {
				at, means = len(means), append(means, amount{name: row.name})
			}
			means[at].quantity += row.quantity / float64(len(reports))
			means[at].worth += row.worth / float64(len(reports))
		}
	}
	return means
}

// groupRows gives the rows of a table of groups, summed over reports.
func groupRows(title string, reports []Report, groups func(Report) []group) []string {
	var sums []group
	for _, report := range reports {
		for _, one := range groups(report) {
			at := slices.IndexFunc(sums, func(s group) bool { return s.Name == one.Name })
			if at < 0 {
				at, sums = len(sums), append(sums, group{Name: one.Name})
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

// add adds a group; shares and times count by the number of calls.
func (g *group) add(one group) {
	g.Calls += one.Calls
	g.InTime += one.InTime
	g.Late += one.Late
	g.Refused += one.Refused
	g.Failed += one.Failed
	g.Worth += one.Worth * float64(one.Calls)
	g.P50 += one.P50 * float64(one.Calls)
	g.P99 += one.P99 * float64(one.Calls)
}
