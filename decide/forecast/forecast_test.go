package forecast_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/admission"
	"github.com/auburnmoor/auburnmoor/decide/forecast"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestForecast(t *testing.T) { testkit.Suite(t, "forecast") }

const step = 100 * time.Millisecond

// steady lets an instance add a second of work in each step and another release released of one, until end.
func steady(f *forecast.Flow, end, released time.Duration) {
	added, left := time.Duration(0), time.Hour
	for now := time.Duration(0); now <= end; now += step {
		f.Observe(now, "adds", added)
		f.Observe(now, "releases", left)
		added += time.Second
		left -= released
	}
}

var _ = Describe("the flow of held work", func() {
	It("is measured over the last seconds", func() {
		f := forecast.NewFlow()
		steady(f, 10*time.Second, 500*time.Millisecond)
		r, known := f.Rates(10 * time.Second)
		Expect(known).To(BeTrue())
		Expect(r.Added).To(BeNumerically("~", 10, 0.5))
		Expect(r.Released).To(BeNumerically("~", 5, 0.5))
	})

	// Guards against refusals at the start of a burst, when engines have not released anything yet.
	It("is not known during the first two seconds", func() {
		f := forecast.NewFlow()
		steady(f, 1900*time.Millisecond, time.Second)
		_, known := f.Rates(1900 * time.Millisecond)
		Expect(known).To(BeFalse())
	})

	// Guards against an instance that refuses by the rate from before it was frozen or cut off.
	It("is not known once nothing was observed for two seconds, and is measured anew then", func() {
		f := forecast.NewFlow()
		steady(f, 5*time.Second, time.Second)
		_, known := f.Rates(6900 * time.Millisecond)
		Expect(known).To(BeTrue())
		_, known = f.Rates(7100 * time.Millisecond)
		Expect(known).To(BeFalse())
		f.Observe(60*time.Second, "adds", time.Hour)
		f.Observe(62*time.Second, "adds", time.Hour)
		r, known := f.Rates(62 * time.Second)
		Expect(known).To(BeTrue())
		Expect(r).To(Equal(forecast.Rates{}), "work of before the pause is neither added nor released")
	})

	// Guards against refusals by a rate that was low only because few prompts were held.
	It("is measured anew once nothing was held", func() {
		f := forecast.NewFlow()
		for now := time.Duration(0); now <= 5*time.Second; now += 2 * step {
			f.Observe(now, "a", time.Second)
			f.Observe(now+step, "a", 0)
		}
		_, known := f.Rates(5 * time.Second)
		Expect(known).To(BeFalse())
	})

	It("does not count the work of an instance as released that no longer reports", func() {
		f := forecast.NewFlow()
		for now := time.Duration(0); now <= 3*time.Second; now += step {
			f.Observe(now, "a", time.Hour)
			f.Observe(now, "b", time.Hour)
		}
		f.Forget("b")
		r, known := f.Rates(3 * time.Second)
		Expect(known).To(BeTrue())
		Expect(r.Released).To(BeZero())
	})
})

var _ = Describe("a forecast", func() {
	var f *forecast.Forecast
	now := 10 * time.Second
	BeforeEach(func() {
		f = forecast.New()
		steady(f.Flow, now, 2*time.Second)
	})
	deep := func(waited, ahead time.Duration) admission.Request {
		return admission.Request{Deep: true, Waited: waited, Latest: 8 * time.Second, MaxHold: 9 * time.Second, Ahead: ahead, AheadPrompts: 40}
	}

	// 20 s of prefill are released in a second.
	DescribeTable("refuses", func(r admission.Request, refused bool) {
		Expect(f.Check(now, r)).To(Equal(admission.Decision{Refuse: refused, Reason: map[bool]admission.Reason{true: admission.NoCapacityInTime}[refused]}))
	},
		Entry("a prompt behind more work than is released in its time", deep(2*time.Second, 200*time.Second), true),
		Entry("not one behind less", deep(2*time.Second, 100*time.Second), false),
		Entry("not one that has just arrived", deep(0, 300*time.Second), false),
		Entry("not one behind a single prompt",
			admission.Request{Deep: true, Waited: 2 * time.Second, Latest: 8 * time.Second, Ahead: time.Hour, AheadPrompts: 1}, false),
		Entry("not one that waits for a slot",
			admission.Request{Waited: 2 * time.Second, Latest: 8 * time.Second, Ahead: 300 * time.Second, AheadPrompts: 40}, false),
	)

	// Guards against refusals by a rate that rests on two or three prompts.
	It("needs a greater margin where fewer prompts were released", func() {
		few := deep(2*time.Second, 200*time.Second)
		few.AheadPrompts = 4
		Expect(f.Check(now, few).Refuse).To(BeFalse())
	})

	It("refuses nothing while the rate is not known", func() {
		Expect(f.Check(now+time.Minute, deep(2*time.Second, time.Hour)).Refuse).To(BeFalse())
		Expect(forecast.New().Check(now, deep(2*time.Second, time.Hour)).Refuse).To(BeFalse())
	})

	// Guards against callers that all come back at the moment at which the engines are free again.
	It("spreads the returns of callers over the time that the held work takes", func() {
		// Half of the rate is needed for what is added.
		Expect(f.RetryAfter(now, 20*time.Second, time.Minute, 0)).To(BeNumerically("~", 2*time.Second, 200*time.Millisecond))
		Expect(f.RetryAfter(now, 20*time.Second, time.Minute, 0.99)).To(BeNumerically("~", 4*time.Second, 400*time.Millisecond))
	})

	It("tells callers to come back within their time, and not at once", func() {
		Expect(f.RetryAfter(now, time.Hour, 5*time.Second, 0.5)).To(Equal(5 * time.Second))
		Expect(f.RetryAfter(now, time.Millisecond, 5*time.Second, 0)).To(Equal(150 * time.Millisecond))
	})

	It("tells the usual time while nothing is known", func() {
		Expect(f.RetryAfter(now, 0, time.Minute, 0.5)).To(Equal(2500 * time.Millisecond))
		Expect(forecast.New().RetryAfter(now, time.Hour, time.Minute, 0.5)).To(Equal(2500 * time.Millisecond))
		Expect(forecast.New().RetryAfter(now, time.Hour, time.Second, 0.5)).To(Equal(time.Second))
	})
})
