package bench

import (
	"slices"
	"time"
)

// Summary holds the metrics of one run. Durations are in milliseconds.
type Summary struct {
	Scenario string       `json:"scenario"`
	Policy   string       `json:"policy"`
	Factor   float64      `json:"factor"`
	Requests int          `json:"requests"`
	Classes  []ClassStats `json:"classes"`
	// ShortP99MS is the p99 time to first token of short requests,
	// ShortAloneP99MS the same in a run without long prompts, and Slowdown
	// their ratio.
	ShortP99MS      float64 `json:"short_p99_ms"`
	ShortAloneP99MS float64 `json:"short_alone_p99_ms"`
	Slowdown        float64 `json:"short_slowdown"`
	// ShortWithin is the share of answered short requests whose first token
	// came within 1 s.
	ShortWithin float64 `json:"short_within_1s"`
	AllP95MS    float64 `json:"all_p95_ms"`
	// Admitted counts requests that were not refused before execution. InTime
	// is the share of them answered by the deadline; Late counts outcomes after
	// it.
	Admitted   int     `json:"admitted"`
	InTime     float64 `json:"in_time"`
	Late       int     `json:"late"`
	Unanswered int     `json:"unanswered"`
	// Lost counts requests whose entry instance crashed.
	Lost               int            `json:"lost"`
	Refusals           map[string]int `json:"refusals"`
	Failures           map[string]int `json:"failures"`
	WorstLongMS        float64        `json:"worst_long_ms"`
	Goodput            float64        `json:"goodput_tokens_per_s"`
	WastedTokens       int64          `json:"wasted_prefill_tokens"`
	MemoryLeft         int64          `json:"kv_left"`
	Reserved           int64          `json:"kv_reserved_left"`
	RefusedP99MS       float64        `json:"refused_p99_ms"`
	Messages           float64        `json:"messages_per_request"`
	Bytes              float64        `json:"bytes_per_request"`
	RepeatedDispatches int            `json:"non_repeatable_dispatched_twice"`
	// Duplicates counts requests with more than one outcome.
	Duplicates int `json:"duplicates"`
}

// ClassStats are the times to first token of one class in milliseconds.
type ClassStats struct {
	Class    Class   `json:"class"`
	Answered int     `json:"answered"`
	P50MS    float64 `json:"p50_ms"`
	P95MS    float64 `json:"p95_ms"`
	P99MS    float64 `json:"p99_ms"`
}

// AllSources selects every source of a mix.
func AllSources(Source) bool { return true }

// ExcludeLongPrompts selects the sources whose prompts have at most 100k tokens.
func ExcludeLongPrompts(s Source) bool { return s.Max <= 100_000 }

// lateTolerance is the lateness that one tick and one hop can cause.
const lateTolerance = 50 * time.Millisecond

// Measure runs a scenario under a policy, and again without long prompts and
// faults to compute the slowdown.
func Measure(s Scenario, p Policy, set Settings) Summary {
	l := Execute(s, p, set, AllSources)
	sum := Summarize(l)
	sum.Scenario, sum.Policy, sum.Factor = s.Name, p.Name, set.Factor
	alone := s
	alone.Prepare = nil
	sum.ShortAloneP99MS = quantile(firstTokenTimes(Execute(alone, p, set, ExcludeLongPrompts), Short), 0.99)
	if sum.ShortAloneP99MS > 0 {
		sum.Slowdown = sum.ShortP99MS / sum.ShortAloneP99MS
	}
	return sum
}

// Summarize computes the metrics of a finished loop.
func Summarize(l *Loop) Summary {
	s := Summary{Requests: len(l.outcomes), Refusals: map[string]int{}, Failures: map[string]int{}}
	for _, c := range Classes {
		f := firstTokenTimes(l, c)
		s.Classes = append(s.Classes, ClassStats{Class: c, Answered: len(f), P50MS: quantile(f, 0.5), P95MS: quantile(f, 0.95), P99MS: quantile(f, 0.99)})
	}
	s.ShortP99MS = quantile(firstTokenTimes(l, Short), 0.99)
	s.AllP95MS = quantile(firstTokenTimes(l, Classes...), 0.95)
	s.ShortWithin = shareWithin(firstTokenTimes(l, Short), 1000)
	s.count(l)
	for _, e := range l.engines {
		s.MemoryLeft += e.core.Held()
	}
	for _, m := range l.machines {
		if n, ok := m.(interface{ HeldResources() (int, int64) }); ok {
			_, memory := n.HeldResources()
			s.Reserved += memory
		}
	}
	if s.Requests > 0 {
		s.Messages = float64(l.Messages) / float64(s.Requests)
		s.Bytes = float64(l.Bytes) / float64(s.Requests)
	}
	return s
}

func (s *Summary) count(l *Loop) {
	inTime, goodTokens := 0, int64(0)
	var refused []float64
	last := time.Duration(0)
	computed, useful := int64(0), int64(0)
	for _, e := range l.engines {
		computed += e.core.Prefilled()
	}
	for _, o := range l.outcomes {
		took := o.End - o.At
		limit := time.Duration(o.Job.RemainingUs) * time.Microsecond
		s.Duplicates += o.Duplicates
		if o.NonRepeatable && o.Dispatched > 1 && o.Job.Gang == 0 {
			s.RepeatedDispatches++
		}
		switch {
		case o.Lost:
			s.Lost++
		case o.End == 0:
			s.Unanswered++
		case o.Answered:
			s.Admitted++
			last = max(last, o.End)
			useful += o.Job.PromptTokens
			if took > limit+lateTolerance {
				s.Late++
				continue
			}
			inTime++
			goodTokens += o.Job.PromptTokens + o.Job.MaxTokens
			if o.Class.IsLong() {
				s.WorstLongMS = max(s.WorstLongMS, ms(took))
			}
		case o.NotRun:
			s.Refusals[o.Code.String()]++
			refused = append(refused, ms(took))
		default:
			s.Admitted++
			s.Failures[o.Code.String()]++
			if took > limit+lateTolerance {
				s.Late++
			}
		}
	}
	if s.Admitted > 0 {
		s.InTime = float64(inTime) / float64(s.Admitted)
	}
	if last > 0 {
		s.Goodput = float64(goodTokens) / last.Seconds()
	}
	s.WastedTokens = max(0, computed-useful)
	s.RefusedP99MS = quantile(refused, 0.99)
}

func firstTokenTimes(l *Loop, classes ...Class) []float64 {
	var out []float64
	for _, o := range l.outcomes {
		if o.Answered && o.Kind != floodSource.Kind && slices.Contains(classes, o.Class) {
			out = append(out, ms(o.First-o.At))
		}
	}
	slices.Sort(out)
	return out
}

func shareWithin(sorted []float64, limit float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	n, _ := slices.BinarySearch(sorted, limit)
	return float64(n) / float64(len(sorted))
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
