// Experiments vary one quantity and run all policies on the same scenarios. The means over several
// seeds go into a table, a file and a plot.

package sitebench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// Seeds is the number of seeds that each row averages over.
const Seeds = 3

// Row is the result of a policy at one value of the varied quantity.
type Row struct {
	Site   string  `json:"site"`
	Day    string  `json:"day"`
	Varied string  `json:"varied"`
	Value  float64 `json:"value"`
	Policy string  `json:"policy"`
	// Figures are means over the seeds. WorthMin and WorthMax are the range of the worth over the
	// seeds.
	Figures  map[string]float64 `json:"figures"`
	WorthMin float64            `json:"worth_least"`
	WorthMax float64            `json:"worth_most"`
}

// experiment varies one quantity of a scenario.
type experiment struct {
	varied string
	values []float64
	set    func(scenario *Scenario, value float64)
}

func experiments() []experiment {
	return []experiment{
		{"load", []float64{0.6, 0.8, 1, 1.2, 1.4}, func(scenario *Scenario, value float64) { scenario.Load = value }},
		{"store room", []float64{0, 0.25, 0.5, 1, 2}, func(scenario *Scenario, value float64) { scenario.StoreCapacity = value }},
	}
}

// compare runs all policies on a scenario at one value.
func compare(site Site, scenario Scenario, varied string, value float64, seeds int) []Row {
	var rows []Row
	for _, policy := range Policies() {
		row := Row{Site: site.Name, Day: scenario.Name, Varied: varied, Value: value, Policy: policy.Name, Figures: map[string]float64{}, WorthMin: 1}
		for seed := range seeds {
			result := Simulate(site, scenario, policy, uint64(seed))
			for _, figure := range figures() {
				row.Figures[figure.name] += figure.of(result) / float64(seeds)
			}
			row.WorthMin, row.WorthMax = min(row.WorthMin, result.Worth), max(row.WorthMax, result.Worth)
		}
		rows = append(rows, row)
	}
	return rows
}

// Output paths of Run.
const (
	OutputFile = "bench-sites.json"
	PlotFolder = "bench-plots"
)

// Run runs all experiments, prints their tables, and writes the rows as JSON and several plots per
// experiment.
func Run(out io.Writer) error {
	if err := os.MkdirAll(PlotFolder, 0o755); err != nil {
		return err
	}
	var all []Row
	for _, site := range Sites() {
		for _, scenario := range Scenarios() {
			for _, experiment := range experiments() {
				rows := experiment.run(out, site, scenario)
				all = append(all, rows...)
				if err := plotAll(rows); err != nil {
					return err
				}
			}
		}
	}
	data, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(OutputFile, data, 0o644)
}

// plotAll writes the plots of one experiment.
func plotAll(rows []Row) error {
	for _, figure := range plottedFigures {
		name := fmt.Sprintf("%s-%s-%s-by-%s.svg", rows[0].Site, rows[0].Day, figure, rows[0].Varied)
		if err := plot(filepath.Join(PlotFolder, strings.ReplaceAll(name, " ", "-")), figure, rows); err != nil {
			return err
		}
	}
	return nil
}

func (e experiment) run(out io.Writer, site Site, scenario Scenario) []Row {
	var all []Row
	for _, value := range e.values {
		varied := scenario
		e.set(&varied, value)
		rows := compare(site, varied, e.varied, value, Seeds)
		printRows(out, rows)
		all = append(all, rows...)
	}
	return all
}

// printRows prints the rows of one value.
func printRows(out io.Writer, rows []Row) {
	first := rows[0]
	fmt.Fprintf(out, "\n%s, day %s, %s %.2g, %d seeds\n  %-18s", first.Site, first.Day, first.Varied, first.Value, Seeds, "policy")
	for _, figure := range figures() {
		fmt.Fprintf(out, " %12s", figure.name)
	}
	fmt.Fprintf(out, "  worth of seeds\n")
	for _, row := range rows {
		fmt.Fprintf(out, "  %-18s", row.Policy)
		for _, figure := range figures() {
			fmt.Fprintf(out, " %12.3f", row.Figures[figure.name])
		}
		fmt.Fprintf(out, "  %.3f to %.3f\n", row.WorthMin, row.WorthMax)
	}
}
