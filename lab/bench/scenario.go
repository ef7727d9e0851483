package bench

import (
	"fmt"
	"time"

	"github.com/auburnmoor/auburnmoor/decide/prefix"
	"github.com/auburnmoor/auburnmoor/lab/standin/enginecore"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

// Scenario defines a named experiment.
type Scenario struct {
	Name    string
	About   string
	Mix     Mix
	Engines int
	Entries int
	Hop     time.Duration
	// Load is the request rate as a multiple of the engines' capacity.
	Load     float64
	Duration time.Duration
	// ReportLag is the age of the state in load reports.
	ReportLag time.Duration
	// Prepare adds extra arrivals and faults; it may be nil.
	Prepare func(*Run)
	// Baselines makes the experiment also run the baseline policies.
	Baselines bool
}

// Settings hold the parameters of a run that do not depend on the scenario.
type Settings struct {
	Seed   uint64
	Factor float64 // scales the assumed step times of the engines
	// Scale multiplies the duration; quick checks use less than 1.
	Scale float64
}

// DefaultSettings returns the settings of the committed results.
func DefaultSettings() Settings { return Settings{Seed: 1, Factor: 1, Scale: 1} }

// defaultDuration is the virtual time during which requests arrive.
const defaultDuration = 200 * time.Second

func tePunaScenario(name, about string, load float64) Scenario {
	return Scenario{Name: name, About: about, Mix: TePuna, Engines: 20, Entries: 7, Hop: time.Millisecond, Load: load, Duration: defaultDuration, ReportLag: 500 * time.Millisecond}
}

func thistlegateScenario(name, about string, load float64) Scenario {
	return Scenario{Name: name, About: about, Mix: Thistlegate, Engines: 15, Entries: 6, Hop: 1500 * time.Microsecond, Load: load, Duration: defaultDuration, ReportLag: 500 * time.Millisecond}
}

// Scenarios returns all scenarios in report order.
func Scenarios() []Scenario {
	var out []Scenario
	for _, load := range []float64{0.5, 0.8, 1.0, 1.5, 3.0} {
		s := tePunaScenario(fmt.Sprintf("te-puna-%.1fx", load), fmt.Sprintf("Te Puna's mix at %.1f of capacity", load), load)
		s.Baselines = load == 0.8
		out = append(out, s)
	}
	for _, load := range []float64{0.5, 0.8, 1.0, 1.5, 3.0} {
		s := thistlegateScenario(fmt.Sprintf("thistlegate-%.1fx", load), fmt.Sprintf("Thistlegate's mix at %.1f of capacity", load), load)
		s.Baselines = load == 0.8
		out = append(out, s)
	}
	return append(out, faultScenarios()...)
}

func faultScenarios() []Scenario {
	burst := tePunaScenario("burst", "twenty of the longest prompts within a second at half load", 0.5)
	burst.Prepare = func(r *Run) { r.addBurst(30*time.Second, 20) }
	engineCrash := tePunaScenario("engine-dies", "an engine dies at 60 s", 0.8)
	engineCrash.Prepare = func(r *Run) { r.loop.At(60*time.Second, func(l *Loop, now time.Duration) { l.Kill(now, "engine-01") }) }
	engineHang := tePunaScenario("engine-hangs", "an engine hangs from 60 s on", 0.8)
	engineHang.Prepare = func(r *Run) { r.loop.At(60*time.Second, func(l *Loop, now time.Duration) { l.Hang(now, "engine-01") }) }
	engineSlow := tePunaScenario("engine-slow", "an engine is four times slower from 60 s on", 0.8)
	engineSlow.Prepare = func(r *Run) { r.loop.At(60*time.Second, func(l *Loop, _ time.Duration) { l.Slow("engine-01", 4) }) }
	reportLag := tePunaScenario("report-lag", "load reports lag five seconds", 0.8)
	reportLag.ReportLag = 5 * time.Second
	flood := thistlegateScenario("flood", "the smallest customer sends as much as all others together from 30 s to 90 s", 0.6)
	flood.Prepare = func(r *Run) { r.addFlood(30*time.Second, 90*time.Second) }
	entryCrash := tePunaScenario("entry-dies", "an entry instance dies at 60 s", 0.8)
	entryCrash.Prepare = func(r *Run) {
		r.loop.At(60*time.Second, func(l *Loop, now time.Duration) { l.KillEntry(now, entryName(0)) })
	}
	return []Scenario{burst, engineCrash, engineHang, engineSlow, reportLag, flood, entryCrash}
}

// Find returns the scenario with the given name.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// Run is one execution of a scenario under one policy.
type Run struct {
	scenario Scenario
	settings Settings
	loop     *Loop
	arrivals []Arrival
}

// drainLimit bounds the virtual time after the last arrival.
const drainLimit = 15 * time.Minute

// settleTime is the virtual time allowed at the end for streams and reservations
// to be released.
const settleTime = 30 * time.Second

// Execute runs a scenario under a policy with the sources that keep selects.
func Execute(s Scenario, p Policy, set Settings, keep func(Source) bool) *Loop {
	d := time.Duration(float64(s.Duration) * set.Scale)
	assume := enginecore.Assumed(set.Factor)
	site := Site{Entries: s.Entries, Hop: s.Hop, NewEntry: p.New, Seed: set.Seed, ReportAll: p.ReportAll, Engines: s.engines(assume)}
	r := &Run{scenario: s, settings: set, loop: NewLoop(site)}
	rate := s.Mix.Capacity(assume, s.Engines) * s.Load
	r.arrivals = s.Mix.Generate(set.Seed, rate, d, keep)
	if s.Prepare != nil {
		s.Prepare(r)
	}
	for i, a := range r.arrivals {
		r.loop.Submit(i%s.Entries, a)
	}
	r.loop.Run(d + drainLimit)
	r.loop.Settle(settleTime)
	return r.loop
}

func (s Scenario) engines(a enginecore.Assumptions) []enginecore.Config {
	var out []enginecore.Config
	for i := range s.Engines {
		cfg := enginecore.Config{
			Name: fmt.Sprintf("engine-%02d", i+1), KVTokens: enginecore.LargeKV, Assume: a, Models: []string{modelName},
			ReportLag: s.ReportLag, EventLag: time.Second, EventGap: 200,
		}
		if i%3 == 2 {
			cfg.KVTokens = enginecore.SmallKV
		}
		out = append(out, cfg)
	}
	return out
}

// burstPromptTokens is the prompt length of the burst requests.
const burstPromptTokens = 1_000_000

func (r *Run) addBurst(at time.Duration, n int) {
	for i := range n {
		r.arrivals = append(r.arrivals, Arrival{
			At: at + time.Duration(i)*time.Second/time.Duration(n), Kind: "burst", Class: Huge,
			Job: &peerpb.Job{
				Id: fmt.Sprintf("burst~0~%d", i), Customer: "customer-0", Model: modelName, PromptTokens: burstPromptTokens, MaxTokens: 200,
				RemainingUs: (10 * time.Minute).Microseconds(), TargetUs: (10 * time.Minute).Microseconds(), Weight: 8,
			},
		})
	}
}

// floodSource describes the requests of the flooding customer.
var floodSource = Source{Kind: "flood", Fraction: 1, Min: 2_000, Max: 16_000, Output: 100, Limit: 30 * time.Second, Target: time.Second}

func (r *Run) addFlood(from, to time.Duration) {
	mix := Mix{Sources: []Source{floodSource}, Customers: []int64{1}}
	rate := mix.Capacity(enginecore.Assumed(r.settings.Factor), r.scenario.Engines) * r.scenario.Load
	for _, a := range mix.Generate(r.settings.Seed+1, rate, to-from, func(Source) bool { return true }) {
		a.At += from
		a.Job.Id = "flood" + a.Job.Id
		a.Job.Customer = "customer-flood"
		a.Job.Prefix = nil
		a.chain = make([]uint64, len(a.chain))
		for i := range a.chain {
			a.chain[i] = uint64(len(r.arrivals))<<20 | uint64(i) | 1<<62
		}
		a.Job.Prefix = prefix.Sample(a.chain)
		r.arrivals = append(r.arrivals, a)
	}
}
