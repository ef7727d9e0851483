package poison_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/poison"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestPoison(t *testing.T) { testkit.Suite(t, "poison") }

var _ = Describe("the identity of a request", func() {
	base := poison.Identity{Customer: "school", Method: "POST", Host: "h", Target: "/a/1?x=2", Body: []byte("essay")}

	It("is the same for the same request", func() {
		again := base
		again.Body = []byte("essay")
		Expect(again.Key()).To(Equal(base.Key()))
	})

	DescribeTable("differs with", func(change func(*poison.Identity)) {
		other := base
		change(&other)
		Expect(other.Key()).NotTo(Equal(base.Key()))
	},
		Entry("the customer", func(i *poison.Identity) { i.Customer = "other" }),
		Entry("the method", func(i *poison.Identity) { i.Method = "GET" }),
		Entry("the host", func(i *poison.Identity) { i.Host = "g" }),
		Entry("the query", func(i *poison.Identity) { i.Target = "/a/1?x=3" }),
		Entry("the body", func(i *poison.Identity) { i.Body = []byte("other") }),
		// The boundary between two fields is part of the identity, so that a customer's
		// name that ends with the start of the next field causes no collision.
		Entry("the boundary between fields", func(i *poison.Identity) { i.Customer, i.Method = "schoolP", "OST" }),
	)
})
