package follow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// putColdServer lists a ready server of a service whose entry states for how long it remains cold.
func putColdServer(srv *storeserver.Server, id string, extra map[string]any) {
	entry := map[string]any{"service": "s", "address": "127.0.0.1:9", "zone": "z", "slots": 2, "state": "ready", "born": 1_767_225_600_000}
	for k, v := range extra {
		entry[k] = v
	}
	Expect(srv.Put("servers", id, entry)).To(Succeed())
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
	BeforeEach(func() {
		srv = startStore()
		Expect(srv.Put("config", "main", map[string]any{"version": 4, "services": []any{
			map[string]any{"name": "s", "coldStartS": 20, "coldPerS": 6}, map[string]any{"name": "unlimited", "coldStartS": 20},
		}})).To(Succeed())
		putColdServer(srv, "a", nil)
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
		putColdServer(srv, "a", map[string]any{"coldRemainingMs": 8000})
		for _, f := range []*follow.Follower{first, second} {
			Eventually(coldLeft(f), "3s", "5ms").Should(HaveKeyWithValue("a", BeNumerically("~", 7500*time.Millisecond, 500*time.Millisecond)))
		}
		Expect(second.Servers().Digest).To(Equal(digest))
		putColdServer(srv, "a", map[string]any{"coldRemainingMs": 0})
		Eventually(coldLeft(first), "3s", "5ms").Should(BeEmpty())
	})

	// Guards against a started server that is overrun because its entry states no time.
	It("are the usual ones of servers that appear, and none of servers that have run for longer", func() {
		born := time.Now().UnixMilli()
		putColdServer(srv, "appeared", map[string]any{"born": born})
		putColdServer(srv, "running", map[string]any{"born": born - 30_000})
		putColdServer(srv, "unlimited", map[string]any{"born": born, "service": "unlimited"})
		for _, f := range []*follow.Follower{first, second} {
			Eventually(coldLeft(f), "3s", "5ms").Should(HaveKeyWithValue("appeared", BeNumerically(">", 15*time.Second)))
			Eventually(func() int { return f.Servers().Len() }, "3s", "5ms").Should(Equal(4))
			Expect(coldLeft(f)()).To(HaveLen(1))
		}
	})

	// Guards against an instance that starts while a server is cold and overruns it, because its
	// first list holds that server like all others.
	It("reach an instance that starts later", func() {
		putColdServer(srv, "appeared", map[string]any{"born": time.Now().UnixMilli()})
		Eventually(coldLeft(first), "3s", "5ms").Should(HaveKey("appeared"))
		down := storeserver.New("127.0.0.1:0")
		Expect(down.Start()).To(Succeed())
		DeferCleanup(down.Close)
		down.SetFaults(storeserver.Faults{Down: true})
		third := startAt(down.Addr(), "g", "127.0.0.1:19802")
		Eventually(coldLeft(third), "10s", "5ms").Should(HaveKeyWithValue("appeared", BeNumerically(">", 5*time.Second)))
	})
})
