package entries

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

func TestMain(m *testing.M) { testkit.Main(m) }

func TestEntries(t *testing.T) { testkit.Suite(t, "entries") }

// fleet returns serving instances of data centres of the given sizes, with addresses like "a-0".
func fleet(sizes map[string]int) (out []*peerpb.MemberState) {
	for _, dataCentre := range slices.Sorted(maps.Keys(sizes)) {
		for i := range sizes[dataCentre] {
			out = append(out, &peerpb.MemberState{DataCentre: dataCentre, CallerAddr: fmt.Sprintf("%s-%d", dataCentre, i), Serving: true})
		}
	}
	return out
}

// counts returns how many addresses of each data centre are listed.
func counts(addrs []string) map[string]int {
	out := map[string]int{}
	for _, addr := range addrs {
		dataCentre, _, _ := strings.Cut(addr, "-")
		out[dataCentre]++
	}
	return out
}

var _ = Describe("an answer that prefers the caller's data centre", func() {
	DescribeTable("lists", func(sizes map[string]int, caller string, want map[string]int) {
		e := &Entries{PreferDataCentre: true}
		got := e.choose(fleet(sizes), caller)
		Expect(counts(got)).To(Equal(want))
		Expect(slices.Compact(slices.Sorted(slices.Values(got)))).To(HaveLen(len(got)), "no address twice")
	},
		// Guards against two thirds of the requests that go to other data centres.
		Entry("all local instances and two of each other data centre",
			map[string]int{"a": 22, "b": 23, "c": 23}, "a", map[string]int{"a": 22, "b": 2, "c": 2}),
		Entry("all instances if all are in one data centre", map[string]int{"a": 30}, "a", map[string]int{"a": 30}),
		Entry("as many as an answer holds, with others among them", map[string]int{"a": 100, "b": 10}, "a", map[string]int{"a": 62, "b": 2}),
		Entry("others that are fewer than two", map[string]int{"a": 4, "b": 1}, "a", map[string]int{"a": 4, "b": 1}),
		// Guards against a small data centre that its callers overload: the mean is 22.
		Entry("as many others as a small data centre lacks", map[string]int{"a": 4, "b": 62}, "a", map[string]int{"a": 4, "b": 29}),
		Entry("no more others for half of the mean", map[string]int{"a": 11, "b": 33}, "a", map[string]int{"a": 11, "b": 2}),
		Entry("more others for less than half of the mean", map[string]int{"a": 10, "b": 34}, "a", map[string]int{"a": 10, "b": 12}),
		Entry("few more others where the mean is just missed", map[string]int{"a": 1, "b": 5}, "a", map[string]int{"a": 1, "b": 2}),
		// Guards against callers without any address after their data centre has failed.
		Entry("all others if the data centre is gone", map[string]int{"b": 23, "c": 23}, "a", map[string]int{"b": 23, "c": 23}),
		Entry("all if the caller's data centre is not known", map[string]int{"b": 40, "c": 24}, "", map[string]int{"b": 40, "c": 24}),
		Entry("nothing if nothing is there", map[string]int{}, "a", map[string]int{}),
	)

	It("lists the local instances first, and none that leaves or does not serve", func() {
		alive := fleet(map[string]int{"a": 4, "b": 10, "c": 10})
		alive[0].Leaving, alive[1].Serving = true, false
		got := ChooseLocal(alive, "a", rand.Shuffle)
		Expect(got[:2]).To(ConsistOf("a-2", "a-3"))
		Expect(counts(got)["a"]).To(Equal(2))
		// Two are fewer than half of the mean of 22 instances in three data centres, which is above seven.
		Expect(got).To(HaveLen(8))
	})

	It("keeps half of the addresses local in a fleet of very many data centres", func() {
		sizes := map[string]int{"a": 80}
		for i := range 50 {
			sizes[fmt.Sprintf("d%d", i)] = 2
		}
		got := ChooseLocal(fleet(sizes), "a", rand.Shuffle)
		Expect(got).To(HaveLen(maxAddrs))
		Expect(counts(got)["a"]).To(Equal(maxAddrs / 2))
	})
})

// Guards against answers without others, over the bound, or with fewer than a small data centre needs.
func TestChooseLocalProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := map[string]int{}
		total := 0
		for i := range rapid.IntRange(1, 5).Draw(t, "data centres") {
			n := rapid.IntRange(1, 40).Draw(t, "instances")
			sizes[string(rune('a'+i))] = n
			total += n
		}
		got := ChooseLocal(fleet(sizes), "a", rand.Shuffle)
		listed := counts(got)
		for dataCentre, n := range sizes {
			if least := min(n, othersPerDataCentre); listed[dataCentre] < least {
				t.Fatalf("%d of %d in %s are listed", listed[dataCentre], n, dataCentre)
			}
		}
		if listed["a"] != sizes["a"] || len(got) > maxAddrs {
			t.Fatalf("%v listed of %v", listed, sizes)
		}
		if 2*sizes["a"]*len(sizes) < total && len(got)*len(sizes) < total {
			t.Fatalf("%d listed, fewer than the mean of %v", len(got), sizes)
		}
	})
}

// Guards against a change for deployments that do not set prefer_data_centre: each of the other
// instances is listed equally often, after all local ones.
func TestChooseWithoutSetting(t *testing.T) {
	const rounds = 4000
	alive := fleet(map[string]int{"a": 30, "b": 40, "c": 30})
	listed := map[string]int{}
	for range rounds {
		got := new(Entries).choose(alive, "a")
		if len(got) != maxAddrs || counts(got[:30])["a"] != 30 {
			t.Fatalf("%d listed: %v", len(got), got)
		}
		for _, addr := range got {
			listed[addr]++
		}
	}
	for _, m := range alive {
		want := float64(rounds)
		if m.DataCentre != "a" {
			want *= float64(maxAddrs-30) / 70
		}
		// Ten per cent are six standard deviations.
		if n := float64(listed[m.CallerAddr]); n < 0.9*want || n > 1.1*want {
			t.Errorf("%s is listed %.0f times, expected %.0f", m.CallerAddr, n, want)
		}
	}
}
