package propagation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/lab/simnet"
	"github.com/auburnmoor/auburnmoor/lab/simstore"
)

// Interruption is what fails as a data centre is evacuated.
type Interruption string

// The interruptions.
const (
	Nothing Interruption = "nothing"
	// PeersCut cuts a third of the instances off from all others, WatchersCut those that watch the store.
	PeersCut    Interruption = "peers cut"
	WatchersCut Interruption = "watchers cut"
	// StoreAway has the store answer nobody once the first instances have read the evacuation.
	StoreAway Interruption = "store away"
	// WatchersLost has it answer none of the instances that watch it, but at least one instance.
	WatchersLost Interruption = "store away for watchers"
	// AnswersLost has it answer only some of the calls.
	AnswersLost Interruption = "answers lost"
	// AllRestart kills all instances, which start again.
	AllRestart Interruption = "all restart"
	// InTurn evacuates another data centre later.
	InTurn Interruption = "in turn"
)

// Interruptions lists all interruptions.
var Interruptions = []Interruption{Nothing, PeersCut, WatchersCut, StoreAway, WatchersLost, AnswersLost, AllRestart, InTurn}

// Times of an evacuation scene, and the share of the instances that PeersCut cuts off.
const (
	// EvacuateWithin bounds the time from acknowledged to out of use.
	EvacuateWithin  = 5 * time.Second
	evacuatedAt     = 8 * time.Second
	inTurnAt        = 1 * time.Second
	firstToldAfter  = 50 * time.Millisecond
	restartAfter    = time.Second
	interruptedFor  = 9 * time.Second
	takenBackAfter  = 8 * time.Second
	afterTakingBack = 12 * time.Second
	cutOffShare     = 0.34
)

// EvacuationReport is what was measured in an evacuation scene.
type EvacuationReport struct {
	// Out holds the times from acknowledged to out of use at each instance that ran throughout.
	Out Distribution
	// Late describes the instances that used servers of an evacuated data centre after EvacuateWithin.
	Late []string
	// Unreturned counts the instances that do not use the servers at the end, after the evacuation was
	// taken back.
	Unreturned int
}

// evacuationRun is an evacuation scene in progress.
type evacuationRun struct {
	*run
	how Interruption
	// acknowledged holds when each evacuation in force was acknowledged.
	acknowledged map[string]time.Time
	out, late    map[string]bool
	report       EvacuationReport
}

// PlayEvacuation evacuates a data centre while something else fails, and takes that back before it is over.
func PlayEvacuation(site Site, seed uint64, how Interruption, log *zap.Logger) (*EvacuationReport, error) {
	f := NewFleet(site, seed, log)
	f.evacuations = true
	defer f.Stop()
	r := &evacuationRun{
		run: &run{scene: Scene{Site: site, Seed: seed}, fleet: f, begin: time.Now(), rand: rand.New(rand.NewPCG(seed, 7))}, how: how,
		acknowledged: map[string]time.Time{}, out: map[string]bool{}, late: map[string]bool{},
	}
	f.Store.Accept(firstVersion, site.Size)
	if err := f.startAll(f.instances); err != nil {
		return nil, err
	}
	time.Sleep(evacuatedAt)
	r.evacuate("dc-0")
	end := r.interrupt()
	r.pollUntil(takenBackAfter)
	r.evacuate()
	time.Sleep(interruptedFor - takenBackAfter)
	end()
	time.Sleep(afterTakingBack)
	for _, in := range f.instances {
		if p := in.running.Load(); p == nil || !p.uses("dc-0") || !p.uses("dc-1") {
			r.report.Unreturned++
		}
	}
	return &r.report, nil
}

// evacuate evacuates exactly the given data centres.
func (r *evacuationRun) evacuate(dataCentres ...string) {
	at := r.fleet.Store.SetEvacuated(dataCentres...)
	for name := range r.acknowledged {
		if !slices.Contains(dataCentres, name) {
			delete(r.acknowledged, name)
		}
	}
	for _, name := range dataCentres {
		if _, known := r.acknowledged[name]; !known {
			r.acknowledged[name] = at
		}
	}
}

// interrupt begins the interruption and returns the function that ends it.
func (r *evacuationRun) interrupt() (end func()) {
	store := r.fleet.Store
	switch r.how {
	case PeersCut, WatchersCut:
		hit := r.chosen(cutOffShare, r.how == WatchersCut)
		for _, in := range hit {
			in.host.SetTrouble(simnet.Trouble{CutIn: true, CutOut: true})
		}
		return func() { r.recover(hit) }
	case StoreAway:
		r.pollUntil(firstToldAfter)
		store.SetTrouble(simstore.Silent, func(string) bool { return true })
	case AnswersLost:
		store.SetTrouble(simstore.Lost, func(string) bool { return true })
	case WatchersLost:
		hit := map[string]bool{}
		for _, in := range r.chosen(0, true) {
			hit[in.name] = len(hit) < len(r.fleet.instances)-1
		}
		store.SetTrouble(simstore.Silent, func(name string) bool { return hit[name] })
	case AllRestart:
		for _, in := range r.fleet.instances {
			r.fleet.kill(in)
		}
		r.pollUntil(restartAfter)
		r.recover(r.fleet.instances)
	case InTurn:
		r.pollUntil(inTurnAt)
		r.evacuate("dc-0", "dc-1")
	}
	return func() { store.SetTrouble(simstore.Sound, func(string) bool { return false }) }
}

// pollUntil observes the instances until a time after the first evacuation.
func (r *evacuationRun) pollUntil(after time.Duration) {
	for until := r.acknowledged["dc-0"].Add(after); time.Now().Before(until); time.Sleep(pollInterval) {
		for _, in := range r.fleet.instances {
			for dataCentre, at := range r.acknowledged {
				r.observe(in, dataCentre, time.Since(at))
			}
		}
	}
}

func (r *evacuationRun) observe(in *instance, dataCentre string, after time.Duration) {
	p, key := in.running.Load(), in.name+" "+dataCentre
	switch {
	case p == nil:
	case p.uses(dataCentre):
		if after > EvacuateWithin && !r.late[key] {
			r.late[key] = true
			r.report.Late = append(r.report.Late, fmt.Sprintf("%s uses servers of %s", in.name, dataCentre))
		}
	case !r.out[key] && p.startedAt.Before(r.acknowledged[dataCentre]):
		r.out[key] = true
		r.report.Out = append(r.report.Out, after)
	}
}

// uses reports whether a process may send requests to servers of a data centre.
func (p *process) uses(dataCentre string) bool {
	if !p.follower.Ready() {
		return false
	}
	for _, s := range p.follower.Servers().Ready(simstore.Service) {
		if s.DataCentre == dataCentre {
			return true
		}
	}
	return false
}
