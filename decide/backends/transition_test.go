package backends_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/position"
)

var _ = Describe("transitions between two lists", func() {
	at := func(revision int64) position.Position { return position.Position{Revision: revision} }

	It("tell which servers are listed, leave and are gone", func() {
		set := backends.NewSet()
		set.Replace(0, []backends.Server{{ID: "a", Life: 1}, {ID: "b", Life: 1}, {ID: "c", Life: 1}, {ID: "d", Life: 1}}, at(1))
		before := set.Snapshot()
		set.Replace(0, []backends.Server{{ID: "a", Life: 1}, {ID: "b", Life: 2}, {ID: "c", Life: 1, Leaving: true}, {ID: "e", Life: 1}}, at(2))
		var out []string
		for _, t := range set.Snapshot().Transitions(before) {
			out = append(out, t.Server.ID+" "+string(t.Kind))
		}
		Expect(out).To(Equal([]string{"b listed", "c leaves", "d gone", "e listed"}))
	})
})
