// Package dev runs a whole small site in one process: stand-ins for the
// platform, engines and plain services, and three entry instances.
package dev

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/confver"
	"github.com/auburnmoor/auburnmoor/lab/standin/enginecore"
	"github.com/auburnmoor/auburnmoor/lab/standin/engineserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/platformserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/serviceserver"
	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/port/instances"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
	"github.com/auburnmoor/auburnmoor/process"
	"github.com/auburnmoor/auburnmoor/settings"
)

// Options size the site.
type Options struct {
	// Host is the IP number that everything listens on.
	Host string
	// BasePort is the port of the platform; the others follow from it.
	BasePort int
	// Entries and Engines are the numbers of instances and engines.
	Entries int
	Engines int
	// StepFactor scales the assumed step times of the engines.
	StepFactor float64
	// ListLag is how late the instance list shows a change.
	ListLag time.Duration
	// Manifest is the configuration to accept first.
	Manifest []byte
	// KeepEntries shortens a graceful shutdown in tests.
	KeepEntries time.Duration
	Log         *zap.Logger
}

// DefaultOptions returns the site that "auburnmoor dev" runs.
func DefaultOptions() Options {
	return Options{
		Host: "127.0.0.1", BasePort: 7001, Entries: 3, Engines: 6, StepFactor: 0.25,
		ListLag: 500 * time.Millisecond, KeepEntries: time.Second, Log: zap.NewNop(),
	}
}

// Offsets of the ports from BasePort.
const (
	enginePorts  = 10
	servicePorts = 50
	callerPorts  = 100
	peerPorts    = 200
	adminPorts   = 300
)

var dataCentres = []string{"dc-a", "dc-b", "dc-c"}

// Site is a running site.
type Site struct {
	opts     Options
	Platform *platformserver.Server
	Engines  []*engineserver.Server
	Services []*serviceserver.Server
	Runs     map[string]*serviceserver.Counter
	Entries  []*process.Process
	index    *manifest.Index
}

// Start brings a site up; on a failure everything is stopped again.
func Start(ctx context.Context, o Options) (*Site, error) {
	m, err := manifest.Parse(o.Manifest)
	if err != nil {
		return nil, err
	}
	s := &Site{opts: o, Runs: map[string]*serviceserver.Counter{}, index: manifest.NewIndex(m)}
	for _, step := range []func(context.Context) error{s.startPlatform, s.startEngines, s.startServices, s.accept, s.startEntries} {
		if err := step(ctx); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Addr returns the address at an offset from the base port.
func (s *Site) Addr(offset int) string {
	return fmt.Sprintf("%s:%d", s.opts.Host, s.opts.BasePort+offset)
}

// CallerAddr returns the callers' address of entry i.
func (s *Site) CallerAddr(i int) string { return s.Addr(callerPorts + i) }

// AdminAddr returns the operators' address of entry i.
func (s *Site) AdminAddr(i int) string { return s.Addr(adminPorts + i) }

func (s *Site) startPlatform(context.Context) error {
	s.Platform = platformserver.New(s.Addr(0), s.opts.ListLag)
	return s.Platform.Start()
}

func (s *Site) startEngines(context.Context) error {
	for i := range s.opts.Engines {
		cfg := enginecore.Config{
			Name: fmt.Sprintf("engine-%d", i+1), KVTokens: enginecore.LargeKV, Assume: enginecore.Assumed(s.opts.StepFactor),
			Fencing: i%2 == 0, ReportLag: 500 * time.Millisecond, EventLag: 300 * time.Millisecond, EventGap: 50,
		}
		if i%3 == 2 {
			cfg.KVTokens = enginecore.SmallKV
		}
		e := engineserver.New(s.Addr(enginePorts+i), cfg)
		if err := e.Start(); err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
		s.Platform.SetInstance(instances.Instance{
			Name: cfg.Name, Role: instances.RoleEngine, Addr: e.Addr(), DataCentre: dataCentres[i%3], Region: "dev", Fencing: cfg.Fencing,
		})
	}
	return nil
}

func (s *Site) startServices(context.Context) error {
	for i, name := range s.index.ServiceNames(manifest.Plain) {
		counter := &serviceserver.Counter{}
		s.Runs[name] = counter
		sv := serviceserver.New(s.Addr(servicePorts+i), name, counter)
		if err := sv.Start(); err != nil {
			return err
		}
		s.Services = append(s.Services, sv)
		s.Platform.SetInstance(instances.Instance{
			Name: name + "-1", Role: instances.RoleService, Addr: sv.Addr(), DataCentre: dataCentres[i%3], Region: "dev", Service: name,
		})
	}
	return nil
}

func (s *Site) accept(ctx context.Context) error {
	store := objectapi.NewClient(s.Platform.Addr())
	_, err := confver.Accept(ctx, store, s.opts.Manifest, 0, "dev")
	return err
}

func (s *Site) startEntries(ctx context.Context) error {
	for i := range s.opts.Entries {
		s.Platform.SetInstance(instances.Instance{
			Name: entryName(i), Role: instances.RoleEntry, Addr: s.CallerAddr(i), PeerAddr: s.Addr(peerPorts + i),
			DataCentre: dataCentres[i%3], Region: "dev",
		})
	}
	for i := range s.opts.Entries {
		p, err := s.StartEntry(ctx, i)
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, p)
	}
	return nil
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// StartEntry starts entry instance i; the caller stops it.
func (s *Site) StartEntry(ctx context.Context, i int) (*process.Process, error) {
	f, err := settings.Parse(entryName(i)+".toml", s.EntrySettings(i))
	if err != nil {
		return nil, err
	}
	p, err := process.New(f, s.opts.Log)
	if err != nil {
		return nil, err
	}
	return p, p.Start(ctx)
}

// EntrySettings returns the settings file of entry instance i.
func (s *Site) EntrySettings(i int) []byte {
	return fmt.Appendf(nil, `[instance]
name = %q
data_centre = %q
region = "dev"
caller_addr = %q
peer_addr = %q
admin_addr = %q

[platform.api]
object_api = %q
instance_list = %q

[http.api]
keep_entries = %q

[http.admin]
profiles = true
`, entryName(i), dataCentres[i%3], s.CallerAddr(i), s.Addr(peerPorts+i), s.AdminAddr(i),
		s.Platform.Addr(), s.Platform.Addr(), s.opts.KeepEntries)
}

// Ready waits until every entry knows the configuration and every engine.
func (s *Site) Ready(ctx context.Context) error {
	for {
		ready := true
		for _, p := range s.Entries {
			ready = ready && isReady(p, s.opts.Engines)
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the site did not become ready in time")
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Stop drains the entries, then stops the stand-ins.
func (s *Site) Stop(ctx context.Context) error {
	errs := make(chan error, len(s.Entries))
	for _, p := range s.Entries {
		go func() { errs <- p.Stop(ctx) }()
	}
	var problems []error
	for range s.Entries {
		problems = append(problems, <-errs)
	}
	s.Entries = nil
	s.Close()
	return errors.Join(problems...)
}

// Close stops everything at once.
func (s *Site) Close() {
	for _, p := range s.Entries {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = p.Stop(ctx)
	}
	for _, e := range s.Engines {
		e.Close()
	}
	for _, sv := range s.Services {
		sv.Close()
	}
	if s.Platform != nil && s.Platform.Addr() != "" {
		s.Platform.Close()
	}
}

// CheckPorts reports the first address of the site that is taken.
func CheckPorts(o Options) error {
	s := Site{opts: o}
	offsets := []int{0}
	for i := range o.Engines {
		offsets = append(offsets, enginePorts+i)
	}
	for i := range o.Entries {
		offsets = append(offsets, callerPorts+i, peerPorts+i, adminPorts+i)
	}
	for _, off := range offsets {
		lis, err := net.Listen("tcp", s.Addr(off))
		if err != nil {
			return errors.Wrapf(err, "address %s is taken", s.Addr(off))
		}
		_ = lis.Close()
	}
	return nil
}
