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
	// Operators look here for a server that gets no requests because another writer corrupted
	// its entry.
	It("shows unreadable entries until they can be read or are gone", func() {
		f := &Follower{log: zap.NewNop(), scope: tally.NoopScope, unreadableServers: unreadable{}}
		all := func(string) bool { return true }
		bad := func(names ...string) (out []catalog.Unreadable) {
			for _, n := range names {
				out = append(out, catalog.Unreadable{Name: n, Why: errors.New(strings.Repeat("x", 5000))})
			}
			return out
		}
		f.updateUnreadable(all, bad("a", "b"))
		Expect(f.unreadableServers).To(HaveLen(2))
		Expect(len(f.unreadableServers["a"])).To(BeNumerically("<=", maxTextBytes))
		f.updateUnreadable(inChanges([]backends.Change{{ID: "a"}}), nil)
		Expect(f.unreadableServers).To(HaveLen(1))
		f.updateUnreadable(inChanges([]backends.Change{{ID: "c"}}), bad("c"))
		Expect(f.unreadableServers).To(HaveLen(2))
		f.updateUnreadable(all, bad("b"))
		Expect(f.unreadableServers).To(HaveLen(1))
		for i := range 300 {
			f.updateUnreadable(inChanges(nil), bad(strings.Repeat("n", i+1)))
		}
		Expect(len(f.unreadableServers)).To(BeNumerically("<=", maxUnreadable))
	})
})
