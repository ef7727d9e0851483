package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestAdmission(t *testing.T) { testkit.Suite(t, "admission") }

type fixed admission.Decision

func (f fixed) Check(time.Duration, admission.Request) admission.Decision {
	return admission.Decision(f)
}

var _ = Describe("a chain of checks", func() {
	hold := fixed{}
	refuse := func(r admission.Reason) fixed { return fixed{Refuse: true, Reason: r, RetryAfter: time.Second} }

	It("holds what no check refuses", func() {
		Expect(admission.Chain{hold, hold}.Check(0, admission.Request{})).To(Equal(admission.Decision{}))
	})

	// Guards against refusals whose reason or time to come back is that of another check.
	It("gives the reason and the time of the first refusal", func() {
		c := admission.Chain{hold, refuse(admission.ShareExceeded), refuse(admission.NoCapacityInTime)}
		Expect(c.Check(0, admission.Request{})).To(Equal(admission.Decision(refuse(admission.ShareExceeded))))
	})
})
