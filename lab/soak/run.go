package soak

import (
	"context"
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

// Options say how a plan is played.
type Options struct {
	// Binary is the program.
	Binary string
	// Dir is where settings and logs go.
	Dir    string
	Mutant Mutant
}

// Result is what a run showed.
type Result struct {
	Requests, Served int
	Violations       []Violation
}

// Broke reports whether a promise was broken.
func (r Result) Broke(p Promise) bool {
	return slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Promise == p })
}

// Times of a run.
const (
	// startWithin is how long the fleet gets until all instances are ready.
	startWithin = 30 * time.Second
	startPoll   = 50 * time.Millisecond
	// slow is the delay of a slow store, slowLink that of a slow link to a server.
	slow, slowLink = 250 * time.Millisecond, 40 * time.Millisecond
	// copyEvery is how often the store is copied, so that it may come back older.
	copyEvery = 2 * time.Second
	// changesInARow and between them.
	changesInARow, betweenChanges = 5, 100 * time.Millisecond
)

// run is a plan in play.
type run struct {
	plan    Plan
	options Options
	site    *site
	fleet   *fleet
	traffic *traffic
	faults  sync.WaitGroup
	machine calm
	mu      sync.Mutex
	// problem is of the stand-ins, and says nothing of the program.
	problem error
}

// Play plays a plan and returns which promises it broke.
func Play(ctx context.Context, p Plan, o Options) (Result, error) {
	if err := p.check(); err != nil {
		return Result{}, err
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Result{}, errors.Wrap(err, "soak")
	}
	s, err := newSite(o.Mutant)
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
	until := time.Now().Add(startWithin)
	for _, in := range r.fleet.instances {
		for !c.Ready(ctx, in.ready) {
			if ctx.Err() != nil || time.Now().After(until) {
				return errors.Newf("%s was not ready within %s", in.name, startWithin)
			}
			time.Sleep(startPoll)
		}
	}
	return nil
}

func (r *run) play(ctx context.Context, stop func()) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	done := make(chan struct{})
	go func() {
		r.traffic.run(ctx)
		close(done)
	}()
	go r.copies(ctx)
	go r.watchMachine(ctx)
	go r.fleet.watchStarved(ctx)
	if r.options.Mutant == LateAnswers {
		for _, in := range r.fleet.instances {
			in.front.delay.Store(int64(mutantDelay))
		}
	}
	for _, f := range r.plan.Faults {
		time.Sleep(time.Until(began.Add(f.At.Std())))
		if ctx.Err() != nil {
			break
		}
		r.faults.Go(func() { r.strike(f) })
	}
	r.faults.Wait()
	if r.options.Mutant == StaysDown {
		r.servers(Fault{Share: 1}, func(v *server) { v.link.silent.Store(true) }, nil)
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(began.Add(r.plan.Length.Std()))):
	}
	interrupted := ctx.Err()
	end := time.Now()
	cancel()
	<-done
	if interrupted != nil {
		return Result{}, errors.Wrapf(interrupted, "seed %d", r.plan.Seed)
	}
	j := &judge{site: r.site, fleet: r.fleet, began: began, end: end, got: r.traffic.got, machine: &r.machine}
	j.released()
	if err := j.bounded(); err != nil {
		return Result{}, err
	}
	stop()
	j.all()
	if p := r.fleet.problem.Load(); p != nil {
		return Result{}, *p
	}
	return j.result(), r.problem
}

func (j *judge) result() Result {
	out := Result{Requests: len(j.got), Violations: j.found}
	for _, r := range j.got {
		if r.Err == nil && r.Status < 300 {
			out.Served++
		}
	}
	slices.SortStableFunc(out.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	return out
}

func (r *run) copies(ctx context.Context) {
	for ctx.Err() == nil {
		r.site.store.Copy()
		time.Sleep(copyEvery)
	}
}

// A timer that is late by more than stalled shows that the machine had no processor time
// for the run, whose bounds say nothing then.
const (
	tick    = 20 * time.Millisecond
	stalled = 150 * time.Millisecond
)

// watchMachine notes when the machine stood still.
func (r *run) watchMachine(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(tick)
		if now := time.Now(); now.Sub(began) > tick+stalled {
			r.machine.note(span{began, now})
		}
	}
}

// strike plays one fault to its end.
func (r *run) strike(f Fault) {
	switch f.Kind {
	case Kill, Term, Reload:
		r.signal(f)
	case Freeze:
		r.instances(f, func(in *instance) { in.signal(syscall.SIGSTOP) }, func(in *instance) { in.signal(syscall.SIGCONT) })
	case StoreDown:
		r.store(f, storeserver.Faults{Down: true})
	case StoreSilent:
		r.store(f, storeserver.Faults{Silent: true})
	case StoreSlow:
		r.store(f, storeserver.Faults{DelayMS: slow.Milliseconds()})
	case StoreForgets:
		r.site.forget()
	case StoreOlder:
		r.site.older()
	case CutStore:
		r.instances(f, func(in *instance) { in.calm.begin(); in.store.silent.Store(true) }, func(in *instance) { in.store.silent.Store(false); in.calm.end() })
	case ResetStore:
		r.instances(f, func(in *instance) { in.calm.strike(); in.store.reset() }, nil)
	case ResetCallers:
		r.instances(f, func(in *instance) { in.calm.strike(); in.front.reset() }, nil)
	case CutServer:
		r.servers(f, func(v *server) { v.link.silent.Store(true) }, func(v *server) { v.link.silent.Store(false) })
	case SlowServer:
		r.servers(f, func(v *server) { v.link.delay.Store(int64(slowLink)) }, func(v *server) { v.link.delay.Store(0) })
	case ResetServer:
		r.servers(f, func(v *server) { v.link.reset() }, nil)
	case Misanswer:
		r.servers(f, func(v *server) {
			v.stand.Inject(workerserver.Shed, workerserver.Cut, workerserver.Lost, workerserver.Failed, workerserver.Extra, workerserver.Garbage)
		}, func(v *server) { v.stand.ClearFaults() })
	case Deadly:
		r.deadly(f)
	case Replace:
		r.replace(f)
	case Change:
		r.site.change()
	case Changes:
		for range changesInARow {
			r.site.change()
			time.Sleep(betweenChanges)
		}
	}
}

func (r *run) signal(f Fault) {
	sig := map[Kind]syscall.Signal{Kill: syscall.SIGKILL, Term: syscall.SIGTERM, Reload: syscall.SIGHUP}[f.Kind]
	r.instances(f, func(in *instance) {
		in.signal(sig)
		if sig == syscall.SIGTERM && r.options.Mutant == KillsForTerm {
			in.kill()
		}
	}, nil)
}

func (r *run) store(f Fault, faults storeserver.Faults) {
	end := r.site.suffer(faults)
	time.Sleep(f.For.Std())
	end()
}

// instances strikes some instances, and ends that after a while.
func (r *run) instances(f Fault, begin, end func(*instance)) {
	struck := f.picked(len(r.fleet.instances))
	for _, i := range struck {
		begin(r.fleet.instances[i])
	}
	if end == nil {
		return
	}
	time.Sleep(f.For.Std())
	for _, i := range struck {
		end(r.fleet.instances[i])
	}
}

// servers strikes some backend servers, and ends that after a while.
func (r *run) servers(f Fault, begin, end func(*server)) {
	all := r.site.all()
	struck := f.picked(len(all))
	for _, i := range struck {
		all[i].calm.begin()
		begin(all[i])
	}
	if end != nil {
		time.Sleep(f.For.Std())
	}
	for _, i := range struck {
		if end != nil {
			end(all[i])
		}
		all[i].calm.end()
	}
}

// deadly lasts until the engines that it ends are back.
func (r *run) deadly(f Fault) {
	all := r.site.all()
	for _, v := range all {
		v.calm.begin()
	}
	r.traffic.deadly(f)
	time.Sleep(crashedFor)
	for _, v := range all {
		v.calm.end()
	}
}

func (r *run) replace(f Fault) {
	all := r.site.all()
	for _, i := range f.picked(len(all)) {
		if err := r.site.replace(all[i]); err != nil {
			r.mu.Lock()
			r.problem = errors.CombineErrors(r.problem, err)
			r.mu.Unlock()
		}
	}
}
