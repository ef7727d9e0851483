package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
)

// watchedFleet is a data centre of entry instances with a stand-in of the store.
type watchedFleet struct {
	*fleet
	store *storeserver.Server
}

const (
	watchBasePort = 19_600
	watchEntries  = 8
	// watchersPerDataCentre is the number of instances of a data centre that watch the store.
	watchersPerDataCentre = 5
)

func watchAddr(offset int) string { return fmt.Sprintf("127.0.0.1:%d", watchBasePort+portShift+offset) }

func newWatchedFleet() *watchedFleet {
	s := &watchedFleet{fleet: buildFleet(), store: storeserver.New(watchAddr(1))}
	Expect(s.store.Start()).To(Succeed())
	s.configure(3)
	s.putServer("a", "ready")
	for i := range watchEntries {
		s.startEntry(i)
	}
	return s
}

func entryName(i int) string { return fmt.Sprint("entry-", i) }

func (s *watchedFleet) startEntry(i int) {
	path := filepath.Join(s.dir, entryName(i)+".toml")
	Expect(os.WriteFile(path, []byte(fmt.Sprintf(`[instance]
name = %q
data_centre = "d"
region = "r"
caller_addr = %q
peer_addr = %q
admin_addr = %q
modules = ["platform.client", "platform.front", "http.admin"]
[platform.client]
store = %q
seeds = %q
[platform.front]
directory = %q
ready = %q
[control.catalog]
stable_after = "3s"
[control.members]
few_listed = true
gossip = "400ms"
fail_base = "700ms"
fail_most = "2200ms"
`, entryName(i), watchAddr(10+i), watchAddr(30+i), watchAddr(50+i), watchAddr(1), watchAddr(30), watchAddr(70+i), watchAddr(90+i))), 0o600)).To(Succeed())
	s.start(entryName(i), "serve", "--config", path)
}

func (s *watchedFleet) configure(version int) {
	Expect(s.store.Put("config", "main", map[string]any{"version": version})).To(Succeed())
}

func (s *watchedFleet) putServer(id, state string) {
	Expect(s.store.PutEntry(storeserver.Entry{ID: id, Service: "s", Addr: "127.0.0.1:9", DataCentre: "z", Slots: 2, Leaving: state == "draining"})).To(Succeed())
}

// catalogDump returns an instance's copy of the store content, or the zero value if the
// instance does not answer.
func (s *watchedFleet) catalogDump(i int) (d follow.Dump) {
	var all struct {
		Catalog follow.Dump `json:"control.catalog"`
	}
	r := call("GET", "http://"+watchAddr(50+i)+"/admin/dump", "")
	if r.status == 200 {
		Expect(json.Unmarshal([]byte(r.body), &all)).To(Succeed())
	}
	return all.Catalog
}

func (s *watchedFleet) versions(instances []int) func() []uint64 {
	return func() (out []uint64) {
		for _, i := range instances {
			out = append(out, s.catalogDump(i).ConfigVersion)
		}
		return out
	}
}

// awaitWatchers waits until watchersPerDataCentre instances watch the store and returns
// them and the others.
func (s *watchedFleet) awaitWatchers() (watching, others []int) {
	Eventually(func() int {
		watching, others = nil, nil
		for i := range watchEntries {
			if s.catalogDump(i).Watching {
				watching = append(watching, i)
			} else {
				others = append(others, i)
			}
		}
		return len(watching)
	}, "20s", "100ms").Should(Equal(watchersPerDataCentre))
	return watching, others
}

// repeat returns a slice with n copies of v.
func repeat(n int, v uint64) (out []uint64) {
	for range n {
		out = append(out, v)
	}
	return out
}

var _ = Describe("a fleet in which only some instances watch the store", func() {
	// Guards against a revoked key that still works at three of eight instances because all
	// that watch the store are frozen and no other instance polls it. The other members detect
	// the silence and take over watching.
	DescribeTable("applies a change although all watching instances are lost", func(signal syscall.Signal, resumes bool) {
		s := newWatchedFleet()
		DeferCleanup(func() {
			s.stop()
			s.store.Close()
		})
		watching, others := s.awaitWatchers()
		Eventually(s.versions(others), "10s", "20ms").Should(Equal(repeat(len(others), 3)))
		for _, i := range watching {
			s.signal(entryName(i), signal)
		}
		s.configure(8)
		s.putServer("a", "draining")
		// Failure detection takes up to 2.2 s; the rest is for a store call and passing on its
		// answer.
		Eventually(s.versions(others), "4s", "20ms").Should(Equal(repeat(len(others), 8)))
		if !resumes {
			return
		}
		for _, i := range watching {
			s.signal(entryName(i), syscall.SIGCONT)
		}
		Eventually(s.versions(watching), "4s", "20ms").Should(Equal(repeat(len(watching), 8)))
		s.awaitWatchers()
	},
		Entry("killed", syscall.SIGKILL, false),
		Entry("frozen", syscall.SIGSTOP, true),
	)

	// Guards against instances that resume after a freeze and spread an old era of the store.
	// While they are frozen, the store is restored from an older copy and the next watchers
	// follow its new era; the resumed instances hold higher revisions of the old era.
	It("follows the store's new era at the frozen and the other instances", func() {
		s := newWatchedFleet()
		DeferCleanup(func() {
			s.stop()
			s.store.Close()
		})
		watching, others := s.awaitWatchers()
		s.store.Copy()
		for v := 4; v < 10; v++ {
			s.configure(v)
		}
		s.putServer("b", "ready")
		Eventually(s.versions(watching), "5s", "20ms").Should(Equal(repeat(len(watching), 9)))
		Eventually(s.versions(others), "5s", "20ms").Should(Equal(repeat(len(others), 9)))
		for _, i := range watching {
			s.signal(entryName(i), syscall.SIGSTOP)
		}
		s.store.Restore()
		s.putServer("c", "ready")
		eras := func(instances []int) func() []uint64 {
			return func() (out []uint64) {
				for _, i := range instances {
					out = append(out, s.catalogDump(i).Era)
				}
				return out
			}
		}
		Eventually(eras(others), "5s", "20ms").Should(Equal(repeat(len(others), 2)))
		for _, i := range watching {
			s.signal(entryName(i), syscall.SIGCONT)
		}
		Eventually(eras(watching), "4s", "20ms").Should(Equal(repeat(len(watching), 2)))
		s.putServer("a", "draining")
		s.configure(11)
		instances := append(watching, others...)
		Eventually(s.versions(instances), "4s", "20ms").Should(Equal(repeat(len(instances), 11)))
		Eventually(func() (listed []int) {
			for _, i := range instances {
				listed = append(listed, s.catalogDump(i).Servers)
			}
			return listed
		}, "6s", "20ms").Should(HaveEach(2), "a, which is draining, and c")
	})

	// Guards against a restarted instance that refuses its callers until the store is back,
	// because it does not ask its peers for the configuration.
	It("lets a restarted instance serve while the store is down", func() {
		s := newWatchedFleet()
		DeferCleanup(func() {
			s.stop()
			s.store.Close()
		})
		_, others := s.awaitWatchers()
		s.store.SetFaults(storeserver.Faults{Down: true})
		s.signal(entryName(others[0]), syscall.SIGKILL)
		s.wait(entryName(others[0]))
		s.startEntry(others[0])
		Eventually(s.versions(others[:1]), "10s", "20ms").Should(Equal(repeat(1, 3)))
		Expect(s.catalogDump(others[0]).Servers).To(Equal(1))
	})
})

var _ = Describe("an instance whose configuration may be out of date", Ordered, func() {
	var s *platformSite
	BeforeAll(func() { s = newPlatformSite() })
	AfterAll(func() { s.close() })

	ask := func(path, key string) int {
		resp, _ := attempt{path: path, id: "final" + path + key, key: key}.send(0)
		return resp.StatusCode
	}

	It("rejects unknown routes and keys permanently while its configuration is confirmed", func() {
		Eventually(func() int { return ask("/new/1", "k1") }, "10s", "100ms").Should(Equal(404))
		Expect(ask("/look/1", "k2")).To(Equal(401))
	})

	// Guards against clients that give up because an instance without contact to the store
	// rejects a route or key permanently.
	It("rejects unknown routes and keys temporarily while the store is down, and serves known ones", func() {
		s.store.SetFaults(storeserver.Faults{Down: true})
		Eventually(func() int { return ask("/new/1", "k1") }, "10s", "100ms").Should(Equal(503))
		Expect(ask("/look/1", "k2")).To(Equal(503))
		resp, _ := attempt{path: "/new/1", id: "final-when", key: "k1"}.send(0)
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(ask("/look/1", "k1")).To(Equal(200))
	})

	It("rejects permanently again once the store is back", func() {
		s.store.SetFaults(storeserver.Faults{})
		Eventually(func() int { return ask("/new/1", "k1") }, "5s", "100ms").Should(Equal(404))
	})
})
