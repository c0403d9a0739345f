package worth

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
)

// baselineFolder holds the reports of the days that ran with all mechanisms on.
const baselineFolder = "none"

// gainStats is the gain in worth over several days: the mean, and the smallest and the largest
// gain of a single day.
type gainStats struct {
	mean, smallest, largest float64
	days                    int
}

// PrintAblation prints how much worth each mechanism adds. The folder has one subfolder for each
// mechanism that was switched off and one named "none" for the runs with all mechanisms on. Each
// of these has one subfolder per site, which holds the reports of its days.
func PrintAblation(out io.Writer, folder string) error {
	offs, err := subfolders(folder)
	if err != nil {
		return err
	}
	sites, err := subfolders(filepath.Join(folder, baselineFolder))
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	head := "WITHOUT"
	for _, site := range sites {
		head += "\t" + site + "\tDIFFERENCE\tBY DAY"
	}
	rows := []string{head}
	for _, off := range offs {
		row, err := ablationRow(folder, off, sites)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, row); err != nil {
			return err
		}
	}
	return table.Flush()
}

// ablationRow compares the days without one mechanism with those with all mechanisms, for each
// site. The column BY DAY is the smallest and the largest gain that the mechanism brought on a
// single day.
func ablationRow(folder, off string, sites []string) (string, error) {
	row := off
	for _, site := range sites {
		with, err := readWorths(filepath.Join(folder, baselineFolder, site))
		if err != nil {
			return "", err
		}
		without, err := readWorths(filepath.Join(folder, off, site))
		if err != nil {
			return "", err
		}
		gains := gainsOf(with, without)
		row += fmt.Sprintf("\t%.3f\t%+.3f\t%+.3f to %+.3f", mean(without), gains.mean, gains.smallest, gains.largest)
	}
	return row, nil
}

// gainsOf returns how much more worth each day has in baseline than in without. It ignores days that
// are missing from either.
func gainsOf(baseline, without map[string]float64) gainStats {
	var gains gainStats
	for day, worth := range baseline {
		other, played := without[day]
		if !played {
			continue
		}
		gain := worth - other
		if gains.days == 0 || gain < gains.smallest {
			gains.smallest = gain
		}
		if gains.days == 0 || gain > gains.largest {
			gains.largest = gain
		}
		gains.days++
		gains.mean += gain
	}
	gains.mean /= float64(max(gains.days, 1))
	return gains
}

func mean(worths map[string]float64) float64 {
	sum := 0.0
	for _, worth := range worths {
		sum += worth
	}
	return sum / float64(max(len(worths), 1))
}

// readWorths reads the worth of each day in a folder, keyed by the file name of its report.
func readWorths(folder string) (map[string]float64, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, merry.Prepend(err, "list reports")
	}
	found := make(map[string]float64, len(paths))
	for _, path := range paths {
		report, err := ReadReport(path)
		if err != nil {
			return nil, err
		}
		found[filepath.Base(path)] = report.Worth
	}
	return found, nil
}

func subfolders(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, merry.Prepend(err, "list folders")
	}
	var names []string
	for _, entry := range entries {
		if entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}
