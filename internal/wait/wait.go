// Package wait pauses goroutines.
package wait

import (
	"context"
	"time"
)

// For returns after d, or when the context ends, and reports whether d has
// passed.
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
