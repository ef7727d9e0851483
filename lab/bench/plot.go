package bench

import "github.com/auburnmoor/auburnmoor/lab/plots"

// Plot draws the p95 time to first token by prompt length, a bar for each
// policy.
func Plot(path string, sums []Summary) error {
	var groups []string
	for _, c := range Classes {
		groups = append(groups, string(c))
	}
	var series []plots.Series
	for _, s := range sums {
		line := plots.Series{Name: s.Policy}
		for _, c := range s.Classes {
			line.Y = append(line.Y, c.P95MS/1000)
		}
		series = append(series, line)
	}
	return plots.Bars(path, sums[0].Scenario+": p95 time to first token", "seconds", groups, series)
}
