package load

import (
	"maps"
	"slices"

	"github.com/auburnmoor/auburnmoor/lab/plots"
)

// quantiles are the plotted percentiles.
var quantiles = []float64{5, 10, 25, 50, 75, 90, 95, 99, 99.9}

// Plot draws the quantiles of the time to first token, with one line per target
// and prompt length class.
func (r *Report) Plot(path string) error {
	var series []plots.Series
	for _, t := range slices.Sorted(maps.Keys(r.Results)) {
		for _, c := range lengthClasses {
			h := r.Results[t].First[c.Name]
			if h == nil {
				continue
			}
			s := plots.Series{Name: string(t) + " " + c.Name}
			for _, q := range quantiles {
				s.X = append(s.X, q)
				s.Y = append(s.Y, float64(h.ValueAtQuantile(q))/1000)
			}
			series = append(series, s)
		}
	}
	return plots.Lines(path, "Time to first token by prompt length", "quantile (%)", "milliseconds", series)
}
