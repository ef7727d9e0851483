// Package plots renders the reports of the load generator and the experiments
// as PNG files.
package plots

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Series is a named sequence of points or bar heights; bars use only Y.
type Series struct {
	Name string
	X, Y []float64
}

// Size of a rendered plot.
const (
	width  = 18 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// Lines writes a line plot of series with a logarithmic y axis to a PNG file.
func Lines(path, title, x, y string, series []Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var args []any
	for _, s := range series {
		points := make(plotter.XYs, 0, len(s.X))
		for i := range s.X {
			// A logarithmic axis cannot show zero.
			points = append(points, plotter.XY{X: s.X[i], Y: max(s.Y[i], 0.001)})
		}
		args = append(args, s.Name, points)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(width, height, path), "plot")
}

// Bars writes a grouped bar chart to a PNG file; each group has one bar per
// series.
func Bars(path, title, y string, groups []string, series []Series) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, y
	p.Legend.Top = true
	w := vg.Points(60 / float64(max(1, len(series))))
	for i, s := range series {
		bars, err := plotter.NewBarChart(plotter.Values(s.Y), w)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = w * vg.Length(float64(i)-float64(len(series)-1)/2)
		p.Add(bars)
		p.Legend.Add(s.Name, bars)
	}
	p.NominalX(groups...)
	return errors.Wrap(p.Save(width, height, path), "plot")
}
