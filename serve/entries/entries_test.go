package entries_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/serve/entries"
)

func TestEntries(t *testing.T) { testkit.Suite(t, "entries") }

var _ = Describe("the addresses that callers are told", func() {
	member := func(addr, dataCentre string, serving, leaving bool) *peerpb.MemberState {
		return &peerpb.MemberState{CallerAddr: addr, DataCentre: dataCentre, Serving: serving, Leaving: leaving}
	}
	choose := func(alive ...*peerpb.MemberState) []string {
		return entries.Choose(alive, "a", func(int, func(i, j int)) {})
	}

	It("are of serving instances, those of the caller's data centre first", func() {
		Expect(choose(member("1", "b", true, false), member("2", "a", true, false), member("3", "a", false, false))).To(Equal([]string{"2", "1"}))
	})

	It("are not of one that leaves while others serve", func() {
		Expect(choose(member("1", "a", true, true), member("2", "b", true, false))).To(Equal([]string{"2"}))
	})

	It("are of those that leave when there are no others", func() {
		Expect(choose(member("1", "a", true, true), member("2", "b", false, false))).To(Equal([]string{"1"}))
	})
})
