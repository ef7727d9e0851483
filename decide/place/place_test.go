package place_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/place"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestPlace(t *testing.T) { testkit.Suite(t, "place") }

func names(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint(prefix, i))
	}
	return out
}

var _ = Describe("assigning keys to members", func() {
	It("moves only the keys of a member that leaves", func() {
		all := names("m", 9)
		rest := all[1:]
		for _, k := range names("k", 200) {
			if before := place.Owner(k, all); before != "m0" {
				Expect(place.Owner(k, rest)).To(Equal(before))
			}
		}
	})

	// Guards against one of three instances that owns five of six engines and most of
	// the scheduling work: plain rendezvous hashing is uneven for few keys.
	It("assigns an even share to every member, and moves few keys when one leaves", func() {
		keys, all := names("engine-", 20), names("m", 7)
		before := place.Assign(keys, all)
		load := map[string]int{}
		for _, o := range before {
			load[o]++
		}
		for _, n := range load {
			Expect(n).To(BeNumerically("<=", 3))
		}
		moved := 0
		for k, o := range place.Assign(keys, all[1:]) {
			if before[k] != o && before[k] != "m0" {
				moved++
			}
		}
		Expect(moved).To(BeNumerically("<=", 8))
	})

	It("distributes hashes over ring targets evenly", func() {
		r := place.NewRing(names("e", 10))
		count := make([]int, 10)
		for i := range uint64(10_000) {
			count[r.Lookup(i*0x9e3779b97f4a7c15)]++
		}
		for _, n := range count {
			Expect(n).To(BeNumerically(">", 300))
		}
		Expect(place.NewRing(nil).Lookup(1)).To(Equal(-1))
	})
})
