package e2e

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/decide/warmup"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

const (
	// coldRate is what a cold server takes per second, coldTime how long it is cold.
	coldRate = 6
	coldTime = 10 * time.Second
)

// coldSite is a site whose servers crash if they get too much while they are cold.
type coldSite struct{ *partitionedSite }

// servers are all backend servers by their IDs.
func (s coldSite) servers() map[string]*workerserver.Server {
	out := map[string]*workerserver.Server{}
	for i := range s.engines {
		out[fmt.Sprint("e", i)], out[fmt.Sprint("p", i)] = s.engines[i], s.plain[i]
	}
	return out
}

// enterAll writes the entries of all servers, which started at a time.
func (s coldSite) enterAll(born time.Time, cold *time.Duration) {
	for id, w := range s.servers() {
		service := "model"
		if id[0] == 'p' {
			service = "registry"
		}
		e := storeserver.Entry{ID: id, Service: service, Addr: w.Addr(), DataCentre: "dc-0", Slots: 4, Born: born, Cold: cold}
		Expect(s.store.PutEntry(e)).To(Succeed())
	}
}

// coldServers are the numbers of cold servers that the instances know of.
func coldServers() (n []int) {
	for i := range platformEntries {
		var d map[string]json.RawMessage
		Expect(json.Unmarshal([]byte(call("GET", "http://"+platformAddr(500+i)+"/admin/dump", "").body), &d)).To(Succeed())
		var f follow.Dump
		Expect(json.Unmarshal(d[string(follow.ID)], &f)).To(Succeed())
		n = append(n, len(f.Cold))
	}
	return n
}

var _ = Describe("cold servers", Ordered, func() {
	var s coldSite
	BeforeAll(func() {
		began := time.Now()
		s = coldSite{newPartitionedSite()}
		DeferCleanup(func() { s.close() })
		s.configureWith(storeserver.Site{Keys: []string{"k1"}, ColdPerSecond: coldRate, ColdStart: coldTime})
		// The last instance starts a little after began.
		time.Sleep(time.Until(began.Add(warmup.SettleTime + 500*time.Millisecond)))
	})

	// Guards against servers that crash again as soon as their data centre is back, because the
	// instances send them all at once what the callers have waiting.
	DescribeTable("that all come back at once get no more than their rate from all instances together", func(prefix string, come func()) {
		come()
		Eventually(coldServers, "3s", "10ms").Should(Equal(slices.Repeat([]int{len(s.servers())}, platformEntries)))
		begin, c := time.Now(), newCallers(s.partitionedSite)
		c.run(prefix, 120, 1200*time.Millisecond, askPath, lookPath, printPath)
		for id, w := range s.servers() {
			var at []time.Time
			var senders []string
			for _, a := range requests(w, begin) {
				if a.Path != orderPath {
					at = append(at, a.At)
					senders = append(senders, fmt.Sprintf("%s %s after %d ms", a.Sender, a.ID, a.At.Sub(begin).Milliseconds()))
				}
			}
			Expect(busiest(at, time.Second)).To(BeNumerically("<=", coldRate), "%s: %v", id, senders)
			// The quotas of the instances add up to the rate, and callers use it.
			Expect(len(at)).To(BeNumerically(">=", coldRate), id)
		}
		resp, body := attempt{path: lookPath, id: prefix + "-more", key: "k1"}.send(0)
		for i := 0; resp.StatusCode == 200 && i < 20; i++ {
			resp, body = attempt{path: lookPath, id: fmt.Sprint(prefix, "-more-", i), key: "k1"}.send(0)
		}
		Expect(resp.StatusCode).To(Equal(503), body)
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	},
		Entry("and say for how long they are cold", "stated", func() {
			d := coldTime
			s.enterAll(time.Now().Add(-time.Hour), &d)
		}),
		Entry("and say nothing of it", "unstated", func() {
			for id := range s.servers() {
				s.store.RemoveEntry(id)
			}
			// A quota is that of one incarnation: the earlier one must be gone.
			Eventually(coldServers, "3s", "10ms").Should(HaveEach(0))
			s.enterAll(time.Now(), nil)
		}),
	)

	// Guards against a limit that outlasts the warm-up.
	It("get all requests once they are warm", func() {
		warm := time.Duration(0)
		s.enterAll(time.Now(), &warm)
		Eventually(coldServers, "3s", "10ms").Should(HaveEach(0))
		c := newCallers(s.partitionedSite)
		c.run("warm", 60, 500*time.Millisecond, askPath, lookPath, printPath)
		Expect(c.served).To(Equal(c.sent))
	})
})
