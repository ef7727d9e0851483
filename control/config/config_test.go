package config_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/control/config"
	"github.com/auburnmoor/auburnmoor/decide/confver"
	"github.com/auburnmoor/auburnmoor/examples"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/standin/platformserver"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
	"github.com/auburnmoor/auburnmoor/process"
	"github.com/auburnmoor/auburnmoor/settings"
)

func TestConfig(t *testing.T) { testkit.Suite(t, "config") }

// accept has the platform accept a manifest that replaces version base.
func accept(srv *platformserver.Server, base uint64) {
	content := fmt.Appendf(nil, "%s# %d\n", examples.TePuna, base)
	version, err := confver.Accept(context.Background(), objectapi.NewClient(srv.Addr()), content, base, fmt.Sprint("w", base))
	Expect(err).NotTo(HaveOccurred())
	Expect(version).To(Equal(base + 1))
}

func start(srv *platformserver.Server, moduleSettings string) *config.Config {
	f, err := settings.Parse("f", fmt.Appendf(nil, `
[instance]
name = "e"
data_centre = "d"
region = "r"
caller_addr = "127.0.0.1:1"
peer_addr = "127.0.0.1:19890"
admin_addr = "127.0.0.1:1"
modules = ["control.config"]
[platform.api]
object_api = %q
instance_list = %q
[control.config]
%s
`, srv.Addr(), srv.Addr(), moduleSettings))
	Expect(err).NotTo(HaveOccurred())
	p, err := process.New(f, zap.NewNop())
	Expect(err).NotTo(HaveOccurred())
	Expect(p.Start(context.Background())).To(Succeed())
	DeferCleanup(func() {
		Expect(p.Stop(context.Background())).To(Succeed())
		Expect(p.Close()).To(Succeed())
	})
	return p.Module(config.ID).(*config.Config)
}

var _ = Describe("a manifest accepted just after an outage", func() {
	// adoptionTime is the time within which operators expect an accepted manifest to be in
	// force.
	const adoptionTime = 5 * time.Second
	var srv *platformserver.Server
	BeforeEach(func() {
		srv = platformserver.New("127.0.0.1:0", 0)
		Expect(srv.Start()).To(Succeed())
		DeferCleanup(srv.Close)
		accept(srv, 0)
	})

	// Guards against a watch or a backoff that began in an outage and lasts far beyond it.
	DescribeTable("is in force within seconds", func(f platformserver.Faults, outage time.Duration, moduleSettings string) {
		c := start(srv, moduleSettings)
		Eventually(c.Version, "5s", "5ms").Should(Equal(uint64(1)))
		srv.Inject(f)
		time.Sleep(outage)
		srv.Inject(platformserver.Faults{})
		accept(srv, 1)
		Eventually(c.Version, adoptionTime, "5ms").Should(Equal(uint64(2)))
	},
		Entry("after silence", platformserver.Faults{Silent: true}, 500*time.Millisecond, ""),
		Entry("after refusals", platformserver.Faults{Down: true}, 12*time.Second, `watch_wait = "200ms"`),
	)
})
