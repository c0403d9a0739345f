// Plots of experiments: the worth and its components against the varied quantity, with one line
// per policy.

package sitebench

import (
	"fmt"
	"math"
	"os"
	"slices"

	"github.com/go-analyze/charts"
)

// plotWidth and plotHeight are in pixels and fit a page of docs/.
const (
	plotWidth  = 720
	plotHeight = 400
)

const (
	// legendTop is the position of the legend, in pixels from the top, which puts it below the
	// title.
	legendTop = "30"
	// plotSteps is the number of steps per unit to which the limits of the axis are rounded.
	plotSteps = 20
)

// plottedFigures are the figures that get a plot.
var plottedFigures = []string{"worth", "earned", "price"}

// series holds the values of one figure, with one line per policy.
type series struct {
	policies []string
	// labels are the values of the varied quantity. values holds the figure at each of them, by
	// policy.
	labels []string
	values [][]float64
}

// seriesOf groups the rows of an experiment by policy.
func seriesOf(figure string, rows []Row) series {
	var l series
	for _, row := range rows {
		if row.Policy == rows[0].Policy {
			l.labels = append(l.labels, fmt.Sprintf("%.2g", row.Value))
		}
		at := slices.Index(l.policies, row.Policy)
		if at < 0 {
			at = len(l.policies)
			l.policies, l.values = append(l.policies, row.Policy), append(l.values, nil)
		}
		l.values[at] = append(l.values[at], row.Figures[figure])
	}
	return l
}

// bounds returns the limits of the value axis.
func (s series) bounds() (first, last float64) {
	lowest, highest := math.Inf(1), math.Inf(-1)
	for _, line := range s.values {
		lowest, highest = min(lowest, slices.Min(line)), max(highest, slices.Max(line))
	}
	return math.Floor(plotSteps*lowest) / plotSteps, math.Ceil(plotSteps*highest) / plotSteps
}

// plot writes an SVG plot of a figure for all policies and values.
func plot(path, figure string, rows []Row) error {
	l := seriesOf(figure, rows)
	option := charts.NewLineChartOptionWithData(l.values)
	option.Title.Text = fmt.Sprintf("%s, day %s: %s by %s", rows[0].Site, rows[0].Day, figure, rows[0].Varied)
	option.Legend.SeriesNames = l.policies
	option.Legend.Offset = charts.OffsetStr{Top: legendTop}
	option.XAxis.Labels = l.labels
	first, last := l.bounds()
	axis := &option.YAxis[0]
	axis.Min, axis.Max = charts.Ptr(first), charts.Ptr(last)
	axis.PreferNiceIntervals, axis.RangeValuePaddingScale = charts.Ptr(false), charts.Ptr(0.0)
	axis.ValueFormatter = func(value float64) string { return fmt.Sprintf("%.2f", value) }
	painter := charts.NewPainter(charts.PainterOptions{OutputFormat: charts.ChartOutputSVG, Width: plotWidth, Height: plotHeight})
	if err := painter.LineChart(option); err != nil {
		return err
	}
	picture, err := painter.Bytes()
	if err != nil {
		return err
	}
	return os.WriteFile(path, picture, 0o644)
}
