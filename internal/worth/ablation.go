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

// everything is the folder of the days that were played with all mechanisms on.
const everything = "none"

// spreadOf is the worth of some days: the mean, the least and the most of single days.
type spreadOf struct {
	mean, least, most float64
	days              int
}

// PrintAblation prints what mechanisms are worth: the folder has one for each that was
// switched off, and "none", and in it one for each site, with reports of days.
func PrintAblation(out io.Writer, folder string) error {
	offs, err := subfolders(folder)
	if err != nil {
		return err
	}
	sites, err := subfolders(filepath.Join(folder, everything))
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

// ablationRow compares the days without one mechanism with those with all, by site. BY DAY
// tells the least and the most that a single day gained by the mechanism.
func ablationRow(folder, off string, sites []string) (string, error) {
	row := off
	for _, site := range sites {
		with, err := worths(filepath.Join(folder, everything, site))
		if err != nil {
			return "", err
		}
		without, err := worths(filepath.Join(folder, off, site))
		if err != nil {
			return "", err
		}
		gains := spread(with, without)
		row += fmt.Sprintf("\t%.3f\t%+.3f\t%+.3f to %+.3f", mean(without), gains.mean, gains.least, gains.most)
	}
	return row, nil
}

// spread gives what days that were played in both ways gained.
func spread(with, without map[string]float64) spreadOf {
	var gains spreadOf
	for day, worth := range with {
		other, played := without[day]
		if !played {
			continue
		}
		gain := worth - other
		if gains.days == 0 || gain < gains.least {
			gains.least = gain
		}
		if gains.days == 0 || gain > gains.most {
			gains.most = gain
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

// worths reads the worth of each day in a folder, by the name of its report.
func worths(folder string) (map[string]float64, error) {
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
