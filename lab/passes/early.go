package passes

import (
	"sync"
	"time"
)

// EarlyRefusals compares runs of a load with early refusals to runs with the same seeds without them. Its
// counts are of deep prompts, the only ones that are refused early.
type EarlyRefusals struct {
	// Early counts the first attempts that were refused early, Wrong those of them that are placed
	// within their hold time without early refusals.
	Early, Wrong int
	// HeldWithout and HeldWith are the times for which refused requests were held.
	HeldWithout, HeldWith time.Duration
	// RefusalsWithout and RefusalsWith count the refusals for lack of capacity.
	RefusalsWithout, RefusalsWith int
	// ValueWithout and ValueWith are the shares of the offered value that were earned.
	ValueWithout, ValueWith float64
	// Returns counts the clients that came back, Placed those of them whose request was then placed
	// within its hold time.
	Returns, Placed int
	// returns counts the clients that came back by second of the run.
	returns map[int]int
}

// PeakReturns is the greatest number of returns in a second, as a multiple of the mean over the seconds
// that have any.
func (e *EarlyRefusals) PeakReturns() float64 {
	peak := 0
	for _, n := range e.returns {
		peak = max(peak, n)
	}
	return float64(peak*len(e.returns)) / float64(max(1, e.Returns))
}

// CompareEarlyRefusals plays each of seeds consecutive seeds twice, without early refusals and with them.
func CompareEarlyRefusals(l Load, seed uint64, seeds int, length time.Duration, rate float64) *EarlyRefusals {
	out := &EarlyRefusals{returns: map[int]int{}}
	for i := range seeds {
		var worlds [2]*world
		var summaries [2]Summary
		var wg sync.WaitGroup
		for with := range worlds {
			wg.Go(func() {
				l := l
				l.EarlyRefusals = with == 1
				summaries[with], worlds[with] = run(l, seed+uint64(i), length, rate)
			})
		}
		wg.Wait()
		out.ValueWithout += summaries[0].Whole / float64(seeds)
		out.ValueWith += summaries[1].Whole / float64(seeds)
		out.add(worlds[0], worlds[1])
	}
	return out
}

func (e *EarlyRefusals) add(without, with *world) {
	placed := map[string]bool{}
	for _, q := range without.requests {
		placed[q.id] = q.placed[0]
	}
	for _, r := range without.refusals {
		if !r.q.at.deep(r.q) {
			continue
		}
		e.RefusalsWithout++
		e.HeldWithout += r.held
	}
	for _, r := range with.refusals {
		if !r.q.at.deep(r.q) {
			continue
		}
		e.RefusalsWith++
		e.HeldWith += r.held
		if r.early && !r.again {
			e.Early++
			if placed[r.q.id] {
				e.Wrong++
			}
		}
	}
	for _, q := range with.requests {
		if q.cameBack == 0 || !q.at.deep(q) {
			continue
		}
		e.Returns++
		e.returns[int(q.cameBack/time.Second)]++
		if q.placed[1] {
			e.Placed++
		}
	}
}
