package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Line is one row of latencies in the report, in milliseconds.
type Line struct {
	Target string  `json:"target"`
	Prompt string  `json:"prompt_tokens"`
	Count  int64   `json:"count"`
	P50MS  float64 `json:"p50_ms"`
	P95MS  float64 `json:"p95_ms"`
	P99MS  float64 `json:"p99_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// Totals holds the request counts of one target.
type Totals struct {
	Target             string         `json:"target"`
	Sent               int            `json:"sent"`
	Answered           int            `json:"answered"`
	Wrong              int            `json:"wrong"`
	RepeatedExecutions int            `json:"doubled"`
	Errors             map[string]int `json:"errors"`
}

// Summary is the report in its JSON form.
type Summary struct {
	Seconds   float64  `json:"seconds"`
	PerSecond float64  `json:"answered_per_second"`
	NotSent   int      `json:"not_sent"`
	Totals    []Totals `json:"totals"`
	First     []Line   `json:"time_to_first_token"`
	Total     []Line   `json:"total_time"`
}

func newLine(target, prompt string, h *hdrhistogram.Histogram) Line {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Line{Target: target, Prompt: prompt, Count: h.TotalCount(), P50MS: ms(h.ValueAtQuantile(50)),
		P95MS: ms(h.ValueAtQuantile(95)), P99MS: ms(h.ValueAtQuantile(99)), MaxMS: ms(h.Max())}
}

// Summary computes rates and percentiles from the report.
func (r *Report) Summary() Summary {
	s := Summary{Seconds: r.Took.Seconds(), NotSent: r.NotSent}
	answered := 0
	for _, t := range slices.Sorted(maps.Keys(r.Results)) {
		x := r.Results[t]
		answered += x.Answered
		s.Totals = append(s.Totals, Totals{Target: string(t), Sent: x.Sent, Answered: x.Answered, Wrong: x.Wrong, RepeatedExecutions: x.RepeatedExecutions, Errors: x.Errors})
		for _, c := range lengthClasses {
			if h := x.First[c.Name]; h != nil {
				s.First = append(s.First, newLine(string(t), c.Name, h))
			}
		}
		s.Total = append(s.Total, newLine(string(t), "all", x.Total))
	}
	s.PerSecond = float64(answered) / r.Took.Seconds()
	return s
}

// WriteJSON writes the summary as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r.Summary())
}

// WriteTable writes the summary as a table.
func (r *Report) WriteTable(out io.Writer) error {
	s := r.Summary()
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%.1f s, %.0f answered a second, %d not sent\n", s.Seconds, s.PerSecond, s.NotSent)
	fmt.Fprintln(w, "TARGET\tSENT\tANSWERED\tWRONG\tDOUBLED\tERRORS")
	for _, t := range s.Totals {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%v\n", t.Target, t.Sent, t.Answered, t.Wrong, t.RepeatedExecutions, t.Errors)
	}
	for _, part := range []struct {
		name  string
		lines []Line
	}{{"FIRST TOKEN", s.First}, {"TOTAL", s.Total}} {
		fmt.Fprintf(w, "%s\tTOKENS\tCOUNT\tP50 ms\tP95 ms\tP99 ms\tMAX ms\n", part.name)
		for _, l := range part.lines {
			fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", l.Target, l.Prompt, l.Count, l.P50MS, l.P95MS, l.P99MS, l.MaxMS)
		}
	}
	return w.Flush()
}
