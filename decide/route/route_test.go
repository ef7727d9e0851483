package route_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/route"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestRoute(t *testing.T) { testkit.Suite(t, "route") }

var _ = Describe("table", func() {
	table := route.NewTable(route.Config{
		Version: 7,
		Routes: []route.Route{
			{Name: "outer", Host: "a.example", Prefix: "/x/", Shares: []route.Share{{Service: "s", Weight: 1}}},
			{Name: "inner", Host: "a.example", Prefix: "/x/y/", Shares: []route.Share{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}},
			{Name: "root", Host: "b.example", Prefix: "/", Shares: []route.Share{{Service: "s"}}},
		},
		Customers: []route.Customer{{Name: "school", Keys: []string{"k1", "k2"}}},
	})
	DescribeTable("selects the longest prefix", func(host, path, want string) {
		r, ok := table.Lookup(host, path)
		if want == "" {
			Expect(ok).To(BeFalse())
			return
		}
		Expect(ok).To(BeTrue())
		Expect(r.Name).To(Equal(want))
	},
		Entry("longer of two prefixes", "a.example", "/x/y/1", "inner"),
		Entry("the prefix itself", "a.example", "/x/y/", "inner"),
		Entry("shorter of two prefixes", "a.example", "/x/z", "outer"),
		Entry("a prefix ends at a slash", "a.example", "/x/yy/1", "outer"),
		Entry("no matching prefix", "a.example", "/z/1", ""),
		Entry("root prefix", "b.example", "/anything/at/all", "root"),
		Entry("another host", "c.example", "/x/1", ""),
		Entry("a path without a slash", "a.example", "x", ""),
	)

	It("splits requests by weight", func() {
		r, _ := table.Lookup("a.example", "/x/y/1")
		rnd, n := rand.New(rand.NewPCG(1, 1)), map[string]int{}
		for range 1000 {
			n[r.Pick(rnd)]++
		}
		Expect(n["t"]).To(BeNumerically("~", 100, 40))
	})

	It("looks up customers by their API keys", func() {
		c, ok := table.Customer("k2")
		Expect(ok).To(BeTrue())
		Expect(c.Name).To(Equal("school"))
		_, ok = table.Customer("k3")
		Expect(ok).To(BeFalse())
	})
})
