package losses

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// interval is the length of the time intervals by which losses are grouped.
const interval = 2 * time.Second

// Maximum numbers of rows.
const (
	worstIntervals = 10
	maxLargest     = 5
)

// JSON writes the report as JSON.
func (rep Report) JSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(rep)
}

// Write prints three tables: causes by kind, causes in the intervals with most losses,
// and the losses with the longest prompts.
func (rep Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%d requests, %d lost (%d served late)\n\n", rep.Requests, len(rep.Losses), rep.servedLate())
	rep.writeByKind(w)
	rep.writeByInterval(w)
	rep.writeLargest(w)
	return w.Flush()
}

func (rep Report) servedLate() (n int) {
	for _, l := range rep.Losses {
		if l.Served {
			n++
		}
	}
	return n
}

func (rep Report) writeByKind(w io.Writer) {
	fmt.Fprint(w, "CAUSE")
	for _, k := range Kinds() {
		fmt.Fprintf(w, "\t%s", k)
	}
	fmt.Fprintln(w, "\tTOKENS OF ALL")
	for _, c := range rep.Causes() {
		fmt.Fprint(w, c)
		for _, k := range Kinds() {
			n, _ := rep.count(func(l Loss) bool { return l.Cause == c && l.Kind == k })
			fmt.Fprintf(w, "\t%d", n)
		}
		_, tokens := rep.count(func(l Loss) bool { return l.Cause == c })
		fmt.Fprintf(w, "\t%.3f\n", float64(tokens)/float64(max(1, rep.Tokens)))
	}
}

// count returns the number of matching losses and the sum of their prompt tokens.
func (rep Report) count(match func(Loss) bool) (n int, tokens int64) {
	for _, l := range rep.Losses {
		if match(l) {
			n++
			tokens += l.Prompt
		}
	}
	return n, tokens
}

func (rep Report) writeByInterval(w io.Writer) {
	lost := map[int][]Loss{}
	for _, l := range rep.Losses {
		i := int(l.At.Sub(rep.Start) / interval)
		lost[i] = append(lost[i], l)
	}
	var order []int
	for i := range lost {
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(len(lost[b]), len(lost[a])), cmp.Compare(a, b)) })
	order = order[:min(worstIntervals, len(order))]
	slices.Sort(order)
	fmt.Fprintf(w, "\nFROM SECOND\tLOST\tMOSTLY\n")
	for _, i := range order {
		sub := Report{Losses: lost[i]}
		fmt.Fprintf(w, "%g\t%d", (time.Duration(i) * interval).Seconds(), len(lost[i]))
		for _, c := range sub.Causes() {
			n, _ := sub.count(func(l Loss) bool { return l.Cause == c })
			fmt.Fprintf(w, "\t%s %d", c, n)
		}
		fmt.Fprintln(w)
	}
}

func (rep Report) writeLargest(w io.Writer) {
	all := slices.Clone(rep.Losses)
	slices.SortFunc(all, func(a, b Loss) int { return cmp.Or(cmp.Compare(b.Prompt, a.Prompt), a.At.Compare(b.At)) })
	fmt.Fprintf(w, "\nLARGEST\tPROMPT\tAT SECOND\tINSTANCE\tCAUSE\n")
	for _, l := range all[:min(maxLargest, len(all))] {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%s\t%s\n", l.Request, l.Prompt, l.At.Sub(rep.Start).Seconds(), l.Instance, l.Cause)
	}
}
