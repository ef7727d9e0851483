package propagation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/auburnmoor/auburnmoor/decide/watch"
	"github.com/auburnmoor/auburnmoor/lab/simnet"
	"github.com/auburnmoor/auburnmoor/lab/simstore"
)

// Scene is one run: trouble with the store and with instances, and changes of the configuration.
type Scene struct {
	Site Site
	Seed uint64
	// Store is the trouble of the store, which begins at OutageAt and lasts for Outage.
	Store    simstore.Trouble
	OutageAt time.Duration
	Outage   time.Duration
	// Share is the share of the instances that it affects. OfWatchers has it affect those that watch
	// the store instead, as they are when it begins.
	Share      float64
	OfWatchers bool
	// OfSource has it affect only the calls for a source. The store counts as sound then.
	OfSource *watch.Source
	// ForgetHistory and Restore: the store comes back without its history, or as an older copy.
	ForgetHistory, Restore bool
	// Changes is the number of versions sent in a row, ChangeGap apart, from ChangesAt on. While the
	// store answers no operator they queue and are accepted when it is back, queuedGap apart.
	Changes   int
	ChangesAt time.Duration
	ChangeGap time.Duration
	Strikes   []Strike
	// Newcomers is the number of instances that start at NewcomersAt for the first time.
	Newcomers   int
	NewcomersAt time.Duration
	// Tail is the time after the last event.
	Tail time.Duration
}

// queuedGap is the time between two queued changes.
const queuedGap = 115 * time.Millisecond

// How is what happens to the instances that a strike hits.
type How string

// The ways.
const (
	Killed   How = "killed"
	PowerOff How = "power off"
	Frozen   How = "frozen"
	CutIn    How = "cut in"
	CutOut   How = "cut out"
	Lossy    How = "lossy"
)

// lossOfLossy is the share of packets that a lossy instance loses.
const lossOfLossy = 0.05

// Strike is trouble of some instances of their own.
type Strike struct {
	At, For time.Duration
	How     How
	// Share is the share of the instances that it hits; Watchers has it hit those that watch the store.
	Share    float64
	Watchers bool
}

// Calm is a scene without trouble: versions one after the other.
func Calm(site Site, seed uint64) Scene {
	return Scene{Site: site, Seed: seed, Changes: 20, ChangesAt: 8 * time.Second, ChangeGap: time.Second, Tail: 3 * time.Second}
}

// Queued is the scene of changes that queue up behind an outage in which instances were killed and have
// started again.
func Queued(site Site, seed uint64) Scene {
	r := rand.New(rand.NewPCG(seed, 4))
	s := Scene{Site: site, Seed: seed, Store: simstore.Silent, Share: 1, OutageAt: 8 * time.Second, Tail: 10 * time.Second}
	s.Outage = between(r, 5*time.Second, 12*time.Second)
	s.ChangesAt, s.Changes, s.ChangeGap = s.OutageAt+time.Second, 40, 330*time.Millisecond
	s.Strikes = []Strike{{At: s.OutageAt + between(r, time.Second, s.Outage-time.Second), For: time.Second, How: Killed, Share: 0.67}}
	return s
}

func between(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Float64()*float64(to-from))
}

func pick[T any](r *rand.Rand, from ...T) T { return from[r.IntN(len(from))] }

// Bounds of what is drawn.
const (
	minOutage, maxOutage = 500 * time.Millisecond, 30 * time.Second
	maxChanges           = 60
	// maxOneSource is the longest time for which the calls for one source fail, maxOneSourceChanges for how
	// long changes are made in it.
	maxOneSource, maxOneSourceChanges = 60 * time.Second, 20 * time.Second
	// manyInstances is the size from which most instances do not watch the store.
	manyInstances  = 20
	drawnChangeGap = 330 * time.Millisecond
)

// Drawn is a scene of drawn trouble.
func Drawn(site Site, seed uint64) Scene {
	r := rand.New(rand.NewPCG(seed, 5))
	s := Scene{Site: site, Seed: seed, Share: 1, OutageAt: between(r, 8*time.Second, 11*time.Second), Tail: 2*site.StableAfter + 4*time.Second}
	s.Store = pick(r, simstore.Silent, simstore.Silent, simstore.Reset, simstore.Busy, simstore.Slow, simstore.Lost)
	s.Outage = time.Duration(float64(minOutage) * math.Pow(float64(maxOutage)/float64(minOutage), r.Float64()))
	switch r.IntN(4) {
	case 0:
		s.Share = 0.1 + 0.8*r.Float64()
	case 1:
		s.OfWatchers = true
	}
	switch r.IntN(5) {
	case 0:
		s.ForgetHistory = true
	case 1:
		s.Restore = s.Share == 1 && !s.OfWatchers
	}
	s.ChangesAt, s.Changes, s.ChangeGap = s.OutageAt+between(r, -time.Second, s.Outage), 1+r.IntN(maxChanges), drawnChangeGap
	for range r.IntN(4) {
		s.Strikes = append(s.Strikes, drawStrike(r, s))
	}
	if r.IntN(4) == 0 {
		s.Newcomers = 1 + r.IntN(max(1, site.Instances/4))
		s.NewcomersAt = s.OutageAt + between(r, 0, s.Outage)
	}
	if r.IntN(8) == 0 {
		s.Site.Size.ConfigBytes = 1 << 20
	}
	return s
}

// OneSource is a scene in which the calls for one source fail, at one instance, most or all of them, or at those that
// watch. Those for the configuration do not fail at all.
func OneSource(site Site, seed uint64) Scene {
	r := rand.New(rand.NewPCG(seed, 12))
	s := Scene{Site: site, Seed: seed, OutageAt: 8 * time.Second, Tail: 4 * time.Second}
	s.Store = pick(r, simstore.Silent, simstore.Reset, simstore.Busy)
	s.Outage = time.Duration(float64(minOutage) * math.Pow(float64(maxOneSource)/float64(minOutage), r.Float64()))
	source := pick(r, watch.Servers, watch.Servers, watch.Evacuations, watch.Config)
	s.OfSource = &source
	s.Share = pick(r, 1, 1, 0.9, 1/float64(site.Instances))
	if source == watch.Config {
		s.Share = pick(r, 0.9, 0.5, 1/float64(site.Instances))
		s.OfWatchers = r.IntN(3) == 0 && site.Instances > manyInstances
	}
	s.ChangesAt, s.ChangeGap = s.OutageAt+between(r, 0, 300*time.Millisecond), drawnChangeGap
	s.Changes = 1 + int(min(s.Outage, maxOneSourceChanges)/drawnChangeGap)
	return s
}

func drawStrike(r *rand.Rand, s Scene) Strike {
	k := Strike{How: pick(r, Killed, Killed, PowerOff, Frozen, CutIn, CutOut, Lossy), For: between(r, 500*time.Millisecond, 6*time.Second)}
	k.Share, k.Watchers = 0.1+0.8*r.Float64(), r.IntN(3) == 0
	back := s.OutageAt + s.Outage + pick(r, -time.Second, 0, 0, time.Second)
	k.At = pick(r, max(s.OutageAt-time.Second, back-k.For), s.OutageAt+between(r, -time.Second, s.Outage))
	return k
}

// String describes the scene.
func (s Scene) String() string {
	out := fmt.Sprintf("%d instances, seed %d: ", s.Site.Instances, s.Seed)
	if s.Outage > 0 {
		whom := fmt.Sprintf("%.2f", s.Share)
		if s.OfWatchers {
			whom = "watchers"
		}
		if s.OfSource != nil {
			out += fmt.Sprintf("calls for %s: ", *s.OfSource)
		}
		out += fmt.Sprintf("store %s for %s from %.2f s to %.2f s", s.Store, whom, s.OutageAt.Seconds(), (s.OutageAt + s.Outage).Seconds())
	}
	if s.ForgetHistory {
		out += ", history dropped"
	}
	if s.Restore {
		out += ", an older copy"
	}
	out += fmt.Sprintf("; %d changes of %d KB from %.2f s, %.2f s apart", s.Changes, s.Site.Size.ConfigBytes>>10, s.ChangesAt.Seconds(), s.ChangeGap.Seconds())
	for _, k := range s.Strikes {
		whom := fmt.Sprintf("%.2f", k.Share)
		if k.Watchers {
			whom = "watchers"
		}
		out += fmt.Sprintf("; %s %s at %.2f s for %.2f s", whom, k.How, k.At.Seconds(), k.For.Seconds())
	}
	if s.Newcomers > 0 {
		out += fmt.Sprintf("; %d newcomers at %.2f s", s.Newcomers, s.NewcomersAt.Seconds())
	}
	return out
}

// run is a scene in progress.
type run struct {
	scene Scene
	fleet *Fleet
	meter *meter
	begin time.Time
	rand  *rand.Rand
	err   error
}

// firstVersion is accepted before the instances start.
const firstVersion = 1

// Play plays a scene and returns what it measured.
func Play(s Scene, log *zap.Logger) (*Report, error) {
	f := NewFleet(s.Site, s.Seed, log)
	defer f.Stop()
	f.evacuations = s.OfSource != nil
	r := &run{scene: s, fleet: f, meter: newMeter(f), begin: time.Now(), rand: rand.New(rand.NewPCG(s.Seed, 6))}
	if err := r.start(); err != nil {
		return nil, err
	}
	end := r.schedule(r.events())
	for now := time.Duration(0); now < end && r.err == nil; now = time.Since(r.begin) {
		time.Sleep(pollInterval)
		r.meter.poll()
	}
	return r.meter.finish(), r.err
}

// start accepts the first configuration and starts all instances but the newcomers.
func (r *run) start() error {
	r.fleet.Store.Accept(firstVersion, r.scene.Site.Size)
	for _, in := range r.newcomers() {
		in.host.SetTrouble(simnet.Trouble{Off: true})
	}
	return r.fleet.startAll(r.fleet.instances[:r.scene.Site.Instances-r.scene.Newcomers])
}

// event is something that happens at a time of a scene.
type event struct {
	at time.Duration
	do func()
}

// events returns what happens in the scene.
func (r *run) events() []event {
	s := r.scene
	out := []event{}
	if s.Outage > 0 {
		out = append(out, event{s.OutageAt, r.beginOutage}, event{s.OutageAt + s.Outage, r.endOutage})
	}
	for i := range s.Changes {
		version := uint64(firstVersion + 1 + i)
		out = append(out, event{r.acceptedAt(i), func() { r.meter.accept(version) }})
	}
	for _, k := range s.Strikes {
		out = append(out, event{k.At, func() { r.strike(k) }})
	}
	if s.Newcomers > 0 {
		out = append(out, event{s.NewcomersAt, func() { r.recover(r.newcomers()) }})
	}
	return out
}

// acceptedAt returns when a change is accepted: operators wait for the end of an outage that affects
// all.
func (r *run) acceptedAt(change int) time.Duration {
	s := r.scene
	at := s.ChangesAt + time.Duration(change)*s.ChangeGap
	back := s.OutageAt + s.Outage
	operatorsWait := s.OfSource == nil && s.Share == 1 && !s.OfWatchers && s.Store != simstore.Slow && s.Store != simstore.Lost
	if !operatorsWait || at < s.OutageAt {
		return at
	}
	firstQueued := max(0, int(math.Ceil(float64(s.OutageAt-s.ChangesAt)/float64(max(s.ChangeGap, 1)))))
	return max(at, back+time.Duration(1+change-firstQueued)*queuedGap)
}

// schedule starts the events and returns the time of the end of the scene.
func (r *run) schedule(events []event) time.Duration {
	end := time.Duration(0)
	for _, e := range events {
		end = max(end, e.at)
		r.after(e.at, e.do)
	}
	for _, k := range r.scene.Strikes {
		end = max(end, k.At+k.For)
	}
	return end + r.scene.Tail
}

// after has something happen at a time of the scene.
func (r *run) after(at time.Duration, do func()) {
	time.AfterFunc(time.Until(r.begin.Add(at)), do)
}

func (r *run) beginOutage() {
	s := r.scene
	hit := map[string]bool{}
	for _, in := range r.chosen(s.Share, s.OfWatchers) {
		hit[in.name] = true
	}
	r.fleet.Store.Copy()
	if s.OfSource != nil {
		if (s.Share < 1 || s.OfWatchers) && len(hit) == len(r.fleet.instances) {
			// Nobody could know of a change otherwise.
			delete(hit, r.fleet.instances[r.rand.IntN(len(r.fleet.instances))].name)
		}
		r.fleet.Store.SetTrouble(s.Store, func(instance string) bool { return hit[instance] || s.Share == 1 && !s.OfWatchers }, *s.OfSource)
		return
	}
	r.meter.setStoreTrouble(s.Store, func(instance string) bool { return hit[instance] || s.Share == 1 && !s.OfWatchers })
}

func (r *run) endOutage() {
	if r.scene.ForgetHistory {
		r.fleet.Store.ForgetHistory()
	}
	if r.scene.Restore {
		r.fleet.Store.Restore()
		r.meter.lose(r.fleet.Store.Version())
	}
	if r.scene.OfSource != nil {
		r.fleet.Store.SetTrouble(simstore.Sound, func(string) bool { return false })
		return
	}
	r.meter.setStoreTrouble(simstore.Sound, func(string) bool { return false })
}

// chosen draws instances, or returns those that watch the store.
func (r *run) chosen(share float64, watchers bool) []*instance {
	var out []*instance
	for _, in := range r.fleet.instances {
		p := in.running.Load()
		switch {
		case p == nil:
		case watchers && p.members.Standing().Primary():
			out = append(out, in)
		case !watchers && r.rand.Float64() < share:
			out = append(out, in)
		}
	}
	return out
}

// strike hits instances and ends their trouble later.
func (r *run) strike(k Strike) {
	hit := r.chosen(k.Share, k.Watchers)
	for _, in := range hit {
		switch k.How {
		case Killed:
			r.fleet.kill(in)
		case PowerOff:
			in.host.SetTrouble(simnet.Trouble{Off: true})
			r.fleet.kill(in)
		case Frozen:
			in.host.SetTrouble(simnet.Trouble{Frozen: true})
		case CutIn:
			in.host.SetTrouble(simnet.Trouble{CutIn: true})
		case CutOut:
			in.host.SetTrouble(simnet.Trouble{CutOut: true})
		case Lossy:
			in.host.SetTrouble(simnet.Trouble{Loss: lossOfLossy})
		}
	}
	time.AfterFunc(k.For, func() { r.recover(hit) })
}

func (r *run) recover(hit []*instance) {
	for _, in := range hit {
		in.host.SetTrouble(simnet.Trouble{})
		r.startIfDown(in)
	}
}

// newcomers are the last instances of the fleet.
func (r *run) newcomers() []*instance {
	return r.fleet.instances[r.scene.Site.Instances-r.scene.Newcomers:]
}

func (r *run) startIfDown(in *instance) {
	if in.running.Load() != nil {
		return
	}
	if err := r.fleet.start(in); err != nil {
		r.fleet.Log.Error("an instance did not start", zap.String("name", in.name), zap.Error(err))
	}
}
