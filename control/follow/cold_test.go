package follow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// putColdServer lists a ready server that started at a time and states for how long it remains cold, or
// does not if that is nil.
func putColdServer(srv *storeserver.Server, id, service string, born time.Time, cold *time.Duration) {
	e := storeserver.Entry{ID: id, Service: service, Addr: "127.0.0.1:9", DataCentre: "z", Slots: 2, Born: born, Cold: cold}
	Expect(srv.PutEntry(e)).To(Succeed())
}

// coldLeft returns the times for which the servers are cold according to an instance.
func coldLeft(f *follow.Follower) func() map[string]time.Duration {
	return func() map[string]time.Duration {
		out := map[string]time.Duration{}
		for _, c := range f.Dump().(follow.Dump).Cold {
			out[c.Server] = time.Duration(c.LeftMS) * time.Millisecond
		}
		return out
	}
}

var _ = Describe("the cold times of servers", func() {
	var srv *storeserver.Server
	var first, second *follow.Follower
	longAgo := time.Now().Add(-time.Hour)
	remaining := func(d time.Duration) *time.Duration { return &d }
	BeforeEach(func() {
		srv = startStore()
		Expect(srv.PutSite(storeserver.Site{Version: 4, Plain: []string{"s"}, ColdPerSecond: 6, ColdStart: 20 * time.Second})).To(Succeed())
		putColdServer(srv, "a", "s", longAgo, nil)
		first = start(srv.Addr())
		Eventually(first.Ready, "3s", "5ms").Should(BeTrue())
		// The second instance has nothing but what the first one tells it.
		down := storeserver.New("127.0.0.1:0")
		Expect(down.Start()).To(Succeed())
		DeferCleanup(down.Close)
		down.SetFaults(storeserver.Faults{Down: true})
		second = startAt(down.Addr(), "f", "127.0.0.1:19801")
		Eventually(second.Ready, "10s", "5ms").Should(BeTrue())
	})

	// Guards against instances that overrun a cold server because they do not read the store, or because
	// the server was running and its entry is the same but for the cold time.
	It("reach instances that do not watch the store, with no other change of the list", func() {
		Expect(coldLeft(second)()).To(BeEmpty())
		digest := second.Servers().Digest
		putColdServer(srv, "a", "s", longAgo, remaining(8*time.Second))
		for _, f := range []*follow.Follower{first, second} {
			Eventually(coldLeft(f), "3s", "5ms").Should(HaveKeyWithValue("a", BeNumerically("~", 7500*time.Millisecond, 500*time.Millisecond)))
		}
		Expect(second.Servers().Digest).To(Equal(digest))
		putColdServer(srv, "a", "s", longAgo, remaining(0))
		Eventually(coldLeft(first), "3s", "5ms").Should(BeEmpty())
	})

	// Guards against a started server that is overrun because its entry states no time.
	It("are the usual ones of servers that appear, and none of servers that have run for longer", func() {
		putColdServer(srv, "appeared", "s", time.Now(), nil)
		putColdServer(srv, "running", "s", time.Now().Add(-30*time.Second), nil)
		putColdServer(srv, "unlimited", "other", time.Now(), nil)
		for _, f := range []*follow.Follower{first, second} {
			Eventually(coldLeft(f), "3s", "5ms").Should(HaveKeyWithValue("appeared", BeNumerically(">", 15*time.Second)))
			Eventually(func() int { return f.Servers().Len() }, "3s", "5ms").Should(Equal(4))
			Expect(coldLeft(f)()).To(HaveLen(1))
		}
	})

	// Guards against an instance that starts while a server is cold and overruns it, because its
	// first list holds that server like all others.
	It("reach an instance that starts later", func() {
		putColdServer(srv, "appeared", "s", time.Now(), nil)
		Eventually(coldLeft(first), "3s", "5ms").Should(HaveKey("appeared"))
		down := storeserver.New("127.0.0.1:0")
		Expect(down.Start()).To(Succeed())
		DeferCleanup(down.Close)
		down.SetFaults(storeserver.Faults{Down: true})
		third := startAt(down.Addr(), "g", "127.0.0.1:19802")
		Eventually(coldLeft(third), "10s", "5ms").Should(HaveKeyWithValue("appeared", BeNumerically(">", 5*time.Second)))
	})

	// Guards against an instance that starts after a server and overruns it, because its first list
	// holds that server like all others and nobody states the time.
	It("are the rest of the usual ones of servers that started shortly before the instance", func() {
		putColdServer(srv, "young", "s", time.Now().Add(-2*time.Second), nil)
		alone := startIn(srv.Addr(), "h", "127.0.0.1:19803", "127.0.0.1:19803")
		Eventually(alone.Ready, "3s", "5ms").Should(BeTrue())
		Expect(coldLeft(alone)()).To(HaveLen(1))
		Expect(coldLeft(alone)()).To(HaveKeyWithValue("young", BeNumerically("~", 17500*time.Millisecond, 1500*time.Millisecond)))
	})
})
