package follow

import (
	"strings"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/port/catalog"
)

var _ = Describe("the list of unreadable entries", func() {
	// On-call looks for a server that gets no requests: another writer spoilt its entry.
	It("shows entries that cannot be read until they are read again or gone", func() {
		f := &Follower{log: zap.NewNop(), scope: tally.NoopScope, bad: unreadable{}}
		all := func(string) bool { return true }
		bad := func(names ...string) (out []catalog.Unreadable) {
			for _, n := range names {
				out = append(out, catalog.Unreadable{Name: n, Why: errors.New(strings.Repeat("x", 5000))})
			}
			return out
		}
		f.noteUnreadable(all, bad("a", "b"))
		Expect(f.bad).To(HaveLen(2))
		Expect(len(f.bad["a"])).To(BeNumerically("<=", mostText))
		f.noteUnreadable(changedIn([]backends.Change{{ID: "a"}}), nil)
		Expect(f.bad).To(HaveLen(1))
		f.noteUnreadable(changedIn([]backends.Change{{ID: "c"}}), bad("c"))
		Expect(f.bad).To(HaveLen(2))
		f.noteUnreadable(all, bad("b"))
		Expect(f.bad).To(HaveLen(1))
		for i := range 300 {
			f.noteUnreadable(changedIn(nil), bad(strings.Repeat("n", i+1)))
		}
		Expect(len(f.bad)).To(BeNumerically("<=", mostUnreadable))
	})
})
