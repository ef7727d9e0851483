package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/lab/standin/caller"
	"github.com/auburnmoor/auburnmoor/lab/standin/storeserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
)

// Options configure a run.
type Options struct {
	// Binary is the path of the program to run.
	Binary string
	// Dir is the directory for settings and logs.
	Dir    string
	Mutant Mutant
}

// Result summarizes a run.
type Result struct {
	Requests, Served int
	Violations       []Violation
}

// Violated reports whether the run violated a promise.
func (r Result) Violated(p Promise) bool {
	return slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Promise == p })
}

// Times of a run.
const (
	// startTimeout bounds the time until all instances are ready.
	startTimeout      = 30 * time.Second
	startPollInterval = 50 * time.Millisecond
	// slowStoreDelay is the delay of a slow store, slowLinkDelay that of a slow server link.
	slowStoreDelay, slowLinkDelay = 250 * time.Millisecond, 40 * time.Millisecond
	// copyInterval is how often the store is copied for StoreOlder to restore.
	copyInterval = 2 * time.Second
	// Changes adds changesInARow routes, changePause apart.
	changesInARow, changePause = 5, 100 * time.Millisecond
)

// run is the execution of a plan.
type run struct {
	plan       Plan
	options    Options
	site       *site
	fleet      *fleet
	traffic    *traffic
	faults     sync.WaitGroup
	hostStalls disturbanceLog
	mu         sync.Mutex
	// standinErr is a failure of the stand-ins, not of the program under test.
	standinErr error
}

// Play executes a plan and returns the promises that were violated.
func Play(ctx context.Context, p Plan, o Options) (Result, error) {
	if err := p.check(); err != nil {
		return Result{}, err
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Result{}, errors.Wrap(err, "soak")
	}
	s, err := newSite(o.Mutant, p.hasCold())
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	f, err := newFleet(o, p.Instances, s.store.Addr())
	if err != nil {
		return Result{}, err
	}
	stop := sync.OnceFunc(f.close)
	defer stop()
	r := &run{plan: p, options: o, site: s, fleet: f, traffic: &traffic{site: s, fleet: f, seed: p.Seed}}
	if err := r.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	return r.play(ctx, stop)
}

func (r *run) awaitReady(ctx context.Context) error {
	c := caller.New()
	defer c.Close()
	deadlineAt := time.Now().Add(startTimeout)
	for _, in := range r.fleet.instances {
		for !c.Ready(ctx, in.readyAddr) {
			if ctx.Err() != nil || time.Now().After(deadlineAt) {
				return errors.Newf("%s was not ready within %s", in.name, startTimeout)
			}
			time.Sleep(startPollInterval)
		}
	}
	return nil
}

func (r *run) play(ctx context.Context, stop func()) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	done := make(chan struct{})
	go func() {
		r.traffic.run(ctx)
		close(done)
	}()
	go r.copyStore(ctx)
	go r.watchHostStalls(ctx)
	go r.fleet.watchStarvation(ctx)
	if r.options.Mutant == LateAnswers {
		for _, in := range r.fleet.instances {
			in.callerProxy.delay.Store(int64(mutantDelay))
		}
	}
	for _, f := range r.plan.Faults {
		time.Sleep(time.Until(start.Add(f.At.Std())))
		if ctx.Err() != nil {
			break
		}
		r.faults.Go(func() { r.injectFault(f) })
	}
	r.faults.Wait()
	if r.options.Mutant == StaysDown {
		r.disturbServers(Fault{Share: 1}, func(v *server) { v.link.silent.Store(true) }, nil)
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(start.Add(r.plan.Length.Std()))):
	}
	interrupted := ctx.Err()
	end := time.Now()
	cancel()
	<-done
	if interrupted != nil {
		return Result{}, errors.Wrapf(interrupted, "seed %d", r.plan.Seed)
	}
	c := &checker{site: r.site, fleet: r.fleet, trafficStart: start, end: end, records: r.traffic.records, hostStalls: &r.hostStalls}
	c.checkReleased()
	if err := c.checkBounded(); err != nil {
		return Result{}, err
	}
	stop()
	c.checkAll()
	if p := r.fleet.restartErr.Load(); p != nil {
		return Result{}, *p
	}
	return c.result(), r.standinErr
}

func (c *checker) result() Result {
	out := Result{Requests: len(c.records), Violations: c.violations}
	for _, r := range c.records {
		if r.Err == nil && r.Status < 300 {
			out.Served++
		}
	}
	slices.SortStableFunc(out.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	return out
}

func (r *run) copyStore(ctx context.Context) {
	for ctx.Err() == nil {
		r.site.store.Copy()
		time.Sleep(copyInterval)
	}
}

// A timer that is late by more than stallThreshold shows that the host had no processor
// time for the run; time bounds are not checked then.
const (
	tickInterval   = 20 * time.Millisecond
	stallThreshold = 150 * time.Millisecond
)

// watchHostStalls records when the host had no processor time for the run.
func (r *run) watchHostStalls(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		time.Sleep(tickInterval)
		if now := time.Now(); now.Sub(start) > tickInterval+stallThreshold {
			r.hostStalls.addSpan(span{start, now})
		}
	}
}

// injectFault injects one fault and returns when it has ended.
func (r *run) injectFault(f Fault) {
	switch f.Kind {
	case Kill, Term, Reload:
		r.signal(f)
	case Signals:
		r.signalInSeries(f)
	case Silence:
		r.silenceServers(f)
	case Reconfigure:
		r.reconfigure(f)
	case Freeze:
		r.disturbInstances(f, func(in *instance) { in.signal(syscall.SIGSTOP) }, func(in *instance) { in.signal(syscall.SIGCONT) })
	case StoreDown:
		r.injectStoreFault(f, storeserver.Faults{Down: true})
	case StoreSilent:
		r.injectStoreFault(f, storeserver.Faults{Silent: true})
	case StoreSlow:
		r.injectStoreFault(f, storeserver.Faults{DelayMS: slowStoreDelay.Milliseconds()})
	case StoreForgets:
		r.site.dropHistory()
	case StoreOlder:
		r.site.restoreCopy()
	case CutStore:
		r.disturbInstances(f, func(in *instance) { in.disturbances.begin(); in.storeProxy.silent.Store(true) }, func(in *instance) { in.storeProxy.silent.Store(false); in.disturbances.end() })
	case ResetStore:
		r.disturbInstances(f, func(in *instance) { in.disturbances.addInstant(); in.storeProxy.reset() }, nil)
	case ResetCallers:
		r.disturbInstances(f, func(in *instance) { in.disturbances.addInstant(); in.breaks.addInstant(); in.callerProxy.reset() }, nil)
	case CutServer:
		r.disturbServers(f, func(v *server) { v.link.silent.Store(true) }, func(v *server) { v.link.silent.Store(false) })
	case SlowServer:
		r.disturbServers(f, func(v *server) { v.link.delay.Store(int64(slowLinkDelay)) }, func(v *server) { v.link.delay.Store(0) })
	case ResetServer:
		r.disturbServers(f, func(v *server) { v.link.reset() }, nil)
	case Misanswer:
		r.disturbServers(f, func(v *server) {
			v.standin.Inject(workerserver.Shed, workerserver.Cut, workerserver.Lost, workerserver.Failed, workerserver.Extra, workerserver.Garbage,
				workerserver.EarlyReset, workerserver.InvalidStatus, workerserver.InvalidName, workerserver.InvalidLength)
		}, func(v *server) { v.standin.ClearFaults() })
	case Deadly:
		r.crashEngines(f)
	case Replace:
		r.replaceServers(f)
	case Limit:
		r.limitServers(f)
	case Evacuation:
		r.evacuate(f)
	case SayLeaving:
		r.sayLeaving(f)
	case FailSource:
		r.failSource(f)
	case Crowd:
		r.press(f)
	case Vanish:
		r.startVanishing(f)
	case AskRest:
		r.askRest(f)
	case Cold:
		r.coolServers(f)
	case Change:
		r.site.addRoute()
	case Changes:
		for range changesInARow {
			r.site.addRoute()
			time.Sleep(changePause)
		}
	}
}

func (r *run) signal(f Fault) {
	sig := map[Kind]syscall.Signal{Kill: syscall.SIGKILL, Term: syscall.SIGTERM, Reload: syscall.SIGHUP}[f.Kind]
	r.disturbInstances(f, func(in *instance) {
		in.signal(sig)
		if sig == syscall.SIGTERM && r.options.Mutant == KillsForTerm {
			in.kill()
		}
	}, nil)
}

// signalInSeries sends several signals to the same instances, draining ones included.
func (r *run) signalInSeries(f Fault) {
	series, pause := f.signals()
	targets := f.targets(len(r.fleet.instances))
	for _, sig := range series {
		for _, i := range targets {
			in := r.fleet.instances[i]
			sigtermAt := in.currentSigterm()
			in.signal(sig)
			if sig == syscall.SIGHUP && !sigtermAt.IsZero() && r.options.Mutant == HangupEndsDrain {
				in.kill()
			}
		}
		time.Sleep(pause)
	}
}

// silenceServers makes servers fall silent. This is no disturbance: it excuses nothing.
func (r *run) silenceServers(f Fault) {
	all := r.site.allServers()
	targets := f.targets(len(all))
	for _, i := range targets {
		all[i].fallSilent(f.silence(), f.For.Std())
	}
	time.Sleep(f.For.Std())
	for _, i := range targets {
		all[i].endSilence(f.silence())
	}
}

// reconfigurations is the number of changes of a Reconfigure fault.
const reconfigurations = 10

// reconfigure changes the configuration several times and undoes it at the end.
func (r *run) reconfigure(f Fault) {
	random := rand.New(rand.NewPCG(f.Pick, 8))
	for range reconfigurations {
		r.site.reconfigure(drawVariant(random))
		time.Sleep(f.For.Std() / reconfigurations)
	}
	r.site.reconfigure(variant{})
}

func (r *run) injectStoreFault(f Fault, faults storeserver.Faults) {
	end := r.site.beginFault(faults)
	time.Sleep(f.For.Std())
	end()
}

// disturbInstances calls begin for the targets of a fault, and end once it is over.
func (r *run) disturbInstances(f Fault, begin, end func(*instance)) {
	targets := f.targets(len(r.fleet.instances))
	for _, i := range targets {
		begin(r.fleet.instances[i])
	}
	if end == nil {
		return
	}
	time.Sleep(f.For.Std())
	for _, i := range targets {
		end(r.fleet.instances[i])
	}
}

// disturbServers does the same for backend servers and records the disturbance.
func (r *run) disturbServers(f Fault, begin, end func(*server)) {
	all := r.site.allServers()
	targets := f.targets(len(all))
	for _, i := range targets {
		all[i].disturbances.begin()
		begin(all[i])
	}
	if end != nil {
		time.Sleep(f.For.Std())
	}
	for _, i := range targets {
		if end != nil {
			end(all[i])
		}
		all[i].disturbances.end()
	}
}

// crashEngines injects a Deadly fault and returns when the crashed engines are back.
func (r *run) crashEngines(f Fault) {
	all := r.site.allServers()
	for _, v := range all {
		v.disturbances.begin()
	}
	r.traffic.repeatDeadly(f)
	time.Sleep(crashDuration)
	for _, v := range all {
		v.disturbances.end()
	}
}

// limitServers injects a Limit fault and returns at its end.
func (r *run) limitServers(f Fault) {
	all := r.site.allServers()
	targets := f.targets(len(all))
	for _, i := range targets {
		all[i].setLimit(f.limitRate(), r.site.mutant == HidesLimits)
	}
	time.Sleep(f.For.Std())
	for _, i := range targets {
		all[i].endLimit()
	}
}

// recordStandinError records a failure of the stand-ins.
func (r *run) recordStandinError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.standinErr = errors.CombineErrors(r.standinErr, err)
}

func (r *run) replaceServers(f Fault) {
	all := r.site.allServers()
	for _, i := range f.targets(len(all)) {
		if err := r.site.replaceServer(all[i]); err != nil {
			r.recordStandinError(err)
		}
	}
}
