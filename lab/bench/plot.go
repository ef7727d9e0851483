package bench

import "github.com/auburnmoor/auburnmoor/lab/plots"

// Plot draws a bar chart of the p95 time to first token by prompt length class,
// with one bar per policy.
func Plot(path string, sums []Summary) error {
	var groups []string
	for _, c := range Classes {
		groups = append(groups, string(c))
	}
	var series []plots.Series
	for _, s := range sums {
		bars := plots.Series{Name: s.Policy}
		for _, c := range s.Classes {
			bars.Y = append(bars.Y, c.P95MS/1000)
		}
		series = append(series, bars)
	}
	return plots.Bars(path, sums[0].Scenario+": p95 time to first token", "seconds", groups, series)
}
