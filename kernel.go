package auburnmoor

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Identity identifies one running instance.
type Identity struct {
	Name        string
	Incarnation uint64
	DataCentre  string
	Region      string
	PeerAddr    string
	CallerAddr  string
	AdminAddr   string
	// Capacity is the number of processor cores of the instance in thousandths, zero if
	// unknown.
	Capacity uint32
	// MemoryBytes and Descriptors are what the process may use of either, zero if unknown.
	MemoryBytes int64
	Descriptors int
}

// Context gives a module access to the process it runs in.
type Context struct {
	kernel *Kernel
	Log    *zap.Logger
	Scope  tally.Scope
	// Reporter receives the metrics of Scope.
	Reporter tally.CachedStatsReporter
	Self     Identity
	// Now is the monotonic time since the process began. Decisions use it
	// instead of the wall clock, which can jump.
	Now func() time.Duration
	// Seed seeds random choices; it differs between instances.
	Seed uint64
}

// Require returns another module of the process. The caller must list it in its
// Requires: otherwise it may be missing or not yet provisioned.
func Require[T any](c *Context, id ModuleID) (T, error) {
	var zero T
	m, ok := c.kernel.modules[id]
	if !ok {
		return zero, errors.Newf("module %q is not loaded", id)
	}
	t, ok := m.(T)
	if !ok {
		return zero, errors.Newf("module %q is a %T", id, m)
	}
	return t, nil
}

// Options configure a kernel.
type Options struct {
	Self      Identity
	Log       *zap.Logger
	Scope     tally.Scope
	Reporter  tally.CachedStatsReporter
	Configure func(id ModuleID, m Module) error
	// Load lists the modules to load in addition to those that they require;
	// empty loads every registered module that is not OptIn.
	Load []ModuleID
}

// Kernel owns the modules of one process from load to cleanup.
type Kernel struct {
	opts    Options
	ctx     *Context
	order   []ModuleInfo
	modules map[ModuleID]Module
	started []ModuleID
	cancel  context.CancelFunc
}

// New loads, configures, checks and provisions the modules. All problems of the
// settings are reported together.
func New(opts Options) (*Kernel, error) {
	order, err := Select(opts.Load)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	k := &Kernel{opts: opts, order: order, modules: map[ModuleID]Module{}}
	k.ctx = &Context{
		kernel: k, Log: opts.Log, Scope: opts.Scope, Reporter: opts.Reporter, Self: opts.Self,
		Now:  func() time.Duration { return time.Since(start) },
		Seed: rand.Uint64(),
	}
	if err := k.configure(); err != nil {
		return nil, err
	}
	return k, k.provision()
}

func (k *Kernel) configure() error {
	var problems error
	for _, info := range k.order {
		m := info.New()
		if err := k.opts.Configure(info.ID, m); err != nil {
			problems = errors.Join(problems, err)
		}
		if v, ok := m.(Validator); ok {
			problems = errors.Join(problems, errors.Wrapf(v.Validate(), "[%s]", info.ID))
		}
		k.modules[info.ID] = m
	}
	return problems
}

func (k *Kernel) provision() error {
	for _, info := range k.order {
		p, ok := k.modules[info.ID].(Provisioner)
		if !ok {
			continue
		}
		scoped := *k.ctx
		scoped.Log = k.ctx.Log.Named(string(info.ID))
		if err := p.Provision(&scoped); err != nil {
			return errors.Wrapf(err, "provision %s", info.ID)
		}
	}
	return nil
}

// Start starts the modules in dependency order; on a failure those already
// started are cleaned up.
func (k *Kernel) Start(ctx context.Context) error {
	ctx, k.cancel = context.WithCancel(ctx)
	for _, info := range k.order {
		k.started = append(k.started, info.ID)
		s, ok := k.modules[info.ID].(Starter)
		if !ok {
			continue
		}
		if err := s.Start(ctx); err != nil {
			return errors.Join(errors.Wrapf(err, "start %s", info.ID), k.Stop(context.Background()))
		}
	}
	return nil
}

// Reload configures a new copy of every module and passes it to the modules that
// implement Reloader. If any setting is invalid, none is changed.
func (k *Kernel) Reload(configure func(id ModuleID, m Module) error) error {
	fresh := map[ModuleID]Module{}
	var problems error
	for _, info := range k.order {
		m := info.New()
		problems = errors.Join(problems, configure(info.ID, m))
		if v, ok := m.(Validator); ok {
			problems = errors.Join(problems, errors.Wrapf(v.Validate(), "[%s]", info.ID))
		}
		fresh[info.ID] = m
	}
	if problems != nil {
		return problems
	}
	for _, info := range k.order {
		if r, ok := k.modules[info.ID].(Reloader); ok {
			problems = errors.Join(problems, errors.Wrapf(r.Reload(fresh[info.ID]), "reload %s", info.ID))
		}
	}
	return problems
}

// Stop drains the modules in reverse order of start, then cleans them up.
func (k *Kernel) Stop(ctx context.Context) error {
	var problems error
	k.reverseStarted(func(id ModuleID, m Module) {
		if d, ok := m.(Drainer); ok {
			problems = errors.Join(problems, errors.Wrapf(d.Drain(ctx), "drain %s", id))
		}
	})
	if k.cancel != nil {
		k.cancel()
	}
	k.reverseStarted(func(id ModuleID, m Module) {
		if c, ok := m.(Cleaner); ok {
			problems = errors.Join(problems, errors.Wrapf(c.Cleanup(), "clean up %s", id))
		}
	})
	k.started = nil
	return problems
}

func (k *Kernel) reverseStarted(f func(ModuleID, Module)) {
	for i := len(k.started) - 1; i >= 0; i-- {
		id := k.started[i]
		f(id, k.modules[id])
	}
}

// Dump collects the state of every module that implements Dumper.
func (k *Kernel) Dump() map[ModuleID]any {
	out := map[ModuleID]any{}
	for id, m := range k.modules {
		if d, ok := m.(Dumper); ok {
			out[id] = d.Dump()
		}
	}
	return out
}

// Self returns the identity of the instance.
func (k *Kernel) Self() Identity { return k.opts.Self }

// DumpAll lets a module serve the state dump of the whole process.
func (c *Context) DumpAll() map[ModuleID]any { return c.kernel.Dump() }

// Operate carries out an operator's action in a module of this process.
func (c *Context) Operate(id ModuleID, action, subject string) error {
	o, ok := c.kernel.Module(id).(Operable)
	if !ok {
		return errors.Newf("module %q supports no operator actions", id)
	}
	return o.Operate(action, subject)
}

// Select returns the modules that a process loads for the given list, in the order
// in which they start.
func Select(load []ModuleID) ([]ModuleInfo, error) {
	all := Modules()
	if len(load) == 0 {
		return sortByRequires(slices.DeleteFunc(all, func(i ModuleInfo) bool { return i.OptIn }))
	}
	byID := map[ModuleID]ModuleInfo{}
	for _, info := range all {
		byID[info.ID] = info
	}
	chosen := map[ModuleID]ModuleInfo{}
	provided := map[ModuleID]bool{}
	for _, id := range load {
		info, ok := byID[id]
		if !ok {
			return nil, errors.Newf("module %q is not registered", id)
		}
		chosen[id] = info
		for _, port := range info.Provides {
			provided[port] = true
		}
	}
	for added := true; added; {
		added = false
		for _, info := range chosen {
			for _, id := range info.Requires {
				dep, known := byID[id]
				if _, isChosen := chosen[id]; isChosen || provided[id] || !known {
					continue
				}
				chosen[id], added = dep, true
			}
		}
	}
	return sortByRequires(slices.SortedFunc(maps.Values(chosen), func(a, b ModuleInfo) int { return cmp.Compare(a.ID, b.ID) }))
}

// Find returns the loaded module that implements T, for example the one that provides
// a port.
func Find[T any](c *Context) (T, error) {
	var zero T
	for _, m := range c.kernel.modules {
		if t, ok := m.(T); ok {
			return t, nil
		}
	}
	return zero, errors.Newf("no loaded module implements %T", &zero)
}

func sortByRequires(infos []ModuleInfo) ([]ModuleInfo, error) {
	byID := map[ModuleID]ModuleInfo{}
	for _, info := range infos {
		byID[info.ID] = info
		for _, port := range info.Provides {
			byID[port] = info
		}
	}
	const (
		visiting = 1
		done     = 2
	)
	// A module can be reached by its own ID and by those of its ports, so it is
	// marked by its own ID.
	mark := map[ModuleID]int{}
	var order []ModuleInfo
	var visit func(ModuleInfo) error
	visit = func(info ModuleInfo) error {
		switch mark[info.ID] {
		case visiting:
			return errors.Newf("dependency cycle through module %s", info.ID)
		case done:
			return nil
		}
		mark[info.ID] = visiting
		for _, id := range info.Requires {
			dep, ok := byID[id]
			if !ok {
				return errors.Newf("module %s requires %s, which is not registered", info.ID, id)
			}
			if err := visit(dep); err != nil {
				return err
			}
		}
		mark[info.ID] = done
		order = append(order, info)
		return nil
	}
	for _, info := range infos {
		if err := visit(info); err != nil {
			return nil, err
		}
	}
	return order, nil
}

// Module returns a loaded module, or nil.
func (k *Kernel) Module(id ModuleID) Module { return k.modules[id] }
