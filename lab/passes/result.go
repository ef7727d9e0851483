package passes

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/spread"
)

// window is the length of the spans of a run whose values are compared.
const window = 4 * time.Second

// worstWindows is the number of windows in Summary.Worst.
const worstWindows = 2

// value is the total value of the requests, and the part earned by their answers.
type value struct{ Offered, Earned float64 }

func (v value) share() float64 {
	if v.Offered == 0 {
		return 1
	}
	return v.Earned / v.Offered
}

func (v *value) add(o value) { v.Offered, v.Earned = v.Offered+o.Offered, v.Earned+o.Earned }

// Result holds the outcomes of the requests of one kind.
type Result struct {
	Kind                string
	Asked, InTime, Late int
	Refused, GivenUp    int
	// RefusedAfter counts refused requests by the reason they were last put on hold.
	RefusedAfter               map[spread.Reason]int
	Value                      value
	FirstP50, FirstP99, GapP99 time.Duration
	// Largest and Large are the shares of requests answered, in time or late, among the
	// largest tenth of the prompts and the fifth below it.
	Largest, Large float64
	firsts, gaps   []time.Duration
	outcomes       []outcome
}

// outcome is the length of a prompt and whether its answer was complete.
type outcome struct {
	prompt   int64
	answered bool
}

// Shares of a kind's prompts that are reported separately, the longest first. A
// placement by lowest cost starves large prompts, which the mean of a kind hides.
const (
	largestShare = 0.1
	largeShare   = 0.2
)

// Answered returns the share of the requests whose answer was complete.
func (r Result) Answered() float64 {
	if r.Asked == 0 {
		return 1
	}
	return float64(r.InTime+r.Late) / float64(r.Asked)
}

// setLargeShares sets Largest and Large from the outcomes.
func (r *Result) setLargeShares() {
	slices.SortFunc(r.outcomes, func(a, b outcome) int { return cmp.Compare(b.prompt, a.prompt) })
	n := float64(len(r.outcomes))
	first, second := int(largestShare*n), int((largestShare+largeShare)*n)
	r.Largest, r.Large = answered(r.outcomes[:first]), answered(r.outcomes[first:second])
}

func answered(outcomes []outcome) float64 {
	if len(outcomes) == 0 {
		return 1
	}
	whole := 0
	for _, f := range outcomes {
		if f.answered {
			whole++
		}
	}
	return float64(whole) / float64(len(outcomes))
}

// Share returns the share of the offered value that was earned.
func (r Result) Share() float64 { return r.Value.share() }

func (r *Result) add(o Result) {
	r.Asked, r.InTime, r.Late = r.Asked+o.Asked, r.InTime+o.InTime, r.Late+o.Late
	r.Refused, r.GivenUp = r.Refused+o.Refused, r.GivenUp+o.GivenUp
	r.Value.add(o.Value)
	r.firsts, r.gaps = append(r.firsts, o.firsts...), append(r.gaps, o.gaps...)
	r.outcomes = append(r.outcomes, o.outcomes...)
	for reason, n := range o.RefusedAfter {
		r.RefusedAfter[reason] += n
	}
}

func (r *Result) percentiles() {
	r.FirstP50, r.FirstP99, r.GapP99 = percentile(r.firsts, 0.5), percentile(r.firsts, 0.99), percentile(r.gaps, 0.99)
}

func percentile(v []time.Duration, p float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(p*float64(len(v))))]
}

// Summary holds the results of one or more runs of a load.
type Summary struct {
	Load  string
	Kinds []Result
	// Whole is the share of the offered value that was earned, Worst the share in the
	// worst windows, and WorstKind that of the worst kind; means over the runs.
	Whole, Worst, WorstKind float64
	// Reports is the number of reports per second that an instance sends to its peers.
	Reports float64
	// Customers are the values of the load's customers.
	Customers []value
	runs      int
}

// Score returns the mean of the three shares.
func (s Summary) Score() float64 { return (s.Whole + s.Worst + s.WorstKind) / 3 }

// Kind returns the result of one kind.
func (s Summary) Kind(name string) Result {
	for _, r := range s.Kinds {
		if r.Kind == name {
			return r
		}
	}
	return Result{Kind: name}
}

// summarize summarizes one run. A request counts in the window of its arrival.
func summarize(load string, kinds []*Result, windows []value) Summary {
	s := Summary{Load: load, WorstKind: 1, runs: 1}
	var whole value
	for _, r := range kinds {
		r.percentiles()
		r.setLargeShares()
		s.Kinds = append(s.Kinds, *r)
		whole.add(r.Value)
		s.WorstKind = min(s.WorstKind, r.Share())
	}
	s.Whole = whole.share()
	var shares []float64
	for _, w := range windows {
		shares = append(shares, w.share())
	}
	slices.Sort(shares)
	n := min(worstWindows, len(shares))
	for _, v := range shares[:n] {
		s.Worst += v / float64(n)
	}
	return s
}

// Merge combines the runs of one load.
func Merge(runs []Summary) Summary {
	out := Summary{Load: runs[0].Load}
	for i := range runs[0].Kinds {
		sum := Result{Kind: runs[0].Kinds[i].Kind, RefusedAfter: map[spread.Reason]int{}}
		for _, r := range runs {
			sum.add(r.Kinds[i])
		}
		sum.percentiles()
		sum.setLargeShares()
		out.Kinds = append(out.Kinds, sum)
	}
	for _, r := range runs {
		out.runs += r.runs
		out.Whole += r.Whole * float64(r.runs)
		out.Worst += r.Worst * float64(r.runs)
		out.WorstKind += r.WorstKind * float64(r.runs)
		out.Reports += r.Reports * float64(r.runs)
	}
	out.Customers = make([]value, len(runs[0].Customers))
	for _, r := range runs {
		for i, v := range r.Customers {
			out.Customers[i].add(v)
		}
	}
	n := float64(out.runs)
	out.Whole, out.Worst, out.WorstKind, out.Reports = out.Whole/n, out.Worst/n, out.WorstKind/n, out.Reports/n
	return out
}

// refusedAfter formats RefusedAfter.
func (r Result) refusedAfter() string {
	var out []string
	for reason := range spread.NumReasons {
		if n := r.RefusedAfter[reason]; n > 0 {
			out = append(out, fmt.Sprintf("%s %d", reason, n))
		}
	}
	return strings.Join(out, ", ")
}

// Write prints the kinds of a summary as a table.
func Write(out io.Writer, s Summary) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "LOAD\tKIND\tASKED\tIN TIME\tLATE\tREFUSED\tGIVEN UP\tVALUE\tANSWERED\tNEXT 20 IN 100\tLARGEST 10\tFIRST P50\tP99\tPAUSE P99\tREFUSED AFTER WAITING FOR")
	for _, r := range s.Kinds {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%d ms\t%d ms\t%d ms\t%s\n", s.Load, r.Kind, r.Asked, r.InTime, r.Late, r.Refused, r.GivenUp,
			r.Share(), r.Answered(), r.Large, r.Largest, r.FirstP50.Milliseconds(), r.FirstP99.Milliseconds(), r.GapP99.Milliseconds(), r.refusedAfter())
	}
	fmt.Fprintf(w, "%s\tall\t\t\t\t\t\t%.3f\t\t\t\tworst windows %.3f, worst kind %.3f, %.0f reports a second of an instance\n", s.Load, s.Whole, s.Worst, s.WorstKind, s.Reports)
	if line := s.customersLine(); line != "" {
		fmt.Fprintf(w, "%s\t%s\n", s.Load, line)
	}
	return w.Flush()
}

// WriteLines prints one line for each summary and one for their mean.
func WriteLines(out io.Writer, all []Summary) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "LOAD\tWHOLE\tWORST WINDOWS\tWORST KIND\tSCORE")
	mean := Summary{Load: "mean"}
	for _, s := range all {
		writeLine(w, s)
		n := float64(len(all))
		mean.Whole, mean.Worst, mean.WorstKind = mean.Whole+s.Whole/n, mean.Worst+s.Worst/n, mean.WorstKind+s.WorstKind/n
	}
	writeLine(w, mean)
	return w.Flush()
}

func writeLine(w io.Writer, s Summary) {
	fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\n", s.Load, s.Whole, s.Worst, s.WorstKind, s.Score())
}
