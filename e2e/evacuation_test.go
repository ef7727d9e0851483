package e2e

import (
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

var _ = Describe("an evacuated data centre", Ordered, func() {
	var s *platformSite
	BeforeAll(func() {
		engine := workerserver.Config{Events: streamEvents, EventPause: 20 * time.Millisecond, Memory: engineMemory}
		s = newPlatformSiteUsing(firstStart+"[control.catalog]\nevacuations = true\n", 2, engine)
		DeferCleanup(func() { s.close() })
	})
	evacuate := func(dataCentre string) {
		Expect(s.store.Put("evacuations", dataCentre, map[string]any{})).To(Succeed())
	}
	look := func(entry int, id string) int {
		resp, _ := attempt{path: lookPath, id: id, key: "k1"}.send(entry)
		return resp.StatusCode
	}
	eventually := func(status int, prefix string) {
		GinkgoHelper()
		n := 0
		for i := range platformEntries {
			Eventually(func() int {
				n++
				return look(i, fmt.Sprint(prefix, n))
			}, "5s", "20ms").Should(Equal(status))
		}
	}
	ready := func(entry int) int { return call("GET", "http://"+platformAddr(300+entry)+"/readiness", "").status }
	restart := func(entry int) {
		name := fmt.Sprint("entry-", entry)
		s.signal(name, syscall.SIGKILL)
		s.wait(name)
		http.DefaultClient.CloseIdleConnections()
		s.startEntry(entry)
	}

	// Guards against requests that are held although no server can take them, and against an evacuation of
	// the only data centre with servers that breaks off what is in progress.
	It("that is the only one gets nothing new, and requests are refused at once", func() {
		done := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, body := attempt{path: askPath, id: "in-progress", key: "k1", tokens: 900, body: "prompt"}.send(0)
			done <- body
		}()
		Eventually(func() int { return runs(s.engines, "in-progress") }, "2s", "1ms").Should(Equal(1))
		evacuate("dc-0")
		eventually(503, "out-")
		for i := range platformEntries {
			began := time.Now()
			resp, body := attempt{path: askPath, id: fmt.Sprint("out-ask-", i), key: "k1", tokens: 900, body: "prompt"}.send(i)
			Expect(resp.StatusCode).To(Equal(503), body)
			Expect(strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)).To(BeNumerically(">", 0))
			Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
			Expect(runs(s.engines, fmt.Sprint("out-ask-", i))).To(BeZero())
		}
		Expect(<-done).To(Equal(completeStream("in-progress")))
	})

	// Guards against instances that send to its servers as soon as they have started, because they know the
	// servers before the evacuations.
	It("gets nothing from instances that all restart, whatever is lost of the store's answers", func() {
		began := time.Now()
		s.store.SetFaults(storeserver.Faults{Kinds: map[string]storeserver.KindFaults{"evacuations": {Silent: true}}})
		for i := range platformEntries {
			restart(i)
		}
		Consistently(func() (served int) {
			for i := range platformEntries {
				attempt{path: lookPath, id: fmt.Sprint("restarting-", i), key: "k1"}.sendAndDiscard(i)
				if ready(i) == 200 {
					served++
				}
			}
			return served
		}, "2500ms", "20ms").Should(BeZero())
		s.store.SetFaults(storeserver.Faults{})
		for i := range platformEntries {
			Eventually(func() int { return ready(i) }, "5s", "10ms").Should(Equal(200))
			Expect(look(i, fmt.Sprint("restarted-", i))).To(Equal(503))
		}
		for _, w := range append(s.engines, s.plain...) {
			for _, seen := range w.Seen() {
				Expect(seen.At).To(BeTemporally("<", began), seen.ID)
			}
		}
	})

	// Guards against servers that stay out of use at instances that missed the end of the evacuation.
	It("gets requests from all instances once that is taken back, whichever of them restarts meanwhile", func() {
		evacuate("elsewhere")
		s.store.Delete("evacuations", "dc-0")
		s.store.SetFaults(storeserver.Faults{Down: true})
		restart(1)
		time.Sleep(500 * time.Millisecond)
		s.store.SetFaults(storeserver.Faults{})
		for i := range platformEntries {
			Eventually(func() int { return ready(i) }, "5s", "10ms").Should(Equal(200))
		}
		eventually(200, "back-")
	})
})
