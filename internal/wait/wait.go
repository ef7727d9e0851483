// Package wait provides delays and periodic calls that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d or until the context ends, and reports whether d has elapsed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every calls f at intervals of d until the context ends.
func Every(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
