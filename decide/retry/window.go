package retry

import "time"

// windowParts is the number of parts into which a window is divided; a window
// is counted with an error of at most one part.
const windowParts = 20

// Window bounds the retries in every window of a fixed length to a share of the
// requests in it plus a fixed number. It is not safe for concurrent use.
type Window struct {
	part     time.Duration
	ratio    float64
	extra    float64
	requests [windowParts]int
	retries  [windowParts]int
	head     int64
	denied   uint64
}

// NewWindow returns a window of the given length.
func NewWindow(length time.Duration, ratio, extra float64) *Window {
	return &Window{part: max(length/windowParts, 1), ratio: ratio, extra: extra}
}

// SetExtra replaces the retries allowed beside the share.
func (w *Window) SetExtra(extra float64) { w.extra = extra }

func (w *Window) advance(now time.Duration) int {
	head := int64(now / w.part)
	if head-w.head >= windowParts {
		w.requests, w.retries = [windowParts]int{}, [windowParts]int{}
		w.head = head
	}
	for w.head < head {
		w.head++
		i := w.head % windowParts
		w.requests[i], w.retries[i] = 0, 0
	}
	return int(w.head % windowParts)
}

// Request counts a first attempt.
func (w *Window) Request(now time.Duration) { w.requests[w.advance(now)]++ }

// Take counts a retry if the window allows it.
func (w *Window) Take(now time.Duration) bool {
	i := w.advance(now)
	requests, retries := 0, 0
	for k := range windowParts {
		requests += w.requests[k]
		retries += w.retries[k]
	}
	if float64(retries+1) > w.ratio*float64(requests)+w.extra {
		w.denied++
		return false
	}
	w.retries[i]++
	return true
}

// Denied counts the retries refused.
func (w *Window) Denied() uint64 { return w.denied }
