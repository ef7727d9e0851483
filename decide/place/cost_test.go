package place_test

import (
	"fmt"
	"testing"

	"github.com/auburnmoor/auburnmoor/decide/place"
)

// BenchmarkAssign measures the assignment of engines to instances, which runs at
// each change of either list.
func BenchmarkAssign(b *testing.B) {
	for _, size := range [][2]int{{20, 9}, {150, 50}, {350, 150}, {750, 350}} {
		b.Run(fmt.Sprintf("%d-engines-%d-instances", size[0], size[1]), func(b *testing.B) {
			engines, members := names("engine-", size[0]), names("entry-", size[1])
			for b.Loop() {
				place.Assign(engines, members)
			}
		})
	}
}
