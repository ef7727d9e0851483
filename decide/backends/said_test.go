package backends_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/backends"
)

// Guards against requests to a server that said in an answer that it leaves, while its entry says
// that it is ready.
var _ = Describe("a server that says that it leaves", func() {
	server := func(life backends.Life) backends.Server {
		return backends.Server{ID: "a", Life: life, Service: "s", Addr: "10.0.0.1:80"}
	}
	a, next, b := server(1000), server(2000), backends.Server{ID: "b", Life: 7, Service: "s"}
	var set *backends.Set
	ready := func() (ids []string) {
		for _, s := range set.Snapshot().Ready("s") {
			ids = append(ids, s.ID)
		}
		return ids
	}
	apply := func(now time.Duration, revision int64, s *backends.Server) {
		set.Apply(now, []backends.Change{{ID: "a", Server: s}}, at(revision))
	}
	BeforeEach(func() {
		set = backends.NewSet()
		set.Replace(0, []backends.Server{a, b}, at(90))
	})

	It("gets nothing from then on, whatever its entry says", func() {
		Expect(set.MarkLeaving(time.Second, "a", 1000)).To(BeTrue())
		Expect(set.MarkLeaving(time.Second, "a", 1000)).To(BeFalse())
		Expect(ready()).To(Equal([]string{"b"}))
		for i := range 100 {
			apply(time.Duration(i)*time.Second, int64(91+i), &a)
			Expect(ready()).To(Equal([]string{"b"}))
		}
		set.Replace(10*time.Minute, []backends.Server{a, b}, at(300))
		Expect(ready()).To(Equal([]string{"b"}))
		listed, _ := set.Snapshot().Get("a")
		Expect(listed.Leaving).To(BeTrue())
	})

	It("leaves the digest of the list as it was, so that no instance reads it again for that", func() {
		before := set.Snapshot().Digest
		set.MarkLeaving(time.Second, "a", 1000)
		listed, _ := set.Snapshot().Get("a")
		Expect(set.Snapshot().Digest).To(Equal(before))
		Expect(listed.EntryLeaving()).To(BeFalse())
	})

	It("leaves by its entry once that says so, too", func() {
		set.MarkLeaving(time.Second, "a", 1000)
		leaving := a
		leaving.Leaving = true
		apply(time.Second, 91, &leaving)
		listed, _ := set.Snapshot().Get("a")
		Expect(listed.EntryLeaving()).To(BeTrue())
		apply(2*time.Second, 92, &a)
		Expect(ready()).To(Equal([]string{"b"}))
	})

	It("is used at once in its next life", func() {
		set.MarkLeaving(time.Second, "a", 1000)
		apply(time.Second, 91, &next)
		Expect(ready()).To(Equal([]string{"a", "b"}))
	})

	It("is known as leaving before its entry is listed", func() {
		Expect(set.MarkLeaving(time.Second, "a", 2000)).To(BeFalse())
		Expect(ready()).To(Equal([]string{"a", "b"}))
		apply(time.Second, 91, &next)
		Expect(ready()).To(Equal([]string{"b"}))
	})

	It("is not retained when the store lost its entry", func() {
		set.Replace(time.Second, []backends.Server{b}, later(5))
		Expect(ready()).To(Equal([]string{"a", "b"}))
		Expect(set.MarkLeaving(time.Second, "a", 1000)).To(BeTrue())
		Expect(ready()).To(Equal([]string{"b"}))
	})

	It("is forgotten once its entry is gone", func() {
		set.MarkLeaving(time.Second, "a", 1000)
		apply(time.Second, 91, nil)
		set.Replace(32*time.Second, []backends.Server{b}, at(92))
		set.Replace(33*time.Second, []backends.Server{a, b}, at(93))
		Expect(ready()).To(Equal([]string{"a", "b"}))
	})

	It("is forgotten after a while if its life is not known", func() {
		unknown := server(0)
		set.Replace(0, []backends.Server{unknown, b}, at(91))
		set.MarkLeaving(time.Second, "a", 0)
		Expect(ready()).To(Equal([]string{"b"}))
		set.Replace(32*time.Second, []backends.Server{unknown, b}, at(92))
		Expect(ready()).To(Equal([]string{"a", "b"}))
	})
})
