package soak

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/caller"
)

// Guards against a check that finds nothing, and against one that blames instances for what they cannot know.
var _ = Describe("the check of evacuations", func() {
	var c *checker
	var in *instance
	BeforeEach(func() {
		s, err := newSite("", false)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.close)
		in = new(instance)
		c = &checker{site: s, fleet: &fleet{instances: []*instance{in}}, hostStalls: new(disturbanceLog)}
		s.evacuate(0)
		s.evacuations[0].from = time.Now().Add(-2 * evacuateDeadline)
	})
	violations := func(dataCentre string) int {
		sender := caller.New()
		defer sender.Close()
		for _, v := range c.site.allServers() {
			if v.dataCentre == dataCentre {
				sender.Send(context.Background(), v.standin.Addr(), caller.Request{ID: "q", Host: host, Path: lookPath, Key: key, Deadline: deadline})
				break
			}
		}
		c.checkEvacuated()
		return len(c.violations)
	}

	It("finds a request to a server of an evacuated data centre", func() {
		Expect(violations("dc-0")).To(Equal(1))
		Expect(c.violations[0].Promise).To(Equal(Evacuated))
	})

	DescribeTable("finds nothing in a request", func(dataCentre string, change func()) {
		change()
		Expect(violations(dataCentre)).To(BeZero())
	},
		Entry("to a server elsewhere", "dc-1", func() {}),
		Entry("in time", "dc-0", func() { c.site.evacuations[0].from = time.Now() }),
		Entry("after the end", "dc-0", func() { c.site.takeBack(0) }),
		Entry("soon after an instance was stopped", "dc-0", func() { in.freezes.addInstant() }),
		Entry("soon after the store lost writes", "dc-0", func() { c.site.restores.addInstant() }),
		Entry("of an evacuation that nobody can have heard of", "dc-0", func() {
			at := c.site.evacuations[0].from
			c.site.disturbances.addSpan(span{at, at.Add(time.Second)})
		}),
	)
})
