// Package dev runs a small site in one process: entry instances and emulators
// of the platform, the engines and the plain services.
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

// Options configure the site.
type Options struct {
	// Host is the IP address that all servers listen on.
	Host string
	// BasePort is the port of the platform; the other ports are offsets from it.
	BasePort int
	// Entries and Engines are the numbers of entry instances and engines.
	Entries int
	Engines int
	// StepFactor scales the assumed step times of the emulated engines.
	StepFactor float64
	// ListLag is the delay until a change appears in the instance list.
	ListLag time.Duration
	// Manifest is the initial configuration.
	Manifest []byte
	// KeepEntries shortens a graceful shutdown in tests.
	KeepEntries time.Duration
	Log         *zap.Logger
}

// DefaultOptions returns the options of "auburnmoor dev".
func DefaultOptions() Options {
	return Options{
		Host: "127.0.0.1", BasePort: 7001, Entries: 3, Engines: 6, StepFactor: 0.25,
		ListLag: 500 * time.Millisecond, KeepEntries: time.Second, Log: zap.NewNop(),
	}
}

// Port offsets from BasePort: the first port of each kind of server.
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

// Start starts a site; if a step fails, everything already running is stopped.
func Start(ctx context.Context, o Options) (*Site, error) {
	m, err := manifest.Parse(o.Manifest)
	if err != nil {
		return nil, err
	}
	s := &Site{opts: o, Runs: map[string]*serviceserver.Counter{}, index: manifest.NewIndex(m)}
	for _, step := range []func(context.Context) error{s.startPlatform, s.startEngines, s.startServices, s.acceptConfig, s.startEntries} {
		if err := step(ctx); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Addr returns the address at a port offset from BasePort.
func (s *Site) Addr(offset int) string {
	return fmt.Sprintf("%s:%d", s.opts.Host, s.opts.BasePort+offset)
}

// CallerAddr returns the caller-facing address of entry i.
func (s *Site) CallerAddr(i int) string { return s.Addr(callerPorts + i) }

// AdminAddr returns the admin address of entry i.
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

func (s *Site) acceptConfig(ctx context.Context) error {
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

// Ready waits until every entry has a configuration and the state of every
// engine.
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

// Stop drains the entries, then stops the emulators.
func (s *Site) Stop(ctx context.Context) error {
	errs := make(chan error, len(s.Entries))
	for _, p := range s.Entries {
		go func() { errs <- p.Stop(ctx) }()
	}
	var stopErrors []error
	for range s.Entries {
		stopErrors = append(stopErrors, <-errs)
	}
	s.Entries = nil
	s.Close()
	return errors.Join(stopErrors...)
}

// Close stops everything without draining.
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

// CheckPorts returns an error for the first address already in use; the ports
// of the plain services are not checked.
func CheckPorts(o Options) error {
	s := Site{opts: o}
	offsets := []int{0}
	for i := range o.Engines {
		offsets = append(offsets, enginePorts+i)
	}
	for i := range o.Entries {
		offsets = append(offsets, callerPorts+i, peerPorts+i, adminPorts+i)
	}
	for _, offset := range offsets {
		lis, err := net.Listen("tcp", s.Addr(offset))
		if err != nil {
			return errors.Wrapf(err, "address %s is not available", s.Addr(offset))
		}
		_ = lis.Close()
	}
	return nil
}
