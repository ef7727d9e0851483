package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The kernel tells how long each thread that could run had to wait for a processor. A
// process whose thread waited for nearly all of a sample was not slow by itself: its
// bounds say nothing then.
const (
	sampleEvery = 100 * time.Millisecond
	starvedFor  = 80 * time.Millisecond
)

// waits are the times that the threads of a process waited so far, by thread.
type waits map[string]time.Duration

// waitsOf reads them. A process that has just ended has none.
func waitsOf(pid int) waits {
	out := waits{}
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

// since is the longest that one thread waited after an earlier sample.
func (w waits) since(before waits) (longest time.Duration) {
	for thread, waited := range w {
		if was, known := before[thread]; known {
			longest = max(longest, waited-was)
		}
	}
	return longest
}

// watchStarved notes as disturbances when instances had no processor.
func (f *fleet) watchStarved(ctx context.Context) {
	last, at := map[*instance]waits{}, time.Now()
	for ctx.Err() == nil {
		time.Sleep(sampleEvery)
		now := time.Now()
		for _, in := range f.instances {
			w := waitsOf(in.process())
			if w.since(last[in]) >= starvedFor {
				in.calm.note(span{at, now})
			}
			last[in] = w
		}
		at = now
	}
}
