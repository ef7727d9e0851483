package e2e

import (
	"context"
	"fmt"
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
	return b.Client.Do(ctx, c)
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

// newPartitionedSite starts a site whose instances run in the test process.
func newPartitionedSite() *platformSite {
	s := &platformSite{fleet: &fleet{}, store: storeserver.New(platformAddr(1))}
	s.startServers(3, workerserver.Config{Events: streamEvents, EventPause: 20 * time.Millisecond, Memory: engineMemory})
	for i := range platformEntries {
		f, err := settings.Parse(fmt.Sprint("entry-", i, ".toml"), s.entrySettings(i, string(partitionedClientID)))
		Expect(err).NotTo(HaveOccurred())
		p, err := process.New(f, zap.NewNop())
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Start(context.Background())).To(Succeed())
		DeferCleanup(func() {
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			_ = p.Stop(ended)
		})
	}
	s.awaitReady()
	return s
}

var _ = Describe("an instance without a path to backend servers", Ordered, func() {
	var s *platformSite
	BeforeAll(func() {
		s = newPartitionedSite()
		DeferCleanup(func() { s.close() })
	})
	AfterEach(healCuts)

	// expectServed sends requests of each kind to an instance and expects them served once each.
	expectServed := func(entry int, prefix string) {
		GinkgoHelper()
		for i := range 6 {
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

	// Guards against callers that are refused because the instance they reached has no path to
	// the backend servers, although other instances have.
	It("serves its callers through other instances", func() {
		cutOff("entry-0", cutSilent, allServers)
		expectServed(0, "silent")
		healCuts()
		cutOff("entry-0", cutRefused, allServers)
		expectServed(0, "refused")
	})
})
