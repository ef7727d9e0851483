package follow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/position"
)

// Guards against an instance that goes on using servers that have left, because it hears of a newer list from
// instances that do not receive its requests.
var _ = Describe("a newer list of servers that does not arrive", func() {
	at := func(revision int64) position.Position { return position.Position{Era: 1, Revision: revision} }
	const limit = time.Second
	var l lag
	BeforeEach(func() {
		l = lag{}
		l.announce(time.Minute, at(10), at(12))
	})

	It("is waited for for a time, however often it is announced", func() {
		l.announce(time.Minute+limit/2, at(10), at(14))
		Expect(l.exceeds(time.Minute+limit-1, at(10), limit)).To(BeFalse())
		Expect(l.exceeds(time.Minute+limit, at(10), limit)).To(BeTrue())
	})

	It("is waited for anew once the local list has moved on", func() {
		l.moveOn(time.Minute + limit/2)
		Expect(l.exceeds(time.Minute+limit, at(11), limit)).To(BeFalse())
		Expect(l.exceeds(time.Minute+3*limit/2, at(11), limit)).To(BeTrue())
	})

	It("is not waited for once it is there", func() {
		Expect(l.exceeds(time.Hour, at(12), limit)).To(BeFalse())
		l.announce(time.Hour, at(12), at(13))
		Expect(l.exceeds(time.Hour+limit-1, at(12), limit)).To(BeFalse())
	})
})
