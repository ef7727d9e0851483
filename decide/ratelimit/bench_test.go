package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/ratelimit"
)

// BenchmarkView measures a changed view with three limited servers.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{6, 75, 300, 985} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := ratelimit.View{InSight: n}
			for i := range n {
				v.Owners = append(v.Owners, fmt.Sprint("entry-", i))
			}
			keys := []ratelimit.Key{1, 2, 3}
			g := ratelimit.NewGranter("entry-1")
			for b.Loop() {
				g.SetView(time.Second, v, keys)
			}
		})
	}
}

// BenchmarkPermit measures a permit that is asked for, with the given number of requests waiting.
func BenchmarkPermit(b *testing.B) {
	for _, waiting := range []int{0, 100} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			g, now := ratelimit.NewGranter("entry-1"), 10*time.Second
			limit := ratelimit.Limit{Named: true, PerSecond: 1}
			for id := range waiting + 1 {
				g.Ask(now, 1, limit, ratelimit.Request{ID: uint64(id)}, time.Hour)
			}
			for b.Loop() {
				g.Ask(now, 1, limit, ratelimit.Request{}, 0)
			}
		})
	}
}
