package soak

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a request to an instance whose process is being started", func() {
	// The wait would count as time in which the instance left the request without an answer.
	It("does not wait for the start", func() {
		in, made := &instance{name: "i000"}, make(chan int, 1)
		in.life.Store(4)
		// The start of a process holds the lock.
		in.mu.Lock()
		defer in.mu.Unlock()
		go func() {
			rec, _ := new(traffic).newRequest(in, requestKinds[0], -1, deadline)
			made <- rec.life
		}()
		Eventually(made, deadline).Should(Receive(Equal(4)))
	})

	// The new process may serve the request before the start returns.
	It("counts as one to the new process", func() {
		in, f := &instance{name: "i000"}, &fleet{dir: GinkgoT().TempDir(), bin: "no-such-program"}
		Expect(f.start(in)).NotTo(Succeed())
		Expect(in.currentLife()).To(Equal(1))
	})
})
