package reach_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/reach"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
)

func TestReach(t *testing.T) { testkit.Suite(t, "decide/reach") }

const second = time.Second

var _ = Describe("the paths to the servers of a service", func() {
	var p *reach.Paths
	now := 10 * second
	BeforeEach(func() { p = reach.NewPaths() })

	It("calls servers directly that nothing is known of", func() {
		Expect(p.Direct(now, "a")).To(BeTrue())
		Expect(p.Isolated(now)).To(BeFalse())
	})

	It("goes round a server until it is connected to again", func() {
		p.ConnectFailed(now, "a")
		Expect(p.Direct(now+5*second, "a")).To(BeFalse())
		Expect(p.Direct(now, "b")).To(BeTrue())
		p.Connected(now+5*second, "a")
		Expect(p.Direct(now+5*second, "a")).To(BeTrue())
	})

	// Guards against a timeout for each server of a partitioned instance in turn.
	It("goes round servers that were not tried yet while the instance is isolated", func() {
		p.ConnectFailed(now, "a")
		p.ConnectFailed(now, "b")
		Expect(p.Isolated(now)).To(BeTrue())
		Expect(p.Direct(now, "c")).To(BeFalse())
	})

	// Guards against a detour for all requests when a few servers are down.
	It("is not isolated while it hears from servers or connects to as many", func() {
		p.ConnectFailed(now, "a")
		p.ConnectFailed(now, "b")
		p.Heard(now)
		Expect(p.Isolated(now + 100*time.Millisecond)).To(BeFalse())
		p.Connected(now+time.Millisecond, "c")
		p.Connected(now+time.Millisecond, "d")
		Expect(p.Isolated(now + 400*time.Millisecond)).To(BeFalse())
		Expect(p.Direct(now+400*time.Millisecond, "c")).To(BeTrue())
	})

	It("is isolated no longer when the failures are old", func() {
		p.ConnectFailed(now, "a")
		p.ConnectFailed(now, "b")
		Expect(p.Isolated(now + 3*second)).To(BeFalse())
	})

	// Guards against an answer that is given up because its server was silent for a second.
	It("takes a path for lost only if another instance reaches the server", func() {
		p.ConnectFailed(now, "a")
		Expect(p.Lost(now, "a")).To(BeFalse())
		p.ReachedByOther(now, "a")
		Expect(p.Lost(now, "a")).To(BeTrue())
		p.Connected(now, "a")
		Expect(p.Lost(now, "a")).To(BeFalse())
	})

	It("takes the paths to all servers for lost if it is isolated and others reach one", func() {
		p.ConnectFailed(now, "a")
		p.ConnectFailed(now, "b")
		Expect(p.Lost(now, "c")).To(BeFalse())
		p.ReachedByOther(now, "a")
		Expect(p.Lost(now, "c")).To(BeTrue())
	})

	// Guards against a second attempt that is lost over another connection across the partition.
	It("trusts no kept connection for a while after a path was found lost", func() {
		p.ConnectFailed(now, "a")
		p.ReachedByOther(now, "a")
		Expect(p.Direct(now, "b")).To(BeFalse())
		p.Connected(now+10*time.Millisecond, "b")
		Expect(p.Direct(now+700*time.Millisecond, "b")).To(BeTrue())
		Expect(p.Direct(now+700*time.Millisecond, "c")).To(BeFalse())
		Expect(p.Direct(now+2*second, "c")).To(BeTrue())
	})

	It("bounds the probes of one server and of all together", func() {
		probes := 0
		for at := now; at < now+second; at += time.Millisecond {
			for i := range 50 {
				if p.StartProbe(at, fmt.Sprint(i)) {
					probes++
				}
			}
		}
		Expect(probes).To(BeNumerically("<=", 10))
		Expect(p.StartProbe(now+2*second, "a")).To(BeTrue())
		Expect(p.StartProbe(now+2*second+200*time.Millisecond, "a")).To(BeFalse())
	})
})

var _ = Describe("the choice of proxies", func() {
	instances := func(n int) (out []reach.Instance) {
		for i := range n {
			out = append(out, reach.Instance{Name: fmt.Sprint("i", i)})
		}
		return out
	}
	now := 10 * second

	It("never chooses the instance itself, a paused or a skipped one", func() {
		p := reach.NewProxies("i0")
		p.SetInstances(instances(3))
		p.Pause(now, "i1", second)
		name, ok := p.Choose(now, nil)
		Expect(ok).To(BeTrue())
		Expect(name).To(Equal("i2"))
		_, ok = p.Choose(now, []string{"i2"})
		Expect(ok).To(BeFalse())
		_, ok = p.Choose(now+2*second, []string{"i2"})
		Expect(ok).To(BeTrue())
	})

	// Guards against callers that are refused after a partition of all instances has healed.
	It("asks one paused instance if all are paused", func() {
		p := reach.NewProxies("i0")
		p.SetInstances(instances(3))
		p.Pause(now, "i1", 2*second)
		p.Pause(now, "i2", second)
		name, ok := p.Choose(now, nil)
		Expect(ok).To(BeTrue())
		Expect(name).To(Equal("i2"))
		_, ok = p.Choose(now, []string{"i2"})
		Expect(ok).To(BeFalse())
	})

	It("spreads calls over few instances, by their capacity", func() {
		p := reach.NewProxies("self")
		p.SetInstances(instances(350))
		used := map[string]int{}
		for range 100 {
			name, _ := p.Choose(now, nil)
			p.Begin(name)
			used[name]++
		}
		Expect(used).To(HaveLen(4))
		for _, n := range used {
			Expect(n).To(Equal(25))
		}
		Expect(p.ActiveCount()).To(Equal(100))
	})

	// Guards against instances in touch that are overwhelmed by those that are cut off.
	DescribeTable("spreads the calls of many partitioned instances over those in touch",
		func(size, cutOff int) {
			all := instances(size)
			carried := map[string]int{}
			for i := range cutOff {
				p := reach.NewProxies(all[i].Name)
				p.SetInstances(all)
				for _, other := range all[:cutOff] {
					p.Pause(now, other.Name, second)
				}
				for range 20 {
					name, ok := p.Choose(now, nil)
					Expect(ok).To(BeTrue())
					p.Begin(name)
					carried[name]++
				}
			}
			mean := float64(20*cutOff) / float64(size-cutOff)
			for name, n := range carried {
				Expect(float64(n)).To(BeNumerically("<=", 4*mean+20), name)
			}
		},
		Entry("2 of 6", 6, 2),
		Entry("5 of 6", 6, 5),
		Entry("a third of 350", 350, 116),
		Entry("a data centre of 350 but one", 350, 115),
		Entry("all but three of 88", 88, 85),
	)
})
