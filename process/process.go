// Package process builds the kernel of one entry instance from its settings.
package process

import (
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor"
	"github.com/auburnmoor/auburnmoor/eventlog"
	"github.com/auburnmoor/auburnmoor/settings"
)

// Process is a kernel with its metrics reporter.
type Process struct {
	*auburnmoor.Kernel
	metrics io.Closer
}

// metricsInterval is how often counters are reported to the Prometheus registry.
const metricsInterval = time.Second

// New loads and provisions the modules of the settings file f.
func New(f *settings.File, log *zap.Logger) (*Process, error) {
	in := f.Instance
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "auburnmoor", CachedReporter: reporter, Separator: tallyprom.DefaultSeparator,
		Tags: map[string]string{"instance": in.Name},
	}, metricsInterval)
	k, err := auburnmoor.New(auburnmoor.Options{
		Self: auburnmoor.Identity{
			Name: in.Name, Incarnation: uint64(time.Now().UnixMicro()), DataCentre: in.DataCentre, Region: in.Region,
			PeerAddr: in.PeerAddr, CallerAddr: in.CallerAddr, AdminAddr: in.AdminAddr, Capacity: in.Capacity(),
			MemoryBytes: in.MemoryBytes(), Descriptors: int(in.MaxDescriptors),
		},
		Log: log.With(zap.String("instance", in.Name)), Scope: scope, Reporter: reporter, Configure: f.Configure, Load: f.ModuleIDs(),
	})
	if err != nil {
		return nil, errors.Join(err, closer.Close())
	}
	return &Process{Kernel: k, metrics: closer}, nil
}

// Close flushes the metrics.
func (p *Process) Close() error { return p.metrics.Close() }

// NewLog returns a logger with JSON lines or, for format "console", readable text.
func NewLog(format string) (*zap.Logger, error) {
	if format == "console" {
		c := zap.NewDevelopmentConfig()
		c.Level = zap.NewAtomicLevelAt(zap.InfoLevel)
		c.DisableStacktrace = true
		return c.Build()
	}
	return eventlog.New(eventlog.NewWriter(os.Stdout)), nil
}
