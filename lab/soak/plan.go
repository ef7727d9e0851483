// Package soak runs the real program as several processes on one machine, injects faults
// from outside them, and checks what callers and backend servers see against the promises
// of the product. A plan of timed faults follows from a seed and can be written to a
// file, replayed and shrunk.
package soak

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/auburnmoor/auburnmoor/lab/standin/workerserver"
	"github.com/auburnmoor/auburnmoor/settings"
)

// Kind selects what a fault does.
type Kind string

// The kinds of fault.
const (
	// Kill, Term and Reload send signals to instances, which are restarted on exit. Freeze
	// suspends them for a while.
	Kill   Kind = "kill"
	Term   Kind = "term"
	Reload Kind = "reload"
	Freeze Kind = "freeze"
	// StoreDown makes the store refuse calls, StoreSilent leave them unanswered, StoreSlow
	// answer late.
	StoreDown   Kind = "store-down"
	StoreSilent Kind = "store-silent"
	StoreSlow   Kind = "store-slow"
	// StoreForgets drops the store's change history. StoreOlder restores its last copy,
	// after which the writers write their state again.
	StoreForgets Kind = "store-forgets"
	StoreOlder   Kind = "store-older"
	// CutStore silences the links of instances to the store, ResetStore resets them.
	CutStore   Kind = "cut-store"
	ResetStore Kind = "reset-store"
	// CutServer silences the links to backend servers, ResetServer resets them, SlowServer
	// delays them.
	CutServer   Kind = "cut-server"
	ResetServer Kind = "reset-server"
	SlowServer  Kind = "slow-server"
	// ResetCallers resets the connections of callers.
	ResetCallers Kind = "reset-callers"
	// Misanswer makes backend servers give faulty answers.
	Misanswer Kind = "misanswer"
	// Deadly repeats a request that crashes every engine that runs it.
	Deadly Kind = "deadly"
	// Replace makes backend servers leave and adds new ones in their place.
	Replace Kind = "replace"
	// Limit makes backend servers name a limit on the requests that they take.
	Limit Kind = "limit"
	// Signals sends a series of SIGTERM and SIGHUP to the same instances.
	Signals Kind = "signals"
	// Silence makes backend servers fall silent and go on later, wherever their answers are.
	Silence Kind = "silence"
	// Reconfigure changes timeouts, routes, weights and keys again and again, and undoes it.
	Reconfigure Kind = "reconfigure"
	// Change adds one route, Changes several in a row.
	Change  Kind = "change"
	Changes Kind = "changes"
)

// Fault is one timed fault.
type Fault struct {
	// At is the time since the start of traffic.
	At   settings.Duration `toml:"at"`
	Kind Kind              `toml:"kind"`
	// For is the duration; kinds without one ignore it.
	For settings.Duration `toml:"for"`
	// Share is the fraction of the instances or servers affected, at least one of them.
	Share float64 `toml:"share"`
	// Pick seeds the choice of the affected instances or servers.
	Pick uint64 `toml:"pick"`
}

// Plan describes one run: its size, length and faults.
type Plan struct {
	Seed      uint64            `toml:"seed"`
	Instances int               `toml:"instances"`
	Length    settings.Duration `toml:"length"`
	Faults    []Fault           `toml:"fault"`
}

// Bounds of drawn plans.
const (
	// quietAtStart has no fault but the termination of some instances. quietAtEnd has only
	// the replacement of servers and a new route; the fleet must recover in it.
	quietAtStart, quietAtEnd = 6 * time.Second, 10 * time.Second
	// termAt is when instances get SIGTERM; replaceBeforeEnd is the time from the
	// replacement of servers to the end of the run.
	termAt, replaceBeforeEnd           = 3200 * time.Millisecond, 6 * time.Second
	minFaultDuration, maxFaultDuration = 300 * time.Millisecond, 5 * time.Second
	maxScenes                          = 2
	maxFaultsPerScene                  = 4
	minShare, maxExtraShare            = 0.2, 0.6
)

// Each scene has one fault of backgroundKinds, overlapped by faults of overlappingKinds.
var (
	backgroundKinds  = []Kind{StoreDown, StoreSilent, StoreSlow, CutStore, CutServer, SlowServer, Freeze}
	otherKinds       = []Kind{Limit, SayLeaving, AskRest, Cold, Evacuation, Vanish, FailSource, Crowd}
	plannedKinds     = []Kind{Signals, Silence, Reconfigure}
	overlappingKinds = []Kind{Kill, Term, Reload, Freeze, StoreForgets, StoreOlder, ResetStore, ResetServer, ResetCallers, Misanswer, Deadly, Replace, Change, Changes}
)

// Draw returns the plan of a seed: scenes in which faults overlap one that lasts.
func Draw(seed uint64, instances int, length time.Duration) (Plan, error) {
	r := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed, Instances: instances, Length: settings.Duration(length)}
	if err := p.check(); err != nil {
		return p, err
	}
	p.add(r, termAt, Term, 0)
	p.add(r, length-replaceBeforeEnd, Replace, 0)
	p.add(r, length-replaceBeforeEnd, Change, 0)
	span := length - quietAtStart - quietAtEnd
	scenes := max(1, min(maxScenes, int(span/maxFaultDuration)))
	for i := range scenes {
		begin := quietAtStart + span*time.Duration(i)/time.Duration(scenes)
		maxDuration := min(maxFaultDuration, span/time.Duration(scenes))
		duration := minFaultDuration + time.Duration(r.Int64N(int64(maxDuration-minFaultDuration)+1))
		p.add(r, begin, backgroundKinds[r.IntN(len(backgroundKinds))], duration)
		p.add(r, begin+time.Duration(r.Int64N(int64(duration))), Changes, 0)
		for range 1 + r.IntN(maxFaultsPerScene) {
			at := begin + time.Duration(r.Int64N(int64(maxDuration)))
			p.add(r, at, overlappingKinds[r.IntN(len(overlappingKinds))], min(minFaultDuration+time.Duration(r.Int64N(int64(2*time.Second))), quietAtStart+span-at))
		}
	}
	p.add(r, quietAtStart, Limit, span)
	p.addNotices(r, span)
	p.addCold(seed, span)
	p.addVanish(seed, span)
	p.addFailSource(seed, span)
	p.addCrowd(seed, span)
	p.addEvacuation(rand.New(rand.NewPCG(seed, evacuationStream)))
	p.addPlanned(rand.New(rand.NewPCG(seed, plannedStream)))
	return p, p.check()
}

// plannedStream separates the draws of planned work from those of faults.
const plannedStream = 3

// Times of planned work.
const (
	// plannedFrom is when planned work begins.
	plannedFrom                          = 2 * time.Second
	maxReconfigure                       = 10 * time.Second
	minSilence, maxSilence               = 200 * time.Millisecond, 2 * time.Second
	minSilencePause, maxExtraPause       = 100 * time.Millisecond, time.Second
	minSignalsInterval, maxExtraInterval = 4 * time.Second, 4 * time.Second
)

// silentShares are the fractions of the servers that fall silent at once.
var silentShares = []float64{0, 0.5, 1}

// silence is a way in which servers fall silent.
type silence string

// The silences besides those at the points of workerserver.SilencePoint.
const (
	// silentLink holds what the server sends, wherever that is.
	silentLink silence = "link"
	// silentNow stops the whole server at once.
	silentNow silence = "now"
)

// silencesOfServers are the silences that plans draw.
var silencesOfServers = []silence{
	silentLink, silentNow, silentLink, silentNow,
	silence(workerserver.BeforeAccept), silence(workerserver.BeforeHead), silence(workerserver.AfterHead), silence(workerserver.InBody),
	silence(workerserver.InChunk), silence(workerserver.InEvent), silence(workerserver.BetweenEvents), silence(workerserver.BeforeEnd),
}

// silence returns the way in which the servers of a Silence fault fall silent.
func (f Fault) silence() silence { return silencesOfServers[f.Pick%uint64(len(silencesOfServers))] }

// addPlanned adds changes of the configuration, signals and silent servers that overlap.
func (p *Plan) addPlanned(r *rand.Rand) {
	end := p.Length.Std() - quietAtEnd
	for at := plannedFrom; at < end; at += maxReconfigure {
		p.add(r, at, Reconfigure, min(maxReconfigure, end-at))
	}
	for at := termAt; at < end; at += minSignalsInterval + time.Duration(r.Int64N(int64(maxExtraInterval))) {
		p.add(r, at, Signals, 0)
	}
	for at := plannedFrom; at < end-maxSilence; {
		duration := minSilence + time.Duration(r.Int64N(int64(maxSilence-minSilence)))
		p.add(r, at, Silence, duration)
		p.Faults[len(p.Faults)-1].Share = silentShares[r.IntN(len(silentShares))]
		at += duration + minSilencePause + time.Duration(r.Int64N(int64(maxExtraPause)))
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// DrawPlanned returns a plan of a seed that has planned work and silent servers only.
func DrawPlanned(seed uint64, instances int, length time.Duration) (Plan, error) {
	p := Plan{Seed: seed, Instances: instances, Length: settings.Duration(length)}
	if err := p.check(); err != nil {
		return p, err
	}
	p.addPlanned(rand.New(rand.NewPCG(seed, plannedStream)))
	return p, p.check()
}

// Without returns a copy of the plan that lacks the fault of the given index.
func (p Plan) Without(fault int) Plan {
	p.Faults = slices.Delete(slices.Clone(p.Faults), fault, fault+1)
	return p
}

func (p *Plan) add(r *rand.Rand, at time.Duration, k Kind, duration time.Duration) {
	p.Faults = append(p.Faults, Fault{
		At: settings.Duration(at), Kind: k, For: settings.Duration(duration), Share: minShare + maxExtraShare*r.Float64(), Pick: r.Uint64() >> 12,
	})
}

// ParsePlan parses and validates a plan in TOML.
func ParsePlan(raw []byte) (Plan, error) {
	var p Plan
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(&p); err != nil {
		return p, errors.Wrap(err, "plan")
	}
	return p, p.check()
}

func (p Plan) check() error {
	if p.Instances < 1 || p.Instances > maxInstances {
		return errors.Newf("plan: number of instances is %d, must be 1 to %d", p.Instances, maxInstances)
	}
	if p.Length.Std() < quietAtStart+maxFaultDuration+quietAtEnd {
		return errors.Newf("plan: length is %s, must be at least %s", p.Length.Std(), quietAtStart+maxFaultDuration+quietAtEnd)
	}
	for i, f := range p.Faults {
		if !slices.Contains(slices.Concat(backgroundKinds, overlappingKinds, otherKinds, plannedKinds), f.Kind) {
			return errors.Newf("plan: fault %d: unknown kind %q", i+1, f.Kind)
		}
		if f.At < 0 || f.For < 0 || f.At+f.For > p.Length || f.Share < 0 || f.Share > 1 {
			return errors.Newf("plan: fault %d: time or share out of range", i+1)
		}
	}
	return nil
}

// limitRates are the limits that servers name, in requests a second.
var limitRates = []float64{0.3, 1.6, 5, 40}

// limitRate is the limit that a Limit fault has servers name.
func (f Fault) limitRate() float64 { return limitRates[f.Pick%uint64(len(limitRates))] }

// signalSeries are the series of signals that instances get.
var signalSeries = [][]syscall.Signal{
	{syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
}

// signalPauses are the times between two signals of a series.
var signalPauses = []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond, time.Second, 2400 * time.Millisecond}

// signals returns the signals of a Signals fault and the pause after each.
func (f Fault) signals() ([]syscall.Signal, time.Duration) {
	n := f.Pick % uint64(len(signalSeries)*len(signalPauses))
	return signalSeries[n%uint64(len(signalSeries))], signalPauses[n/uint64(len(signalSeries))]
}

// Format encodes a plan as TOML.
func (p Plan) Format() ([]byte, error) { return toml.Marshal(p) }

// targets returns the indexes of those of n instances or servers that the fault affects.
func (f Fault) targets(n int) []int {
	order := rand.New(rand.NewPCG(f.Pick, 2)).Perm(n)
	return order[:min(n, max(1, int(f.Share*float64(n))))]
}
