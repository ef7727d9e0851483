package notices

import (
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/backends"
	"github.com/auburnmoor/auburnmoor/decide/notice"
	"github.com/auburnmoor/auburnmoor/port/backend"
)

var _ = Describe("the guard of requests", func() {
	a, next := backend.Endpoint{Server: "a", Life: 1}, backend.Endpoint{Server: "a", Life: 2}
	now := time.Duration(0)
	var n *Notices
	BeforeEach(func() {
		now = 0
		n = &Notices{
			log: zap.NewNop(), scope: tally.NoopScope, now: func() time.Duration { return now },
			table: notice.NewTable(), unreadable: map[notice.Key]bool{},
		}
	})
	asks := func(d time.Duration) backend.Notice {
		return backend.Notice{Rest: backend.Rest{Status: backend.RestAsked, For: d}}
	}

	It("holds requests back until the end of a rest, and only from the life that asked", func() {
		Expect(n.check(a)).To(Succeed())
		n.hear(a, asks(3*time.Second))
		Expect(errors.Is(n.check(a), backend.ErrHeldBack)).To(BeTrue())
		Expect(errors.Is(n.check(a), backend.ErrResting)).To(BeTrue())
		Expect(n.check(next)).To(Succeed())
		Expect(n.RestLeft(backends.Server{ID: "a", Life: 1})).To(Equal(3 * time.Second))
		now = 3*time.Second - 1
		Expect(errors.Is(n.check(a), backend.ErrResting)).To(BeTrue())
		now = 3 * time.Second
		Expect(n.check(a)).To(Succeed())
	})

	It("lets all pass if nothing that holds was heard", func() {
		n.hear(a, backend.Notice{Rest: backend.Rest{Status: backend.RestUnreadable}})
		n.hear(a, backend.Notice{Answers: true})
		Expect(n.Any()).To(BeFalse())
		Expect(n.check(a)).To(Succeed())
	})
})
