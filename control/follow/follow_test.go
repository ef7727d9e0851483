package follow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	_ "github.com/auburnmoor/auburnmoor/platform"
	"github.com/auburnmoor/auburnmoor/process"
	"github.com/auburnmoor/auburnmoor/settings"
)

func TestFollow(t *testing.T) { testkit.Suite(t, "follow") }

// firstPeer is the peer address of the first instance of a test.
const firstPeer = "127.0.0.1:19800"

// start runs an instance that follows a store, with watch waits of 200 ms.
func start(store string) *follow.Follower { return startAt(store, "e", firstPeer) }

func startAt(store, name, peerAddr string) *follow.Follower {
	return startIn(store, name, peerAddr, firstPeer)
}

// stopFuncs stop the processes of the current test.
var stopFuncs []func()

// stopAll stops the processes that the current test has started so far.
func stopAll() {
	for _, stop := range stopFuncs {
		stop()
	}
	stopFuncs = nil
}

func startIn(store, name, peerAddr, seed string) *follow.Follower {
	return startWith(store, name, peerAddr, seed, shortWait)
}

// shortWait are settings of the module with short watches.
const shortWait = `wait = "200ms"`

// startWith is startIn with other settings of the module.
func startWith(store, name, peerAddr, seed, moduleSettings string) *follow.Follower {
	f, err := settings.Parse("f", []byte(fmt.Sprintf(`
[instance]
name = %q
data_centre = "d"
region = "r"
caller_addr = "127.0.0.1:1"
peer_addr = %q
admin_addr = "127.0.0.1:1"
modules = ["platform.client", "control.catalog"]
[platform.client]
store = %q
seeds = %q
[control.catalog]
%s
[control.members]
few_listed = true
gossip = "200ms"
`, name, peerAddr, store, seed, moduleSettings)))
	Expect(err).NotTo(HaveOccurred())
	p, err := process.New(f, zap.NewNop())
	Expect(err).NotTo(HaveOccurred())
	Expect(p.Start(context.Background())).To(Succeed())
	stopFuncs = append(stopFuncs, sync.OnceFunc(func() {
		Expect(p.Stop(context.Background())).To(Succeed())
		Expect(p.Close()).To(Succeed())
	}))
	DeferCleanup(stopAll)
	return p.Module(follow.ID).(*follow.Follower)
}

// startStore runs a store with a configuration of version 3 and a ready server.
func startStore() *storeserver.Server {
	srv := storeserver.New("127.0.0.1:0")
	Expect(srv.Start()).To(Succeed())
	DeferCleanup(srv.Close)
	putConfig(srv, 3)
	putServer(srv, "a", "ready")
	return srv
}

func putConfig(srv *storeserver.Server, version int) {
	Expect(srv.Put("config", "main", map[string]any{"version": version})).To(Succeed())
}

func putServer(srv *storeserver.Server, id, state string) {
	Expect(srv.Put("servers", id, map[string]any{"service": "s", "address": "127.0.0.1:9", "zone": "z", "slots": 2, "state": state})).To(Succeed())
}

var _ = Describe("following the store", func() {
	var srv *storeserver.Server
	put := func(version int) { putConfig(srv, version) }
	server := func(id, state string) { putServer(srv, id, state) }
	BeforeEach(func() { srv = startStore() })
	version := func(f *follow.Follower) func() uint64 {
		return func() uint64 {
			if t := f.Table(); t != nil {
				return t.Version
			}
			return 0
		}
	}
	ready := func(f *follow.Follower) func() int {
		return func() int {
			if s := f.Servers(); s != nil {
				return len(s.Ready("s"))
			}
			return -1
		}
	}

	It("adopts changes", func() {
		f := start(srv.Addr())
		Eventually(version(f), "3s", "5ms").Should(Equal(uint64(3)))
		Eventually(ready(f), "3s", "5ms").Should(Equal(1))
		Expect(f.Ready()).To(BeTrue())
		put(8)
		server("b", "ready")
		Eventually(version(f), "3s", "5ms").Should(Equal(uint64(8)))
		Eventually(ready(f), "3s", "5ms").Should(Equal(2))
	})

	// Guards against a removed key that works again because a stale read brought an older
	// version back.
	It("never goes back to an older version", func() {
		f := start(srv.Addr())
		Eventually(version(f), "3s", "5ms").Should(Equal(uint64(3)))
		put(9)
		Eventually(version(f), "3s", "5ms").Should(Equal(uint64(9)))
		put(7)
		Consistently(version(f), "300ms", "20ms").Should(Equal(uint64(9)))
	})

	// Guards against a leaving server that keeps getting requests: the watch was open but
	// silent, and the change dropped out of the history meanwhile.
	DescribeTable("catches up after", func(f storeserver.Faults) {
		fol := start(srv.Addr())
		Eventually(ready(fol), "3s", "5ms").Should(Equal(1))
		srv.SetFaults(f)
		time.Sleep(50 * time.Millisecond)
		server("a", "draining")
		put(11)
		time.Sleep(300 * time.Millisecond)
		srv.SetFaults(storeserver.Faults{ForgetHistory: true})
		Eventually(ready(fol), "5s", "10ms").Should(BeZero())
		Eventually(version(fol), "5s", "10ms").Should(Equal(uint64(11)))
		Eventually(func() time.Duration { return fol.ConfirmationAge() }, "3s", "10ms").Should(BeNumerically("<", 500*time.Millisecond))
	},
		Entry("an outage", storeserver.Faults{Down: true}),
		Entry("silence", storeserver.Faults{Silent: true}),
		Entry("slowness", storeserver.Faults{DelayMS: 100}),
		Entry("a dropped history", storeserver.Faults{ForgetHistory: true}),
	)

	// Guards against an instance that refuses requests for ten seconds: it started while the
	// store was down and had no server list until the store returned, though its peers did.
	It("takes servers and configuration from a peer while the store is down", func() {
		first := start(srv.Addr())
		Eventually(ready(first), "3s", "5ms").Should(Equal(1))
		down := storeserver.New("127.0.0.1:0")
		Expect(down.Start()).To(Succeed())
		DeferCleanup(down.Close)
		down.SetFaults(storeserver.Faults{Down: true})
		second := startAt(down.Addr(), "f", "127.0.0.1:19801")
		Eventually(ready(second), "10s", "10ms").Should(Equal(1))
		Eventually(version(second), "10s", "10ms").Should(Equal(uint64(3)))
		Expect(second.ConfirmationAge()).To(BeNumerically("<", 5*time.Second))

		server("a", "draining")
		Eventually(ready(first), "3s", "5ms").Should(BeZero())
		Eventually(ready(second), "10s", "10ms").Should(BeZero())
	})

	// Guards against a removed key that works two seconds too long: during a disturbance
	// watches stayed open but reported no changes, and one that began then was trusted for
	// its whole wait of 3.4 s. A change made in a disturbance must be in force three seconds
	// after the store has recovered.
	It("adopts a change made while its watch was mute within stable_after", func() {
		const stable = 3 * time.Second
		f := startWith(srv.Addr(), "e", firstPeer, firstPeer, `stable_after = "3s"`)
		Eventually(version(f), "3s", "5ms").Should(Equal(uint64(3)))
		Eventually(watching, "5s", "5ms").WithArguments(f).Should(BeTrue())
		began := srv.Calls("config")
		Eventually(srv.Calls, "10s", "2ms").WithArguments("config").Should(BeNumerically(">", began))
		srv.SetFaults(storeserver.Faults{Mute: true})
		put(9)
		time.Sleep(200 * time.Millisecond)
		srv.SetFaults(storeserver.Faults{ForgetHistory: true})
		Eventually(version(f), stable, "5ms").Should(Equal(uint64(9)))
	})

	It("is not ready until the store answers for the first time", func() {
		srv.SetFaults(storeserver.Faults{Down: true})
		f := start(srv.Addr())
		Consistently(f.Ready, "200ms", "20ms").Should(BeFalse())
		srv.SetFaults(storeserver.Faults{})
		Eventually(f.Ready, "3s", "10ms").Should(BeTrue())
	})
})
