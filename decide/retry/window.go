package retry

import "time"

// windowBuckets is the number of buckets of a window. The count of a window is exact to
// within one bucket.
const windowBuckets = 20

// Window limits the retries in every window of a fixed length to a share of the requests in
// it plus a fixed number. It is not safe for concurrent use.
type Window struct {
	bucketLength time.Duration
	ratio        float64
	extra        float64
	requests     [windowBuckets]int
	retries      [windowBuckets]int
	head         int64
	denied       uint64
}

// NewWindow returns a window of the given length.
func NewWindow(length time.Duration, ratio, extra float64) *Window {
	return &Window{bucketLength: max(length/windowBuckets, 1), ratio: ratio, extra: extra}
}

// SetExtra sets the number of retries allowed in addition to the share.
func (w *Window) SetExtra(extra float64) { w.extra = extra }

func (w *Window) advance(now time.Duration) int {
	head := int64(now / w.bucketLength)
	if head-w.head >= windowBuckets {
		w.requests, w.retries = [windowBuckets]int{}, [windowBuckets]int{}
		w.head = head
	}
	for w.head < head {
		w.head++
		i := w.head % windowBuckets
		w.requests[i], w.retries[i] = 0, 0
	}
	return int(w.head % windowBuckets)
}

// AddRequest counts a first attempt.
func (w *Window) AddRequest(now time.Duration) { w.requests[w.advance(now)]++ }

// Allows reports whether the window allows a retry now.
func (w *Window) Allows(now time.Duration) bool {
	w.advance(now)
	requests, retries := 0, 0
	for k := range windowBuckets {
		requests += w.requests[k]
		retries += w.retries[k]
	}
	return float64(retries+1) <= w.ratio*float64(requests)+w.extra
}

// Take counts a retry if the window allows it.
func (w *Window) Take(now time.Duration) bool {
	if !w.Allows(now) {
		w.denied++
		return false
	}
	w.retries[w.advance(now)]++
	return true
}

// Denied returns the number of denied retries.
func (w *Window) Denied() uint64 { return w.denied }
