package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Baselines names the policies that scenarios with Baselines set also run.
var Baselines = []string{"round-robin", "least-outstanding", "two-reports", "order-fcfs"}

// LookupPolicy returns a registered policy by name.
func LookupPolicy(name string) (Policy, bool) { p, ok := policies[name]; return p, ok }

// Header returns the tab-separated table header. Times are in milliseconds.
func Header() string {
	cols := []string{"SCENARIO", "POLICY", "REQ"}
	for _, c := range Classes {
		cols = append(cols, string(c)+" p50/p95/p99")
	}
	return strings.Join(append(cols, "SLOWDOWN", "SHORT<1s", "IN TIME", "LATE", "WORST LONG", "REFUSED", "REF p99", "FAILED", "GOOD tok/s", "WASTED", "KV LEFT", "MSG", "B/REQ"), "\t")
}

// Row returns the tab-separated table row of a run.
func (s Summary) Row() string {
	cols := []string{s.Scenario, s.Policy, fmt.Sprint(s.Requests)}
	for _, c := range s.Classes {
		cols = append(cols, fmt.Sprintf("%.0f/%.0f/%.0f", c.P50MS, c.P95MS, c.P99MS))
	}
	cols = append(cols, fmt.Sprintf("%.2f", s.Slowdown), fmt.Sprintf("%.3f", s.ShortWithin), fmt.Sprintf("%.4f", s.InTime),
		fmt.Sprint(s.Late+s.Unanswered), fmt.Sprintf("%.0f", s.WorstLongMS), formatCounts(s.Refusals), fmt.Sprintf("%.0f", s.RefusedP99MS),
		formatCounts(s.Failures), fmt.Sprintf("%.0f", s.Goodput), fmt.Sprint(s.WastedTokens), fmt.Sprintf("%d/%d", s.MemoryLeft, s.Reserved),
		fmt.Sprintf("%.1f", s.Messages), fmt.Sprintf("%.0f", s.Bytes))
	return strings.Join(cols, "\t")
}

func formatCounts(m map[string]int) string {
	if len(m) == 0 {
		return "0"
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%s:%d", k, m[k]))
	}
	return strings.Join(out, " ")
}
