package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The kernel counts how long each runnable thread waits for a processor. If a thread waited
// for nearly a whole sample interval, the host slowed the process down, and time bounds are
// not checked for it.
const (
	sampleInterval      = 100 * time.Millisecond
	starvationThreshold = 80 * time.Millisecond
)

// runQueueWaits holds the total time that each thread of a process waited for a processor,
// by the path of its schedstat file.
type runQueueWaits map[string]time.Duration

// readRunQueueWaits returns an empty result for a process that has just exited.
func readRunQueueWaits(pid int) runQueueWaits {
	out := runQueueWaits{}
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return out
	}
	for _, path := range files {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		var ran, waited int64
		if _, err := fmt.Sscan(string(raw), &ran, &waited); err == nil {
			out[path] = time.Duration(waited)
		}
	}
	return out
}

// maxIncrease returns the longest wait of a single thread since an earlier sample.
func (w runQueueWaits) maxIncrease(before runQueueWaits) (longest time.Duration) {
	for thread, waited := range w {
		if earlier, known := before[thread]; known {
			longest = max(longest, waited-earlier)
		}
	}
	return longest
}

// watchStarvation records as a disturbance when an instance got no processor time.
func (f *fleet) watchStarvation(ctx context.Context) {
	last, at := map[*instance]runQueueWaits{}, time.Now()
	for ctx.Err() == nil {
		time.Sleep(sampleInterval)
		now := time.Now()
		for _, in := range f.instances {
			w := readRunQueueWaits(in.pid())
			if w.maxIncrease(last[in]) >= starvationThreshold {
				in.disturbances.addSpan(span{at, now})
			}
			last[in] = w
		}
		at = now
	}
}
