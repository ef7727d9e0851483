package trial

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Invariants are the properties that a trial checks.
var Invariants = []string{
	"runs at most once",
	"orders from one holder at a time",
	"accepted configuration never reverts",
	"accepted configuration is in force everywhere",
}

// Report holds the counts and timings of one or more trials.
type Report struct {
	Seeds        int
	Duration     time.Duration
	Faults       map[string]int
	Requests     int
	Claims       int
	Granted      int
	Repeats      int
	Refused      int
	Changes      int
	Conflicts    int
	Orders       int
	StaleRefused int
	Violations   map[string]int
	Examples     []string
	Detection    []time.Duration
	Propagation  []time.Duration
	Latency      []time.Duration
	Reads        int
	Writes       int

	attempts map[string]*attempt
}

func newReport() Report {
	return Report{Seeds: 1, Faults: map[string]int{}, Violations: map[string]int{}, attempts: map[string]*attempt{}}
}

// maxExamples bounds the violations that a trial describes in Examples.
const maxExamples = 5

func (r *Report) recordViolation(invariant, format string, args ...any) {
	r.Violations[invariant]++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, invariant+": "+fmt.Sprintf(format, args...))
	}
}

func (r *Report) addLatency(d time.Duration) { r.Latency = append(r.Latency, d) }

// propagationLimit is the time within which every instance must apply a change while
// no faults are injected.
const propagationLimit = 14 * time.Second

func (t *Trial) finish() {
	t.Report.Duration = t.now()
	t.Report.Reads, t.Report.Writes = t.store.Reads, t.store.Writes
	if t.o.FaultEvery > 0 {
		return
	}
	for _, c := range t.changes {
		if !c.done && t.now()-c.at > propagationLimit {
			t.Report.recordViolation("accepted configuration is in force everywhere", "version %d", c.version)
		}
	}
}

// Total returns the number of violations.
func (r *Report) Total() int {
	n := 0
	for _, v := range r.Violations {
		n += v
	}
	return n
}

// Add adds the counts and timings of another report.
func (r *Report) Add(o Report) {
	r.Seeds += o.Seeds
	r.Duration += o.Duration
	for k, v := range o.Faults {
		r.Faults[k] += v
	}
	for k, v := range o.Violations {
		r.Violations[k] += v
	}
	r.Requests += o.Requests
	r.Claims += o.Claims
	r.Granted += o.Granted
	r.Repeats += o.Repeats
	r.Refused += o.Refused
	r.Changes += o.Changes
	r.Conflicts += o.Conflicts
	r.Orders += o.Orders
	r.StaleRefused += o.StaleRefused
	r.Examples = append(r.Examples, o.Examples...)
	r.Detection = append(r.Detection, o.Detection...)
	r.Propagation = append(r.Propagation, o.Propagation...)
	r.Latency = append(r.Latency, o.Latency...)
	r.Reads += o.Reads
	r.Writes += o.Writes
}

// Quantile returns the q-quantile of v, or zero if v is empty.
func Quantile(v []time.Duration, q float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(v))
	return s[min(len(s)-1, int(q*float64(len(s))))].Round(time.Millisecond)
}

// Write prints the report as a table.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "trials\t%d\t%s of virtual time\n", r.Seeds, r.Duration.Round(time.Second))
	for _, f := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(w, "fault\t%d\t%s\n", r.Faults[f], f)
	}
	fmt.Fprintf(w, "requests that may not be repeated\t%d\t%d calls, %d run, %d repeats answered, %d refused as not run\n", r.Requests, r.Claims, r.Granted, r.Repeats, r.Refused)
	fmt.Fprintf(w, "configuration changes\t%d\t%d conflicts\n", r.Changes, r.Conflicts)
	fmt.Fprintf(w, "orders\t%d\t%d refused for an old fencing number\n", r.Orders, r.StaleRefused)
	for _, p := range Invariants {
		fmt.Fprintf(w, "violations\t%d\t%s\n", r.Violations[p], p)
	}
	for _, line := range []struct {
		name string
		v    []time.Duration
	}{{"death noticed by all", r.Detection}, {"change in force everywhere", r.Propagation}, {"claim granted", r.Latency}} {
		fmt.Fprintf(w, "%s\t%d\tp50 %s p99 %s\n", line.name, len(line.v), Quantile(line.v, 0.5), Quantile(line.v, 0.99))
	}
	seconds := max(1, r.Duration.Seconds())
	fmt.Fprintf(w, "store\t\t%.1f reads and %.1f writes a second\n", float64(r.Reads)/seconds, float64(r.Writes)/seconds)
	for _, e := range r.Examples {
		fmt.Fprintf(w, "example\t\t%s\n", e)
	}
	return w.Flush()
}
