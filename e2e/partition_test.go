package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
	"github.com/auburnmoor/auburnmoor/platform"
	"github.com/auburnmoor/auburnmoor/port/backend"
	"github.com/auburnmoor/auburnmoor/process"
	"github.com/auburnmoor/auburnmoor/settings"
)

// partitionedClientID is a client of the platform whose way to backend servers can be cut.
const partitionedClientID auburnmoor.ModuleID = "e2e.client"

func init() { auburnmoor.Register(new(partitionedClient)) }

// cutMode is what happens to new connections across a partition.
type cutMode int

const (
	// cutSilent lets attempts to connect time out.
	cutSilent cutMode = iota
	// cutRefused has them refused at once.
	cutRefused
)

// cutDialTimeout is how long an attempt to connect across a silent partition takes.
const cutDialTimeout = 300 * time.Millisecond

// cut is a partition of one instance from some backend servers.
type cut struct {
	mode cutMode
	// severs reports whether a server is behind the partition.
	severs func(server string) bool
}

// cuts are the partitions in force, by instance.
var cuts sync.Map

func cutOff(instance string, mode cutMode, severs func(server string) bool) {
	cuts.Store(instance, cut{mode: mode, severs: severs})
}

func healCuts() { cuts.Clear() }

// sendDelays are the times that instances take from the choice of a server to the sending of a request.
var sendDelays sync.Map

func delaySends(instance string, d time.Duration) { sendDelays.Store(instance, d) }

func allServers(string) bool { return true }

// partitionedClient is platform.Client behind the partitions in force.
type partitionedClient struct {
	platform.Client
	self string
}

// ModuleInfo implements auburnmoor.Module.
func (c *partitionedClient) ModuleInfo() auburnmoor.ModuleInfo {
	info := c.Client.ModuleInfo()
	info.ID, info.New = partitionedClientID, func() auburnmoor.Module { return new(partitionedClient) }
	return info
}

// Provision implements auburnmoor.Provisioner.
func (c *partitionedClient) Provision(ctx *auburnmoor.Context) error {
	c.self = ctx.Self.Name
	return c.Client.Provision(ctx)
}

// Backends implements backend.Source.
func (c *partitionedClient) Backends() backend.Client {
	return &partitionedBackends{Client: c.Client.Backends(), self: c.self}
}

type partitionedBackends struct {
	backend.Client
	self string
}

// connect fails like an attempt to connect if the server is behind a partition.
func (b *partitionedBackends) connect(ctx context.Context, server string) error {
	v, ok := cuts.Load(b.self)
	if !ok || !v.(cut).severs(server) {
		return nil
	}
	if v.(cut).mode == cutSilent {
		select {
		case <-ctx.Done():
		case <-time.After(cutDialTimeout):
		}
	}
	return errors.Mark(errors.Newf("%s is cut off from %s", b.self, server), backend.ErrNotSent)
}

// Do implements backend.Client.
func (b *partitionedBackends) Do(ctx context.Context, c backend.Call) (backend.Answer, error) {
	if err := b.connect(ctx, c.Server); err != nil {
		return nil, err
	}
	if d, delayed := sendDelays.Load(b.self); delayed {
		time.Sleep(d.(time.Duration))
	}
	c.Header = c.Header.Clone()
	if c.Header == nil {
		c.Header = http.Header{}
	}
	c.Header.Set(workerserver.SenderHeader, b.self)
	return b.Client.Do(ctx, c)
}

// Connected implements backend.Client. A kept connection would hang behind a silent cut.
func (b *partitionedBackends) Connected(to backend.Endpoint) bool {
	v, ok := cuts.Load(b.self)
	return (!ok || !v.(cut).severs(to.Server)) && b.Client.Connected(to)
}

// Connect implements backend.Client.
func (b *partitionedBackends) Connect(ctx context.Context, to backend.Endpoint) error {
	if err := b.connect(ctx, to.Server); err != nil {
		return err
	}
	return b.Client.Connect(ctx, to)
}

// Reserve implements backend.Client.
func (b *partitionedBackends) Reserve(ctx context.Context, r backend.Reservation) (bool, error) {
	if err := b.connect(ctx, r.Server); err != nil {
		return false, err
	}
	return b.Client.Reserve(ctx, r)
}

// Release implements backend.Client.
func (b *partitionedBackends) Release(ctx context.Context, r backend.Reservation) error {
	if err := b.connect(ctx, r.Server); err != nil {
		return err
	}
	return b.Client.Release(ctx, r)
}

// partitionedSite is a site whose instances run in the test process.
type partitionedSite struct {
	*platformSite
	entries []*process.Process
}

func newPartitionedSite() *partitionedSite { return newPartitionedSiteWith(3) }

// newPartitionedSiteWith starts a site with the given number of engines.
func newPartitionedSiteWith(engines int) *partitionedSite {
	s := &partitionedSite{platformSite: &platformSite{fleet: &fleet{}, store: storeserver.New(platformAddr(1)), settings: firstStart}}
	s.startServers(engines, workerserver.Config{Events: streamEvents, EventPause: 50 * time.Millisecond, Memory: engineMemory})
	for i := range platformEntries {
		f, err := settings.Parse(fmt.Sprint("entry-", i, ".toml"), s.entrySettings(i, string(partitionedClientID)))
		Expect(err).NotTo(HaveOccurred())
		p, err := process.New(f, zap.NewNop())
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Start(context.Background())).To(Succeed())
		s.entries = append(s.entries, p)
	}
	s.awaitReady()
	return s
}

func (s *partitionedSite) close() {
	for i := range s.entries {
		s.kill(i)
	}
	s.platformSite.close()
}

// kill stops an instance without draining it.
func (s *partitionedSite) kill(entry int) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.entries[entry].Stop(ended)
}

// expectServed sends requests of each kind to an instance and expects them served, those that
// must not be repeated once.
func (s *partitionedSite) expectServed(entry int, prefix string) {
	GinkgoHelper()
	for i := range 3 {
		id := fmt.Sprint(prefix, "-", i)
		resp, body := attempt{path: "/ask/1", id: "ask-" + id, key: "k1", tokens: 900, body: "prompt"}.send(entry)
		Expect(resp.StatusCode).To(Equal(200), body)
		Expect(body).To(Equal(completeStream("ask-" + id)))
		resp, body = attempt{path: "/look/1", id: "look-" + id, key: "k1"}.send(entry)
		Expect(resp.StatusCode).To(Equal(200), body)
		Expect(body).To(Equal(workerserver.Body("look-" + id)))
		resp, body = attempt{path: "/print/1", id: "print-" + id, key: "k1", body: "label"}.send(entry)
		Expect(resp.StatusCode).To(Equal(200), body)
		Expect(body).To(Equal(workerserver.Body("print-" + id)))
		Expect(runs(s.plain, "print-"+id)).To(Equal(1))
	}
}

func onlyServers(ids ...string) func(string) bool {
	return func(server string) bool { return slices.Contains(ids, server) }
}

var _ = Describe("an instance without a path to backend servers", Ordered, func() {
	var s *partitionedSite
	BeforeAll(func() {
		s = newPartitionedSite()
		DeferCleanup(func() { s.close() })
	})
	AfterEach(healCuts)

	// Guards against callers that are refused because the instance they reached has no path to
	// the backend servers, although other instances have.
	It("serves its callers through other instances", func() {
		cutOff("entry-0", cutSilent, allServers)
		s.expectServed(0, "silent")
		healCuts()
		cutOff("entry-0", cutRefused, allServers)
		s.expectServed(0, "refused")
	})

	// Guards against requests that fail because a byte of their head is no UTF-8, which messages between instances were.
	It("serves requests with any byte in a header through other instances", func() {
		cutOff("entry-0", cutSilent, allServers)
		req := attempt{path: "/print/1", id: "any-byte", key: "k1", body: "label"}.request(0)
		req.Header.Set("X-Note", "caf\xe9")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(readBody(resp)).To(Equal(workerserver.Body("any-byte")))
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(runs(s.plain, "any-byte")).To(Equal(1))
	})

	DescribeTable("serves its callers if it is cut off from", func(prefix string, severs func(string) bool) {
		cutOff("entry-1", cutSilent, severs)
		s.expectServed(1, prefix)
	},
		Entry("some servers of each service", "some", onlyServers("e0", "e1", "p0", "p2")),
		Entry("the servers of one service", "plain", onlyServers("p0", "p1", "p2")),
		Entry("the model engines", "engines", onlyServers("e0", "e1", "e2")),
	)

	It("serves prompts that need the memory of several engines", func() {
		cutOff("entry-0", cutSilent, allServers)
		for i := range 3 {
			id := fmt.Sprint("large-", i)
			resp, body := attempt{path: "/ask/1", id: id, key: "k1", tokens: 150_000, body: "prompt"}.send(0)
			Expect(resp.StatusCode).To(Equal(200), body)
			Expect(body).To(Equal(completeStream(id)))
		}
	})

	// Guards against 429 for lack of memory on empty engines after one order that got no answer.
	It("serves prompts that need the memory of several engines although an order is lost", func() {
		cutOff("entry-0", cutSilent, allServers)
		for _, e := range s.engines {
			Eventually(e.Reserved, "3s", "10ms").Should(BeZero())
			// Two instances are asked to send an order.
			e.InjectOrder(workerserver.OrderDropped, workerserver.OrderDropped)
		}
		for i := range 3 {
			id := fmt.Sprint("lost-order-", i)
			resp, body := attempt{path: "/ask/1", id: id, key: "k1", tokens: 150_000, body: "prompt"}.send(0)
			Expect(resp.StatusCode).To(Equal(200), body)
			Expect(body).To(Equal(completeStream(id)))
		}
	})

	It("is served by the only instance in touch, as are all others", func() {
		cutOff("entry-0", cutSilent, allServers)
		cutOff("entry-1", cutRefused, allServers)
		s.expectServed(0, "few-0")
		s.expectServed(1, "few-1")
		s.expectServed(2, "few-2")
	})

	// Guards against calls that instances pass on to each other, and against requests held for
	// seconds that no instance can serve.
	It("refuses its callers at once as not run if no instance has one, and serves them after", func() {
		for i := range platformEntries {
			cutOff(fmt.Sprint("entry-", i), cutSilent, allServers)
		}
		for i := range 6 {
			resp, _ := attempt{path: "/print/1", id: fmt.Sprint("cut-", i), key: "k1"}.send(i % platformEntries)
			Expect(resp.StatusCode).To(Equal(503))
			Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
		began := time.Now()
		resp, _ := attempt{path: "/print/1", id: "cut-last", key: "k1"}.send(0)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		for i := range 6 {
			Expect(runs(s.plain, fmt.Sprint("cut-", i))).To(BeZero())
		}
		healCuts()
		for i := range platformEntries {
			Eventually(func() int {
				resp, _ := attempt{path: "/print/1", id: fmt.Sprint("healed-", i, time.Now()), key: "k1"}.send(i)
				return resp.StatusCode
			}, "3s", "100ms").Should(Equal(200))
		}
	})

	// Guards against a site without other traffic that takes the end of two engines for a partition
	// and refuses requests that the third one would run.
	DescribeTable("serves callers of all instances while two of three engines refuse or time out", func(prefix string, mode cutMode) {
		for i := range platformEntries {
			cutOff(fmt.Sprint("entry-", i), mode, onlyServers("e0", "e1"))
		}
		for i := range 3 * platformEntries {
			id := fmt.Sprint(prefix, "-", i)
			resp, body := attempt{path: "/ask/1", id: id, key: "k1", tokens: 900, body: "prompt"}.send(i % platformEntries)
			Expect(resp.StatusCode).To(Equal(200), body)
			Expect(body).To(Equal(completeStream(id)))
		}
	},
		Entry("refuse", "ended", cutRefused),
		Entry("time out", "dark", cutSilent),
	)

	It("connects to the servers itself again after the partition", func() {
		cutOff("entry-0", cutRefused, allServers)
		s.expectServed(0, "before")
		healCuts()
		Eventually(func() string {
			s.expectServed(0, fmt.Sprint("after-", time.Now().UnixNano()))
			return call("GET", "http://"+platformAddr(500)+"/admin/dump", "").body
		}, "15s", "50ms").Should(And(MatchRegexp(`"isolated":\s*null`), MatchRegexp(`"failing":\s*0`)))
	})
})

var _ = Describe("an instance that makes calls for another one", func() {
	var s *partitionedSite
	BeforeEach(func() {
		s = newPartitionedSite()
		DeferCleanup(func() { s.close() })
		DeferCleanup(healCuts)
		// Only the last instance is in touch with the servers.
		cutOff("entry-0", cutSilent, allServers)
		cutOff("entry-1", cutSilent, allServers)
	})

	// Guards against answers that are cut off when the instance that makes the call is replaced.
	It("completes the calls when it is stopped", func() {
		s.expectServed(0, "warm")
		results := make(chan string, 5)
		for i := range 5 {
			go func() {
				defer GinkgoRecover()
				id := fmt.Sprint("drain-", i)
				resp, body := attempt{path: "/ask/1", id: id, key: "k1", tokens: 900, body: "prompt"}.send(0)
				if resp.StatusCode == 200 && body == completeStream(id) {
					body = ""
				}
				results <- body
			}()
		}
		Eventually(func() int {
			n := 0
			for i := range 5 {
				n += runs(s.engines, fmt.Sprint("drain-", i))
			}
			return n
		}, "3s", "10ms").Should(Equal(5))
		Expect(s.entries[2].Stop(context.Background())).To(Succeed())
		for range 5 {
			Eventually(results, "5s").Should(Receive(BeEmpty()))
		}
		for i := range 5 {
			Expect(runs(s.engines, fmt.Sprint("drain-", i))).To(Equal(1))
		}
	})

	// Guards against a request that runs twice, or is said not to have run, when the instance that
	// makes the call ends in the middle of it.
	It("leaves a request that must not be repeated as failed when it is killed", func() {
		s.expectServed(0, "warm")
		for _, w := range s.plain {
			w.Inject(workerserver.Mute)
		}
		status := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			resp, _ := attempt{path: "/print/1", id: "killed", key: "k1"}.send(0)
			status <- resp.StatusCode
		}()
		Eventually(func() int { return runs(s.plain, "killed") }, "3s", "10ms").Should(Equal(1))
		s.kill(2)
		Eventually(status, "6s").Should(Receive(Equal(502)))
		Consistently(func() int { return runs(s.plain, "killed") }, "500ms", "100ms").Should(Equal(1))
	})
})

var _ = Describe("an instance while most engines restart", Ordered, func() {
	var s *partitionedSite
	BeforeAll(func() {
		s = newPartitionedSiteWith(8)
		DeferCleanup(func() { s.close() })
	})

	// Guards against 503 at once for a request that met four engines which refused connections.
	It("sends requests to those that run", func() {
		for _, e := range s.engines[:5] {
			e.Close()
		}
		for i := range 3 * platformEntries {
			id := fmt.Sprint("running-", i)
			resp, body := attempt{path: "/ask/1", id: id, key: "k1", tokens: 900, body: "prompt"}.send(i % platformEntries)
			Expect(resp.StatusCode).To(Equal(200), body)
			Expect(body).To(Equal(completeStream(id)))
		}
	})
})
