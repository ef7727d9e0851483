package soak

import (
	"os/exec"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/caller"
)

var errCut = errors.New("cut")

var _ = Describe("the check that requests are answered", func() {
	var (
		c  *checker
		in *instance
	)
	BeforeEach(func() {
		in = &instance{name: "i000"}
		c = &checker{site: &site{servers: []*server{{id: "s000"}}}, fleet: &fleet{instances: []*instance{in}}, trafficStart: time.Now()}
	})
	// cut is a request without an answer that ended after the given time.
	cut := func(took time.Duration) record {
		return record{id: "q", kind: requestKinds[0], probe: -1, sentTo: in, sent: c.trafficStart, done: c.trafficStart.Add(took), Answer: caller.Answer{Err: errCut}}
	}
	check := func(r record, passedOn bool) []Violation {
		c.checkAnswered(r, passedOn)
		return c.violations
	}

	It("finds a request that was passed on and got no answer", func() {
		Expect(check(cut(10*time.Millisecond), true)).To(HaveLen(1))
	})
	It("finds a request that was left without an answer for long", func() {
		Expect(check(cut(lossSlack+time.Millisecond), false)).To(HaveLen(1))
	})
	It("finds a request that was sent ahead and passed on", func() {
		r := cut(time.Second)
		r.sentAhead = true
		Expect(check(r, true)).To(HaveLen(1))
	})
	It("finds one beside signals, silent servers and configurations that keep timeouts", func() {
		in.cmd = exec.Command("true")
		Expect(in.cmd.Run()).To(Succeed())
		in.sigtermAtByLife = map[int]time.Time{}
		in.signal(syscall.SIGHUP)
		in.signal(syscall.SIGTERM)
		Expect(check(cut(time.Second), true)).To(HaveLen(1))
	})
	It("passes over a request that crossed the closing of its connection", func() {
		Expect(check(cut(lossSlack/2), false)).To(BeEmpty())
		r := cut(time.Second)
		r.sentAhead = true
		Expect(check(r, false)).To(BeEmpty())
	})
	It("passes over a request whose time was up", func() {
		Expect(check(cut(deadline), true)).To(BeEmpty())
		c.site.shorter.begin()
		Expect(check(cut(shortTimeoutMS*time.Millisecond), true)).To(BeEmpty())
	})
	It("passes over a request beside a server or an instance that was broken", func() {
		c.site.servers[0].disturbances.begin()
		Expect(check(cut(time.Second), true)).To(BeEmpty())
		c.site.servers[0].disturbances.end()
		c.trafficStart = time.Now().Add(2 * settlingTime)
		Expect(check(cut(time.Second), true)).To(HaveLen(1))
		in.breaks.begin()
		Expect(check(cut(time.Second), true)).To(HaveLen(1))
	})
	It("passes over a request with an answer", func() {
		r := cut(time.Second)
		r.Err = nil
		Expect(check(r, true)).To(BeEmpty())
	})
})

var _ = Describe("the check of drains", func() {
	check := func(took time.Duration) []Violation {
		begin := time.Now()
		in := &instance{name: "i000", sigtermAtByLife: map[int]time.Time{1: begin.Add(time.Millisecond)}}
		c := &checker{site: &site{}, fleet: &fleet{instances: []*instance{in}}, trafficStart: begin}
		c.site.shorter.begin()
		c.checkDrained(record{probe: -1, sentTo: in, life: 1, sent: begin.Add(time.Millisecond), done: begin.Add(took), Answer: caller.Answer{Err: errCut}})
		return c.violations
	}

	It("finds a request that was cut before its time was up", func() {
		Expect(check(shortTimeoutMS * time.Millisecond / 2)).To(HaveLen(1))
	})
	It("passes over a stream that reached the timeout of its route", func() {
		Expect(check((shortTimeoutMS + 10) * time.Millisecond)).To(BeEmpty())
	})
})

var _ = Describe("the check of exits", func() {
	exit := func(sigterm, killed bool, err error) []Violation {
		in := &instance{name: "i000"}
		in.life.Store(1)
		if sigterm {
			in.sigtermAt = time.Now()
		}
		if killed {
			in.killedLife = 1
		}
		in.noteExit(err, false)
		c := &checker{fleet: &fleet{instances: []*instance{in}}}
		c.checkExits()
		return c.violations
	}

	It("finds a process that a signal ended while it drained, and one that nobody asked to exit", func() {
		Expect(exit(true, false, errCut)).To(HaveLen(1))
		Expect(exit(false, false, nil)).To(HaveLen(1))
		Expect(exit(false, false, errCut)).To(HaveLen(1))
	})
	It("passes over a signal to a process that has just started", func() {
		for sinceStart, bad := range map[time.Duration]int{0: 0, 2 * handlersDelay: 1} {
			in := &instance{name: "i000", startedAt: time.Now().Add(-sinceStart), cmd: exec.Command("true")}
			in.life.Store(1)
			Expect(in.cmd.Run()).To(Succeed())
			in.signal(syscall.SIGHUP)
			in.noteExit(errCut, false)
			Expect(in.exits).To(HaveLen(bad))
		}
	})
	It("passes over a drain that succeeded and a process that the run killed", func() {
		Expect(exit(true, false, nil)).To(BeEmpty())
		Expect(exit(true, true, errCut)).To(BeEmpty())
	})
})
