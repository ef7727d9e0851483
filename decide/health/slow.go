package health

import "time"

// Parameters of the detection of slow servers.
const (
	// gapsPerWindow is the number of gaps that are judged together by their shortest
	// one: prefill for other requests lengthens some gaps of a healthy server, while a
	// slow server lengthens all.
	gapsPerWindow = 4
	// slowFactor is the multiple of the baseline from which a window is slow. Slow
	// servers take 4 to 5 times as long; healthy ones stay below 2 in bursts.
	slowFactor = 3.0
	// minWindows is the number of windows after which the baseline is usable.
	minWindows = 20
	// baselineWeight is the weight of one window in the moving average of the baseline.
	baselineWeight = 0.05
)

// SlowDetector learns how long the gaps between stream events usually are, in multiples of their
// expected length. The zero value is ready for use and has no baseline.
type SlowDetector struct {
	baseline    float64
	windowCount int
}

// GapWindow collects the gaps of one stream that are judged together.
type GapWindow struct {
	minRatio float64
	gapCount int
}

// Observe records a gap between two events and its expected length, and reports whether
// the stream's server is slow.
func (p *SlowDetector) Observe(r *GapWindow, gap, expected time.Duration) bool {
	if expected <= 0 {
		return false
	}
	ratio := float64(gap) / float64(expected)
	if r.gapCount == 0 || ratio < r.minRatio {
		r.minRatio = ratio
	}
	if r.gapCount++; r.gapCount < gapsPerWindow {
		return false
	}
	minRatio := r.minRatio
	*r = GapWindow{}
	return p.evaluate(minRatio)
}

// evaluate reports whether a window is slow; the baseline learns only from windows that
// are not.
func (p *SlowDetector) evaluate(minRatio float64) bool {
	if p.windowCount >= minWindows && minRatio > slowFactor*p.baseline {
		return true
	}
	if p.windowCount++; p.windowCount == 1 {
		p.baseline = minRatio
	}
	p.baseline += baselineWeight * (minRatio - p.baseline)
	return false
}
